package entry

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"zinniapulley.dev/core"
	"zinniapulley.dev/flow"
	"zinniapulley.dev/wire/geneve"
)

const (
	// network is the fabric's virtual network identifier in the tests.
	network = 5
	// eventTimeout is how long a test waits for an expected event.
	eventTimeout = 30 * time.Second
)

var (
	anyPort = netip.MustParseAddrPort("127.0.0.1:0")
	service = netip.MustParseAddrPort("192.0.2.10:80")
)

// testbed runs the traffic goroutine between a socket that acts as the fabric and
// one that acts as a companion.
type testbed struct {
	traffic   *traffic
	fabric    *net.UDPConn
	companion *net.UDPConn
	registry  metrics.Registry
	encoder   *geneve.Encoder
	done      chan bool
}

func newTestbed(t testing.TB) *testbed {
	t.Helper()
	b := &testbed{
		fabric:    listen(t),
		companion: listen(t),
		registry:  metrics.NewRegistry(),
		encoder:   geneve.NewEncoder(),
		done:      make(chan bool, 1),
	}
	companion := b.companion.LocalAddr().(*net.UDPAddr).AddrPort()
	var forwarding atomic.Pointer[flow.ForwardingTable]
	forwarding.Store(flow.Compile(&core.View{
		Revision:       3,
		DataCentres:    []core.DataCentreState{{Name: "gent", In: true}},
		Services:       []core.Service{{ID: 7, Address: service}},
		BackendServers: []core.BackendServer{{ID: 9, Service: 7, DataCentre: "gent", State: core.BackendServing, Packets: companion}},
		Tables:         []core.Table{{Service: 7, Buckets: make([]uint16, 4096), Chains: []core.Chain{{9}}}},
	}))
	config := Config{Network: network, Metrics: b.registry}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	b.traffic = newTraffic(listen(t), &forwarding, config, log)
	return b
}

func listen(t testing.TB) *net.UDPConn {
	t.Helper()
	conn, err := geneve.Listen(anyPort)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func (b *testbed) run() {
	go func() { b.done <- b.traffic.run() }()
}

// send sends a datagram as the fabric.
func (b *testbed) send(t testing.TB, datagram []byte) {
	t.Helper()
	_, err := b.fabric.WriteToUDPAddrPort(datagram, b.traffic.self)
	if err != nil {
		t.Fatal(err)
	}
}

// sendPacket sends a caller's packet as the fabric.
func (b *testbed) sendPacket(t testing.TB, network uint32, packet []byte) {
	t.Helper()
	datagram, err := b.encoder.EncodeFabric(network, packet)
	if err != nil {
		t.Fatal(err)
	}
	b.send(t, datagram)
}

// receive returns the next envelope that the companion receives.
func (b *testbed) receive(t testing.TB) geneve.Envelope {
	t.Helper()
	buffer := make([]byte, geneve.MaxDatagram)
	err := b.companion.SetReadDeadline(time.Now().Add(eventTimeout))
	if err != nil {
		t.Fatal(err)
	}
	n, err := b.companion.Read(buffer)
	if err != nil {
		t.Fatal(err)
	}
	var decoder geneve.Decoder
	envelope, err := decoder.DecodePeer(buffer[:n])
	if err != nil {
		t.Fatal(err)
	}
	return envelope
}

func (b *testbed) count(name string) int64 {
	return metrics.GetOrRegisterCounter(name, b.registry).Count()
}

func packetTo(t testing.TB, to netip.AddrPort, payload string) []byte {
	t.Helper()
	ip := &layers.IPv4{
		Version: 4, TTL: 64, Protocol: layers.IPProtocolTCP,
		SrcIP: net.IPv4(10, 1, 2, 3), DstIP: to.Addr().AsSlice(),
	}
	tcp := &layers.TCP{SrcPort: 4000, DstPort: layers.TCPPort(to.Port()), SYN: true}
	err := tcp.SetNetworkLayerForChecksum(ip)
	if err != nil {
		t.Fatal(err)
	}
	buffer := gopacket.NewSerializeBuffer()
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	err = gopacket.SerializeLayers(buffer, options, ip, tcp, gopacket.Payload(payload))
	if err != nil {
		t.Fatal(err)
	}
	return buffer.Bytes()
}

func TestPacketIsSentToItsFirstCandidate(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newTestbed(t)
	b.run()
	packet := packetTo(t, service, "hello")
	b.sendPacket(t, network, packet)
	got := b.receive(t)
	g.Expect(got.Service).To(gomega.BeEquivalentTo(7))
	g.Expect(got.Revision).To(gomega.BeEquivalentTo(3))
	g.Expect(got.Entry).To(gomega.Equal(b.traffic.self))
	g.Expect(got.HopCount).To(gomega.BeEquivalentTo(1))
	g.Expect(got.Inner.Packet).To(gomega.Equal(packet))
	g.Expect(b.count("flows.routed")).To(gomega.BeEquivalentTo(1))
}

// A refused datagram is counted by its cause, and the next one is forwarded.
func TestInvalidDatagramIsCountedByCause(t *testing.T) {
	whole := packetTo(t, service, "hello")
	cases := map[string]func(b *testbed){
		"truncated":               func(b *testbed) { b.send(t, []byte{0, 0}) },
		"geneve version":          func(b *testbed) { b.send(t, append([]byte{0x40, 0, 8, 0, 0, 0, 5, 0}, whole...)) },
		"geneve protocol":         func(b *testbed) { b.send(t, append([]byte{0, 0, 0x65, 0x58, 0, 0, 5, 0}, whole...)) },
		"unknown critical option": func(b *testbed) { b.send(t, append([]byte{1, 0x40, 8, 0, 0, 0, 5, 0, 1, 2, 0x83, 0}, whole...)) },
		"ipv4 header":             func(b *testbed) { b.sendPacket(t, network, append([]byte{0x65}, whole[1:]...)) },
		"wrong network":           func(b *testbed) { b.sendPacket(t, network+1, whole) },
		"unknown service": func(b *testbed) {
			b.sendPacket(t, network, packetTo(t, netip.MustParseAddrPort("192.0.2.10:81"), ""))
		},
	}
	for name, send := range cases {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			b := newTestbed(t)
			b.run()
			send(b)
			b.sendPacket(t, network, whole)
			g.Expect(b.receive(t).Inner.Packet).To(gomega.Equal(whole))
			g.Expect(b.count("packets.dropped." + name)).To(gomega.BeEquivalentTo(1))
		})
	}
}

func TestPacketWithoutViewIsDroppedAndCounted(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newTestbed(t)
	b.traffic.forwarding = new(atomic.Pointer[flow.ForwardingTable])
	b.run()
	b.sendPacket(t, network, packetTo(t, service, ""))
	g.Eventually(func() int64 { return b.count("packets.dropped.no view") }, eventTimeout).Should(gomega.BeEquivalentTo(1))
}

// Packets that are buffered in the socket when the stop begins are forwarded.
func TestStopForwardsBufferedPackets(t *testing.T) {
	const count = 50
	g := gomega.NewWithT(t)
	b := newTestbed(t)
	for i := range count {
		b.sendPacket(t, network, packetTo(t, service, fmt.Sprint(i)))
	}
	b.traffic.stop(time.Now().Add(eventTimeout))
	b.run()
	for range count {
		b.receive(t)
	}
	g.Eventually(b.done, eventTimeout).Should(gomega.Receive(gomega.BeFalse()))
	g.Expect(b.traffic.packetsSinceStop).To(gomega.BeEquivalentTo(count))
}

func TestStopDeadlineEndsAStopUnderTraffic(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newTestbed(t)
	b.run()
	b.traffic.stop(time.Now().Add(quietPeriod / 4))
	packet := packetTo(t, service, "")
	var busy bool
	for ended := false; !ended; {
		b.sendPacket(t, network, packet)
		select {
		case busy = <-b.done:
			ended = true
		case <-time.After(time.Millisecond):
		}
	}
	g.Expect(busy).To(gomega.BeTrue())
}

// BenchmarkForward measures the forwarding of a packet that has been read: decode,
// decide, encode and send. A reader empties the companion's socket.
func BenchmarkForward(b *testing.B) {
	bed := newTestbed(b)
	datagram, err := bed.encoder.EncodeFabric(network, packetTo(b, service, strings.Repeat("x", 1200)))
	if err != nil {
		b.Fatal(err)
	}
	datagram[8+20+13] = 0x10
	go drain(bed.companion)
	b.ReportAllocs()
	for b.Loop() {
		bed.traffic.forward(datagram)
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "packets/s")
}

// BenchmarkDecide is BenchmarkForward without the socket.
func BenchmarkDecide(b *testing.B) {
	bed := newTestbed(b)
	datagram, err := bed.encoder.EncodeFabric(network, packetTo(b, service, strings.Repeat("x", 1200)))
	if err != nil {
		b.Fatal(err)
	}
	forwarding := bed.traffic.forwarding.Load()
	b.ReportAllocs()
	for b.Loop() {
		packet, err := bed.traffic.decoder.DecodeFabric(datagram)
		if err != nil {
			b.Fatal(err)
		}
		route, reason := forwarding.Lookup(packet.Inner.Key)
		if reason != flow.DropNone {
			b.Fatal(reason)
		}
		_, err = bed.traffic.encode(packet.Inner, route)
		if err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkNewFlow routes a flow's opening packet, log line included.
func BenchmarkNewFlow(b *testing.B) {
	bed := newTestbed(b)
	datagram, err := bed.encoder.EncodeFabric(network, packetTo(b, service, ""))
	if err != nil {
		b.Fatal(err)
	}
	go drain(bed.companion)
	b.ReportAllocs()
	for b.Loop() {
		bed.traffic.forward(datagram)
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "flows/s")
}

// BenchmarkReadAndForward sends from another goroutine as fast as the goroutine
// under test reads, in windows that fit in the socket's buffer.
func BenchmarkReadAndForward(b *testing.B) {
	const window = 200
	bed := newTestbed(b)
	datagram, err := bed.encoder.EncodeFabric(network, packetTo(b, service, strings.Repeat("x", 1200)))
	if err != nil {
		b.Fatal(err)
	}
	datagram[8+20+13] = 0x10
	go drain(bed.companion)
	bed.run()
	sent := int64(0)
	for b.Loop() {
		bed.send(b, datagram)
		sent++
		if sent%window == 0 {
			for sent-bed.traffic.counters.sent.Count() > window {
				time.Sleep(10 * time.Microsecond)
			}
		}
	}
	b.ReportMetric(float64(bed.traffic.counters.sent.Count())/b.Elapsed().Seconds(), "packets/s")
}

func drain(conn *net.UDPConn) {
	buffer := make([]byte, geneve.MaxDatagram)
	for {
		_, _, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
	}
}
