package systemtest

import (
	"encoding/binary"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"zinniapulley.dev/core"
	"zinniapulley.dev/roles/traffic"
)

// Flags of the platform's packets, by their published bits.
const (
	flagAck      = 4
	flagSyn      = 16
	flagReset    = 2
	flagReturned = 128
)

// packet builds a packet of the published layout.
func packet(from, to netip.AddrPort, flags byte, seq, ack uint32, data string) []byte {
	p := make([]byte, 36, 36+len(data))
	binary.BigEndian.PutUint16(p[0:], uint16(len(data)))
	source, dest := from.Addr().As4(), to.Addr().As4()
	copy(p[6:], source[:])
	binary.BigEndian.PutUint16(p[10:], to.Port())
	binary.BigEndian.PutUint16(p[12:], from.Port())
	copy(p[14:], dest[:])
	binary.BigEndian.PutUint32(p[22:], seq)
	binary.BigEndian.PutUint32(p[26:], ack)
	p[30] = flags
	return append(p, data...)
}

func seqOf(p []byte) uint32 { return binary.BigEndian.Uint32(p[22:]) }
func ackOf(p []byte) uint32 { return binary.BigEndian.Uint32(p[26:]) }

func endsOf(p []byte) (source, dest netip.AddrPort) {
	source = netip.AddrPortFrom(netip.AddrFrom4([4]byte(p[6:10])), binary.BigEndian.Uint16(p[12:]))
	dest = netip.AddrPortFrom(netip.AddrFrom4([4]byte(p[14:18])), binary.BigEndian.Uint16(p[10:]))
	return source, dest
}

// server is a backend server: it answers each data packet with its name, and gives
// back what it doesn't hold.
type server struct {
	name     string
	conn     *net.UDPConn
	outbound netip.AddrPort
	refuses  atomic.Bool
	opened   atomic.Int64
}

func startServer(t *testing.T, name string, at, outbound netip.AddrPort) *server {
	t.Helper()
	conn, err := traffic.Listen(at)
	if err != nil {
		t.Fatal(err)
	}
	s := &server{name: name, conn: conn, outbound: outbound}
	t.Cleanup(func() { _ = conn.Close() })
	go s.run()
	return s
}

func (s *server) run() {
	flows := map[netip.AddrPort]uint32{}
	buffer := make([]byte, 2048)
	seq := uint32(s.outbound.Addr().As4()[3]) << 24
	for {
		n, _, err := s.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || n < 36 {
			continue
		}
		p := buffer[:n]
		caller, service := endsOf(p)
		first, known := flows[caller]
		switch {
		case p[30]&flagSyn != 0 && (known || !s.refuses.Load()):
			if !known {
				seq += 1000
				first = seq
				flows[caller] = first
				s.opened.Add(1)
			}
			s.send(packet(service, caller, flagSyn|flagAck, first, seqOf(p)+1, ""))
		case known && p[30]&flagSyn == 0 && ackOf(p)-first < 100_000:
			if n > 36 {
				s.send(packet(service, caller, flagAck, first+1, seqOf(p)+uint32(n-36), s.name))
			}
		default:
			p[30] |= flagReturned
			s.send(p)
		}
	}
}

func (s *server) send(p []byte) {
	_, _ = s.conn.WriteToUDPAddrPort(p, s.outbound)
}

// caller opens flows.
type caller struct {
	t    *testing.T
	conn *net.UDPConn
	self netip.Addr
	port uint16
}

func startCaller(t *testing.T, at netip.AddrPort) *caller {
	t.Helper()
	conn, err := traffic.Listen(at)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return &caller{t: t, conn: conn, self: at.Addr(), port: 40000}
}

// flow is an open flow of a caller.
type flow struct {
	caller  *caller
	key     core.FlowKey
	acked   uint32
	entries []netip.AddrPort
	turn    int
}

var (
	errReset  = errors.New("the flow was reset")
	errSilent = errors.New("no answer came")
)

// repeatAfter is how long a caller waits before it repeats a packet, tries how
// often it sends it in all.
const (
	repeatAfter = 200 * time.Millisecond
	tries       = 12
)

// open opens a flow through the entry instances in turn.
func (c *caller) open(service netip.AddrPort, entries ...netip.AddrPort) (*flow, error) {
	c.port++
	f := &flow{caller: c, key: core.FlowKey{Caller: netip.AddrPortFrom(c.self, c.port), Service: service}, entries: entries}
	answer, err := f.exchange(flagSyn, 100, 0, "")
	if err != nil {
		return nil, err
	}
	f.acked = seqOf(answer) + 1
	return f, nil
}

// ask sends a request on the flow and returns the name of the server that answers.
func (f *flow) ask() (string, error) {
	answer, err := f.exchange(flagAck, 101, f.acked, "request")
	if err != nil {
		return "", err
	}
	return string(answer[36:]), nil
}

// exchange sends a packet, again and again, until an answer of the flow comes.
func (f *flow) exchange(flags byte, seq, ack uint32, data string) ([]byte, error) {
	sent := packet(f.key.Caller, f.key.Service, flags, seq, ack, data)
	buffer := make([]byte, 2048)
	for range tries {
		entry := f.entries[f.turn%len(f.entries)]
		f.turn++
		_, err := f.caller.conn.WriteToUDPAddrPort(sent, entry)
		if err != nil {
			return nil, err
		}
		end := time.Now().Add(repeatAfter)
		_ = f.caller.conn.SetReadDeadline(end)
		for {
			n, _, err := f.caller.conn.ReadFromUDPAddrPort(buffer)
			if err != nil {
				break
			}
			answer := buffer[:n]
			service, to := endsOf(answer)
			wrongKind := (flags == flagSyn) != (answer[30]&flagSyn != 0)
			if to != f.key.Caller || service != f.key.Service {
				continue
			}
			if answer[30]&flagReset != 0 {
				return nil, errReset
			}
			if !wrongKind && (data == "" || n > 36) {
				return append([]byte(nil), answer...), nil
			}
		}
	}
	return nil, errSilent
}
