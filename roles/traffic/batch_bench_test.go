package traffic_test

import (
	"net"
	"net/netip"
	"testing"

	"golang.org/x/net/ipv4"
	"zinniapulley.dev/roles/traffic"
)

const (
	// burst is the number of datagrams in a burst, and the maximum of one batch.
	burst = 32
	// packetBytes is the size of a packet with a short request.
	packetBytes = 400
)

// pair is a sender and a receiver on loopback.
type pair struct{ from, to *net.UDPConn }

func newPair(b *testing.B) pair {
	b.Helper()
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	from, err := traffic.Listen(loopback)
	if err != nil {
		b.Fatal(err)
	}
	to, err := traffic.Listen(loopback)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		_ = from.Close()
		_ = to.Close()
	})
	return pair{from: from, to: to}
}

func (p pair) address() netip.AddrPort { return p.to.LocalAddr().(*net.UDPAddr).AddrPort() }

func (p pair) writeOne(b *testing.B) {
	packet := make([]byte, packetBytes)
	for range burst {
		_, err := p.from.WriteToUDPAddrPort(packet, p.address())
		if err != nil {
			b.Fatal(err)
		}
	}
}

func (p pair) readOne(b *testing.B) {
	buffer := make([]byte, 2048)
	for range burst {
		_, _, err := p.to.ReadFromUDPAddrPort(buffer)
		if err != nil {
			b.Fatal(err)
		}
	}
}

func messages(size int, to net.Addr) []ipv4.Message {
	list := make([]ipv4.Message, burst)
	for i := range list {
		list[i] = ipv4.Message{Buffers: [][]byte{make([]byte, size)}, Addr: to}
	}
	return list
}

func (p pair) writeBatch(b *testing.B, conn *ipv4.PacketConn, list []ipv4.Message) {
	for sent := 0; sent < len(list); {
		n, err := conn.WriteBatch(list[sent:], 0)
		if err != nil {
			b.Fatal(err)
		}
		sent += n
	}
}

func (p pair) readBatch(b *testing.B, conn *ipv4.PacketConn, list []ipv4.Message) {
	for read := 0; read < burst; {
		n, err := conn.ReadBatch(list[read:], 0)
		if err != nil {
			b.Fatal(err)
		}
		read += n
	}
}

// measure times either the send or the receive half of a burst, and reports the time
// per packet.
func measure(b *testing.B, before, timed, after func()) {
	for b.Loop() {
		b.StopTimer()
		before()
		b.StartTimer()
		timed()
		b.StopTimer()
		after()
		b.StartTimer()
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*burst), "ns/packet")
}

func BenchmarkReadOneByOne(b *testing.B) {
	p := newPair(b)
	measure(b, func() { p.writeOne(b) }, func() { p.readOne(b) }, func() {})
}

func BenchmarkReadBatch(b *testing.B) {
	p := newPair(b)
	conn, list := ipv4.NewPacketConn(p.to), messages(2048, nil)
	measure(b, func() { p.writeOne(b) }, func() { p.readBatch(b, conn, list) }, func() {})
}

func BenchmarkWriteOneByOne(b *testing.B) {
	p := newPair(b)
	measure(b, func() {}, func() { p.writeOne(b) }, func() { p.readOne(b) })
}

func BenchmarkWriteBatch(b *testing.B) {
	p := newPair(b)
	conn, list := ipv4.NewPacketConn(p.from), messages(packetBytes, p.to.LocalAddr())
	measure(b, func() {}, func() { p.writeBatch(b, conn, list) }, func() { p.readOne(b) })
}
