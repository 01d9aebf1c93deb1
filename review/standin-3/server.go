package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

const (
	// firstRepeat and lastRepeat bound the time between two copies of a packet.
	firstRepeat = 200 * time.Millisecond
	lastRepeat  = 1600 * time.Millisecond
	// maxRepeats is how often a server repeats a packet.
	maxRepeats = 8
	// announceRetry is how soon an announcement without an answer is sent again: there is
	// no other node to send it to.
	announceRetry = 100 * time.Millisecond
)

// flowKey identifies a flow.
type flowKey struct{ caller, service netip.AddrPort }

func (k flowKey) String() string { return k.caller.String() + ">" + k.service.String() }

// taken is an opening packet that a server took, and the request that came on its flow.
type taken struct {
	at      time.Time
	flow    flowKey
	request string // empty as long as none has come
}

// server is a stand-in of a backend server beside a companion. It keeps to the
// platform's protocol.
type server struct {
	machine *machine
	id      string
	service string
	slots   int
	work    time.Duration
	// longWork is how long every other request takes on average, if it is set.
	longWork time.Duration
	born     time.Time

	conn   *net.UDPConn
	health net.Listener
	cancel context.CancelFunc
	done   sync.WaitGroup

	mutex       sync.Mutex
	coldUntil   time.Time
	draining    bool
	ended       bool
	announced   int
	acked       chan struct{} // closed at the first acknowledged announcement
	ackedOnce   sync.Once
	drainAcked  chan struct{}
	drainedOnce sync.Once
	flows       map[flowKey]*serverFlow
	running     int
	waiting     []*serverFlow
	takes       []*taken
}

// serverFlow is a flow at a server.
type serverFlow struct {
	key      flowKey
	taken    *taken
	seq      uint32 // the server's first one
	sent     uint32 // how many bytes of responses the server has sent
	expected uint32 // the caller's next byte
	open     bool
	asked    bool   // a request waits for its response
	last     bool   // it is the last one on the flow
	unacked  int    // packets with data since the last acknowledgement
	request  string // its id
	closed   bool
	acked    uint32 // what the caller has acknowledged
}

// startServer starts a server beside the machine's companion.
func startServer(m *machine, slots int, work, cold time.Duration) (*server, error) {
	return startServerAs(m, fmt.Sprintf("i-%08x", rand.Uint32()), slots, work, cold)
}

// startServerAs starts a server with an id.
func startServerAs(m *machine, id string, slots int, work, cold time.Duration) (*server, error) {
	d := m.deployment
	ctx, cancel := context.WithCancel(context.Background())
	s := &server{
		machine: m, id: id, service: m.service, slots: slots, work: work,
		born: time.Now(), coldUntil: time.Now().Add(cold), cancel: cancel, flows: map[flowKey]*serverFlow{}, acked: make(chan struct{}), drainAcked: make(chan struct{}),
	}
	at := d.at(m.ip, d.ports.App)
	var err error
	s.conn, err = listenUDP(at)
	if err != nil {
		cancel()
		return nil, err
	}
	s.health, err = net.Listen("tcp4", at.String())
	if err != nil {
		cancel()
		_ = s.conn.Close()
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	web := &http.Server{Handler: mux}
	s.done.Go(func() { _ = web.Serve(s.health) })
	s.done.Go(s.receive)
	s.done.Go(func() { s.announce(ctx) })
	d.record.add("server %s of %s started beside %s, cold for %v", s.id, s.service, m.name, cold)
	return s, nil
}

// stop ends the server.
func (s *server) stop() {
	s.mutex.Lock()
	s.ended = true
	s.mutex.Unlock()
	s.cancel()
	_ = s.conn.Close()
	_ = s.health.Close()
	s.done.Wait()
	s.machine.deployment.record.add("server %s ended", s.id)
}

// cool makes the server cold from now on, and returns since when.
func (s *server) cool(cold time.Duration) time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	s.coldUntil = now.Add(cold)
	s.machine.deployment.record.add("server %s is cold for %v", s.id, cold)
	return now
}

// drain makes the server report that it is about to leave.
func (s *server) drain() {
	s.mutex.Lock()
	s.draining = true
	s.mutex.Unlock()
}

// announce sends the announcements.
func (s *server) announce(ctx context.Context) {
	d := s.machine.deployment
	url := "http://" + d.at(s.machine.ip, d.ports.Control).String() + names["server"] + s.id
	wasDraining := false
	for {
		s.mutex.Lock()
		s.announced++
		number, draining, coldLeft := s.announced, s.draining, max(time.Until(s.coldUntil), 0)
		s.mutex.Unlock()
		state := "ready"
		if draining {
			state = "draining"
		}
		body := render("announcement", map[string]any{
			"Service": s.service, "Address": d.at(s.machine.ip, d.ports.App), "Zone": s.machine.zone, "Slots": s.slots, "State": state,
			"ColdLeftMs": coldLeft.Milliseconds(), "Number": number, "Born": s.born.UnixMilli(),
		})
		request, _ := http.NewRequestWithContext(ctx, http.MethodPut, url, strings.NewReader(body))
		request.Header.Set("Content-Type", "application/json")
		response, err := d.client.Do(request)
		pause := announceRetry
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			if response.StatusCode/100 == 2 {
				pause = heartbeat
				s.ackedOnce.Do(func() { close(s.acked) })
				if draining {
					s.drainedOnce.Do(func() { close(s.drainAcked) })
				}
			}
			if number == 1 || response.StatusCode/100 != 2 || draining != wasDraining {
				d.record.add("server %s: announcement %d (%s) answered with %d", s.id, number, state, response.StatusCode)
			}
			wasDraining = draining
		} else if ctx.Err() == nil {
			d.record.add("server %s: announcement %d not answered", s.id, number)
		}
		for waited := time.Duration(0); waited < pause; waited += 20 * time.Millisecond {
			select {
			case <-ctx.Done():
				return
			case <-time.After(20 * time.Millisecond):
			}
			s.mutex.Lock()
			changed := s.draining != draining
			s.mutex.Unlock()
			if changed {
				break
			}
		}
	}
}

// receive handles the packets that the companion delivers.
func (s *server) receive() {
	buffer := make([]byte, 2048)
	for {
		n, _, err := s.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p, intact := decode(buffer[:n])
		if !intact {
			s.machine.deployment.record.add("server %s: a packet that no caller wrote", s.id)
			continue
		}
		s.mutex.Lock()
		s.handle(p, buffer[:n])
		s.mutex.Unlock()
	}
}

func (s *server) send(datagram []byte) {
	d := s.machine.deployment
	_, _ = s.conn.WriteToUDPAddrPort(datagram, d.at(s.machine.ip, d.ports.Outbound))
}

// bounce returns a caller's packet to the companion.
func (s *server) bounce(datagram []byte) {
	returned := bytes.Clone(datagram)
	returned[30] |= flagBounced
	copy(returned[31:36], make([]byte, 5))
	s.send(returned)
}

func (s *server) reply(f *serverFlow, flags byte, seq uint32, data []byte) {
	s.send(packet{from: f.key.service, to: f.key.caller, flags: flags, seq: seq, ack: f.expected, data: data}.encode())
}

func (s *server) handle(p packet, datagram []byte) {
	key := flowKey{caller: p.from, service: p.to}
	f := s.flows[key]
	switch {
	case p.opens():
		s.opening(p, key, f, datagram)
	case f == nil:
		s.bounce(datagram)
	case !f.open && p.ack != f.seq+1 && p.ack != f.seq:
		s.bounce(datagram)
	default:
		s.later(p, f)
	}
}

func (s *server) opening(p packet, key flowKey, f *serverFlow, datagram []byte) {
	if f == nil {
		if s.running+len(s.waiting) >= s.slots+20 || len(s.flows) >= 2000 {
			s.bounce(datagram)
			return
		}
		f = &serverFlow{key: key, seq: rand.Uint32(), expected: p.seq + 1, taken: &taken{at: time.Now(), flow: key}}
		s.flows[key] = f
		s.takes = append(s.takes, f.taken)
		s.machine.deployment.record.add("server %s (%s) takes the opening packet of %v", s.id, s.service, key)
	}
	if !f.open {
		s.reply(f, flagSyn|flagAck, f.seq, nil)
	}
}

func (s *server) later(p packet, f *serverFlow) {
	f.open = true
	f.acked = p.ack
	fresh := len(p.data) > 0 && p.seq == f.expected && !f.asked
	if fresh {
		f.unacked++
		f.expected += uint32(len(p.data))
		f.asked = true
		f.request, f.last = requestID(p.data), bytes.Contains(p.data, []byte("\r\nConnection: close\r\n"))
		f.taken.request = f.request
		s.waiting = append(s.waiting, f)
		s.runNext()
	}
	if p.has(flagFin) && !f.closed {
		f.closed = true
		f.expected++
	}
	if p.has(flagReset) {
		f.closed = true
		delete(s.flows, f.key)
		return
	}
	if f.unacked > 1 || p.has(flagFin) || (len(p.data) > 0 && !fresh) {
		f.unacked = 0
		s.reply(f, flagAck, f.seq+1+f.sent, nil)
	}
}

// runNext runs waiting requests while slots are free.
func (s *server) runNext() {
	for s.running < s.slots && len(s.waiting) > 0 {
		f := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.running++
		s.machine.deployment.record.add("server %s (%s) runs request %s", s.id, s.service, f.taken.request)
		work := s.work
		if s.longWork > 0 && rand.IntN(2) == 0 {
			work = s.longWork
		}
		time.AfterFunc(work, func() {
			s.mutex.Lock()
			defer s.mutex.Unlock()
			s.running--
			f.asked = false
			s.answer(f, s.response(f), 0, firstRepeat)
			s.runNext()
		})
	}
}

// response returns the packet of the response, with a FIN if it is the last one.
func (s *server) response(f *serverFlow) packet {
	data := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n%s: %s\r\n%s: 1\r\n\r\nok", names["request"], f.request, names["seal"])
	p := packet{from: f.key.service, to: f.key.caller, flags: flagAck, seq: f.seq + 1 + f.sent, data: data}
	f.sent += uint32(len(data))
	if f.last || s.draining {
		p.flags |= flagFin
		f.sent++
	}
	return p
}

// answer sends the response until the caller has acknowledged it.
func (s *server) answer(f *serverFlow, p packet, repeats int, pause time.Duration) {
	end := p.seq + uint32(len(p.data))
	if int32(f.acked-end) >= 0 || repeats > maxRepeats || s.flows[f.key] != f {
		return
	}
	p.ack, f.unacked = f.expected, 0
	s.send(p.encode())
	time.AfterFunc(pause, func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.answer(f, p, repeats+1, min(2*pause, lastRepeat))
	})
}

// holds reports whether the server lives and holds the open flow.
func (s *server) holds(key flowKey) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	f := s.flows[key]
	return !s.ended && f != nil && f.open && !f.closed
}

// taken returns copies of the opening packets that the server took so far.
func (s *server) taken() []taken {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	copies := make([]taken, 0, len(s.takes))
	for _, t := range s.takes {
		copies = append(copies, *t)
	}
	return copies
}

// requestID returns the id in a request's headers.
func requestID(data []byte) string {
	_, after, _ := bytes.Cut(data, []byte("\r\n"+names["request"]+": "))
	id, _, _ := bytes.Cut(after, []byte("\r\n"))
	return string(id)
}
