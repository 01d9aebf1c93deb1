// Package packets implements backend servers and callers that exchange the
// platform's packets over UDP, for tests of whole deployments.
package packets

import (
	"encoding/binary"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"zinniapulley.dev/core"
)

// Flags of the platform's packets, as published.
const (
	flagAck      = 4
	flagSyn      = 16
	flagReset    = 2
	flagReturned = 128
)

const (
	headerBytes = 36
	offsetFlags = 30
	// maxPacket is the largest size of a packet in bytes.
	maxPacket = 2048
	// maxAckAhead bounds how far an acknowledgement is ahead of a flow's first
	// sequence number.
	maxAckAhead = 100_000
	// firstPort is the port of a caller's first flow.
	firstPort = 40000
)

// packet encodes a packet in the published layout.
func packet(from, to netip.AddrPort, flags byte, seq, ack uint32, data string) []byte {
	p := make([]byte, headerBytes, headerBytes+len(data))
	binary.BigEndian.PutUint16(p[0:], uint16(len(data)))
	source, dest := from.Addr().As4(), to.Addr().As4()
	copy(p[6:], source[:])
	binary.BigEndian.PutUint16(p[10:], to.Port())
	binary.BigEndian.PutUint16(p[12:], from.Port())
	copy(p[14:], dest[:])
	binary.BigEndian.PutUint32(p[22:], seq)
	binary.BigEndian.PutUint32(p[26:], ack)
	p[offsetFlags] = flags
	return append(p, data...)
}

func seqOf(p []byte) uint32 { return binary.BigEndian.Uint32(p[22:]) }
func ackOf(p []byte) uint32 { return binary.BigEndian.Uint32(p[26:]) }

func endsOf(p []byte) (source, dest netip.AddrPort) {
	source = netip.AddrPortFrom(netip.AddrFrom4([4]byte(p[6:10])), binary.BigEndian.Uint16(p[12:]))
	dest = netip.AddrPortFrom(netip.AddrFrom4([4]byte(p[14:18])), binary.BigEndian.Uint16(p[10:]))
	return source, dest
}

// Server is a backend server. It answers each packet that carries data with its name
// and returns packets of flows that it doesn't hold. With a run time, it runs the first
// request of each flow once, and so many at once as it has slots, in order of arrival.
type Server struct {
	Name string
	conn *net.UDPConn
	// health accepts the connections of health checks at the same address.
	health   net.Listener
	outbound netip.AddrPort
	// Refuses is set while the server refuses new flows.
	Refuses atomic.Bool
	// OnOpen is called with the key of each new flow, if set.
	OnOpen func(key core.FlowKey)
	// RunTime is how long a request runs, as a time.Duration; zero for requests that
	// are answered at once.
	RunTime atomic.Int64
	// Slots is how many requests run at once.
	Slots int
	// OnRun is called with the data of each request that starts to run, if set.
	OnRun  func(request string)
	opened atomic.Int64
	lock   sync.Mutex
	// flows holds the flows by caller.
	flows   map[netip.AddrPort]*serverFlow
	waiting []job
	running int
	seq     uint32
}

// serverFlow is an open flow.
type serverFlow struct {
	// first is the sequence number with which the server opened the flow.
	first uint32
	// accepted is set once the flow's request waits or runs, answer once it has run.
	accepted bool
	answer   []byte
}

// job is a request that waits for a slot or runs.
type job struct {
	flow    *serverFlow
	request string
	answer  []byte
}

// NewServer returns a server that receives packets at one address and sends its own
// to another. It answers packets once Run is called.
func NewServer(name string, at, outbound netip.AddrPort) (*Server, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, core.At("listen", core.Peer(at.String()), err)
	}
	health, err := net.Listen("tcp4", at.String())
	if err != nil {
		_ = conn.Close()
		return nil, core.At("listen for health checks", core.Peer(at.String()), err)
	}
	go answerHealth(health)
	seq := uint32(outbound.Addr().As4()[3]) << 24
	return &Server{Name: name, conn: conn, health: health, outbound: outbound, flows: map[netip.AddrPort]*serverFlow{}, seq: seq}, nil
}

// answerHealth accepts connections until the listener is closed.
func answerHealth(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_ = conn.Close()
	}
}

// Close stops the server.
func (s *Server) Close() {
	_ = s.conn.Close()
	_ = s.health.Close()
}

// Opened returns the number of flows opened so far.
func (s *Server) Opened() int64 { return s.opened.Load() }

// Holds reports whether the server holds a caller's flow.
func (s *Server) Holds(caller netip.AddrPort) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	_, known := s.flows[caller]
	return known
}

// DropFlows drops all flows, as a restart does.
func (s *Server) DropFlows() {
	s.lock.Lock()
	defer s.lock.Unlock()
	clear(s.flows)
}

// Run answers packets until the server is closed.
func (s *Server) Run() {
	buffer := make([]byte, maxPacket)
	for {
		n, _, err := s.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil && n >= headerBytes {
			s.handle(buffer[:n])
		}
	}
}

// handle answers one packet.
func (s *Server) handle(p []byte) {
	caller, service := endsOf(p)
	s.lock.Lock()
	defer s.lock.Unlock()
	flow, known := s.flows[caller]
	isOpening := p[offsetFlags]&flagSyn != 0
	switch {
	case isOpening && (known || !s.Refuses.Load()):
		if !known {
			flow = s.open(caller, service)
		}
		s.send(packet(service, caller, flagSyn|flagAck, flow.first, seqOf(p)+1, ""))
	case known && p[offsetFlags]&flagReset != 0:
		delete(s.flows, caller)
	case known && !isOpening && ackOf(p)-flow.first < maxAckAhead:
		if len(p) > headerBytes {
			answer := packet(service, caller, flagAck, flow.first+1, seqOf(p)+uint32(len(p)-headerBytes), s.Name)
			s.request(job{flow: flow, request: string(p[headerBytes:]), answer: answer})
		}
	default:
		p[offsetFlags] |= flagReturned
		s.send(p)
	}
}

func (s *Server) open(caller, service netip.AddrPort) *serverFlow {
	s.seq += 1000
	flow := &serverFlow{first: s.seq}
	s.flows[caller] = flow
	s.opened.Add(1)
	if s.OnOpen != nil {
		s.OnOpen(core.FlowKey{Caller: caller, Service: service})
	}
	return flow
}

// request answers a request at once, or once it has run. A copy of one that waits or
// runs is ignored.
func (s *Server) request(j job) {
	switch {
	case s.RunTime.Load() == 0:
		s.send(j.answer)
	case j.flow.answer != nil:
		s.send(j.flow.answer)
	case !j.flow.accepted:
		j.flow.accepted = true
		s.waiting = append(s.waiting, j)
		s.runNext()
	}
}

// runNext starts waiting requests while slots are free.
func (s *Server) runNext() {
	for s.running < s.Slots && len(s.waiting) > 0 {
		j := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.running++
		if s.OnRun != nil {
			s.OnRun(j.request)
		}
		time.AfterFunc(time.Duration(s.RunTime.Load()), func() { s.finish(j) })
	}
}

func (s *Server) finish(j job) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.running--
	j.flow.answer = j.answer
	s.send(j.answer)
	s.runNext()
}

func (s *Server) send(p []byte) {
	_, _ = s.conn.WriteToUDPAddrPort(p, s.outbound)
}

// Caller opens flows. It is not safe for concurrent use.
type Caller struct {
	conn *net.UDPConn
	self netip.Addr
	port uint16
}

// NewCaller returns a caller that sends and receives packets at a UDP address. Its
// flows have ports of their own.
func NewCaller(at netip.AddrPort) (*Caller, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	return &Caller{conn: conn, self: at.Addr(), port: firstPort}, core.At("listen", core.Peer(at.String()), err)
}

// Close closes the caller's socket.
func (c *Caller) Close() { _ = c.conn.Close() }

// Flow is an open flow of a caller.
type Flow struct {
	Key     core.FlowKey
	caller  *Caller
	acked   uint32
	entries []netip.AddrPort
	sends   int
}

// ErrReset reports that the flow was reset, ErrNoAnswer that no attempt was answered.
const (
	ErrReset    = errors.ConstError("the flow was reset")
	ErrNoAnswer = errors.ConstError("no answer came")
)

// retryInterval is the wait for an answer before a packet is sent again, maxAttempts
// how often it is sent in all.
const (
	retryInterval = 200 * time.Millisecond
	maxAttempts   = 12
)

// Open opens a flow. Its packets go to the entry instances in turn.
func (c *Caller) Open(service netip.AddrPort, entries ...netip.AddrPort) (*Flow, error) {
	c.port++
	f := &Flow{caller: c, Key: core.FlowKey{Caller: netip.AddrPortFrom(c.self, c.port), Service: service}, entries: entries}
	answer, err := f.exchange(flagSyn, 100, 0, "")
	if err != nil {
		return nil, err
	}
	f.acked = seqOf(answer) + 1
	return f, nil
}

// Request sends a request on the flow and returns the name of the server that answers.
func (f *Flow) Request() (string, error) {
	answer, err := f.exchange(flagAck, 101, f.acked, "request")
	if err != nil {
		return "", err
	}
	return string(answer[headerBytes:]), nil
}

// exchange sends a packet until the flow is answered or the attempts are used up.
func (f *Flow) exchange(flags byte, seq, ack uint32, data string) ([]byte, error) {
	sent := packet(f.Key.Caller, f.Key.Service, flags, seq, ack, data)
	buffer := make([]byte, maxPacket)
	for range maxAttempts {
		entry := f.entries[f.sends%len(f.entries)]
		f.sends++
		_, err := f.caller.conn.WriteToUDPAddrPort(sent, entry)
		if err != nil {
			return nil, err
		}
		end := time.Now().Add(retryInterval)
		_ = f.caller.conn.SetReadDeadline(end)
		for {
			n, _, err := f.caller.conn.ReadFromUDPAddrPort(buffer)
			if err != nil {
				break
			}
			answer := buffer[:n]
			service, to := endsOf(answer)
			wrongKind := (flags == flagSyn) != (answer[offsetFlags]&flagSyn != 0)
			if to != f.Key.Caller || service != f.Key.Service {
				continue
			}
			if answer[offsetFlags]&flagReset != 0 {
				return nil, ErrReset
			}
			if !wrongKind && (data == "" || n > headerBytes) {
				return append([]byte(nil), answer...), nil
			}
		}
	}
	return nil, ErrNoAnswer
}
