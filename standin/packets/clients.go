package packets

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/juju/errors"
	"zinniapulley.dev/core"
)

// Clients sends requests from one address concurrently, each on a flow of its own.
type Clients struct {
	conn *net.UDPConn
	self netip.Addr
	lock sync.Mutex
	port uint16
	// answers holds the channel for the packets of each flow, by the flow's port.
	answers map[uint16]chan []byte
}

// Attempt is the outcome of one attempt of a request.
type Attempt struct {
	Key         core.FlowKey
	Sent, Ended time.Time
	// Opened is set if a server accepted the flow.
	Opened bool
	// Err is nil if the request was answered.
	Err error
}

var (
	// openingOffsets holds the times at which the opening packet and its copies are
	// sent, dataOffsets the same for the request.
	openingOffsets = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}
	dataOffsets    = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond}
)

const (
	// openingTimeout and answerTimeout bound the waits for the SYN-ACK and the answer.
	openingTimeout = 1400 * time.Millisecond
	answerTimeout  = 3 * time.Second
	// firstSeq is the sequence number of every opening packet.
	firstSeq = 100
	// answerQueue is how many packets of a flow are queued.
	answerQueue = 8
)

// NewClients returns Clients that send and receive packets at a UDP address.
func NewClients(at netip.AddrPort) (*Clients, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, core.At("listen", core.Peer(at.String()), err)
	}
	c := &Clients{conn: conn, self: at.Addr(), port: firstPort, answers: make(map[uint16]chan []byte)}
	go c.receive()
	return c, nil
}

// Close closes the socket.
func (c *Clients) Close() { _ = c.conn.Close() }

// receive passes packets to their flows until the socket is closed.
func (c *Clients) receive() {
	buffer := make([]byte, maxPacket)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || n < headerBytes {
			continue
		}
		p := append([]byte(nil), buffer[:n]...)
		_, to := endsOf(p)
		c.lock.Lock()
		select {
		case c.answers[to.Port()] <- p:
		default:
		}
		c.lock.Unlock()
	}
}

// Try sends a request to a route by one entry instance, on a new flow, which it closes
// once the request is answered.
func (c *Clients) Try(ctx context.Context, route, entry netip.AddrPort, request string) Attempt {
	answers := make(chan []byte, answerQueue)
	c.lock.Lock()
	c.port = max(c.port+1, firstPort)
	key := core.FlowKey{Caller: netip.AddrPortFrom(c.self, c.port), Service: route}
	c.answers[key.Caller.Port()] = answers
	c.lock.Unlock()
	defer func() {
		c.lock.Lock()
		delete(c.answers, key.Caller.Port())
		c.lock.Unlock()
	}()
	a := Attempt{Key: key, Sent: time.Now()}
	send := func(flags byte, seq, ack uint32, data string) {
		_, _ = c.conn.WriteToUDPAddrPort(packet(key.Caller, route, flags, seq, ack, data), entry)
	}
	var answer []byte
	answer, a.Err = exchange(ctx, answers, openingOffsets, openingTimeout, func(number int) { send(flagSyn, firstSeq, uint32(number), "") },
		func(p []byte) bool { return p[offsetFlags]&flagSyn != 0 })
	if a.Err == nil {
		a.Opened = true
		ack := seqOf(answer) + 1
		_, a.Err = exchange(ctx, answers, dataOffsets, answerTimeout, func(int) { send(flagAck, firstSeq+1, ack, request) },
			func(p []byte) bool { return len(p) > headerBytes })
		if a.Err == nil {
			send(flagReset, firstSeq+1+uint32(len(request)), ack, "")
		}
	}
	a.Ended = time.Now()
	return a
}

// exchange sends a packet and its copies until an accepted answer or a reset arrives.
func exchange(ctx context.Context, answers <-chan []byte, offsets []time.Duration, timeout time.Duration, send func(number int), accept func([]byte) bool) ([]byte, error) {
	begin := time.Now()
	for number := range offsets {
		send(number)
		until := timeout
		if number+1 < len(offsets) {
			until = offsets[number+1]
		}
		timer := time.NewTimer(time.Until(begin.Add(until)))
		for waiting := true; waiting; {
			select {
			case p := <-answers:
				if p[offsetFlags]&flagReset != 0 || accept(p) {
					timer.Stop()
					if p[offsetFlags]&flagReset != 0 {
						return nil, ErrReset
					}
					return p, nil
				}
			case <-timer.C:
				waiting = false
			case <-ctx.Done():
				timer.Stop()
				return nil, ctx.Err()
			}
		}
	}
	return nil, ErrNoAnswer
}
