package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

var (
	errReset    = errors.New("reset by the system")
	errOwnReset = errors.New("reset by the target")
	errSilence  = errors.New("no answer")
)

// client is one client machine. Each of its flows has a port of its own.
type client struct {
	d    *deployment
	addr netip.Addr
	zone string
	conn *net.UDPConn
	lock sync.Mutex
	port uint16
	// flows holds the open flows and those being opened, by port.
	flows map[uint16]*flow
	next  int
}

// flow is one flow of a client.
type flow struct {
	c        *client
	key      flowKey
	entry    netip.AddrPort
	packets  chan []byte
	seq, ack uint32
	open     bool
	openedAt time.Time
	lastUsed time.Time
	// resetAt is when the system reset the flow, zero if it didn't.
	resetAt time.Time
	reset   chan struct{}
	// closed is set once the target has closed the flow.
	closed bool
}

func (d *deployment) newClient(zone string) (*client, error) {
	addr := d.newAddr()
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(addr, d.ports[portPacket])))
	if err != nil {
		return nil, err
	}
	c := &client{d: d, addr: addr, zone: zone, conn: conn, port: 40000, flows: map[uint16]*flow{}}
	d.clients = append(d.clients, c)
	go c.receive()
	return c, nil
}

func (c *client) receive() {
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
		route, to := endsOf(p)
		systemReset := p[offsetFlags] == flagReset && storedSum(p) == 0 && n == headerBytes
		if !systemReset && storedSum(p) != sumOf(p) {
			c.d.record("BAD SUM: client got a packet that its sender didn't write so, from %s to %s", route, to)
			continue
		}
		c.lock.Lock()
		f := c.flows[to.Port()]
		if f == nil || f.key.route != route {
			c.lock.Unlock()
			continue
		}
		if p[offsetFlags]&flagFin != 0 {
			f.closed = true
		}
		if systemReset && f.open {
			distance := int32(seqOf(p) - f.ack)
			if distance > 76800 || distance < -76800 {
				c.lock.Unlock()
				continue
			}
			if f.resetAt.IsZero() {
				f.resetAt = time.Now()
				close(f.reset)
			}
		}
		c.lock.Unlock()
		select {
		case f.packets <- p:
		default:
		}
	}
}

// openFlow opens a flow to a route. Each opening packet and its copies go through the entry
// instance that the router picks.
func (c *client) openFlow(route netip.AddrPort) (*flow, error) {
	c.lock.Lock()
	c.port++
	key := flowKey{netip.AddrPortFrom(c.addr, c.port), route}
	f := &flow{c: c, key: key, packets: make(chan []byte, 64), seq: rand.Uint32(), reset: make(chan struct{})}
	c.flows[c.port] = f
	c.lock.Unlock()
	begin := time.Now()
	offsets := []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}
	for number, offset := range offsets {
		until := 1400 * time.Millisecond
		if number+1 < len(offsets) {
			until = offsets[number+1]
		}
		time.Sleep(time.Until(begin.Add(offset)))
		f.transmit(packet(key.client, route, flagSyn, f.seq, uint32(number), nil))
		timer := time.NewTimer(time.Until(begin.Add(until)))
		for waiting := true; waiting; {
			select {
			case p := <-f.packets:
				flags := p[offsetFlags]
				if flags&flagReset != 0 {
					timer.Stop()
					f.forget()
					return f, errReset
				}
				if flags&flagSyn == 0 || flags&flagAck == 0 {
					continue
				}
				timer.Stop()
				c.lock.Lock()
				f.seq++
				f.ack, f.open, f.openedAt, f.lastUsed = seqOf(p)+1, true, time.Now(), time.Now()
				c.lock.Unlock()
				f.transmit(packet(key.client, route, flagAck, f.seq, f.ack, nil))
				return f, nil
			case <-timer.C:
				waiting = false
			}
		}
	}
	f.forget()
	return f, errSilence
}

func (f *flow) forget() {
	f.c.lock.Lock()
	defer f.c.lock.Unlock()
	delete(f.c.flows, f.key.client.Port())
}

// transmit sends a packet through the entry instance that the router picks now.
func (f *flow) transmit(p []byte) {
	f.entry = f.c.d.entryFor(f.c.zone, f.key)
	if f.entry.IsValid() {
		_, _ = f.c.conn.WriteToUDPAddrPort(p, f.entry)
	}
}

// request sends a request on the flow and waits for the whole answer.
func (f *flow) request(method, id string, deadline time.Duration) (string, error) {
	data := fmt.Appendf(nil, "%s / HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n\r\n", method, f.key.route, names.RequestHeader, id)
	f.c.d.record("request %s (%s) is sent on flow %s", id, method, f.key)
	f.c.lock.Lock()
	p := packet(f.key.client, f.key.route, flagAck, f.seq, f.ack, data)
	f.seq += uint32(len(data))
	f.lastUsed = time.Now()
	f.c.lock.Unlock()
	end := time.NewTimer(deadline)
	defer end.Stop()
	interval := 200 * time.Millisecond
	again := time.NewTimer(interval)
	defer again.Stop()
	f.transmit(p)
	acked, answer := false, ""
	for {
		select {
		case got := <-f.packets:
			switch flags := got[offsetFlags]; {
			case flags&flagReset != 0 && storedSum(got) == 0:
				select {
				case <-f.reset:
					return "", errReset
				default:
				}
			case flags&flagReset != 0:
				return "", errOwnReset
			case flags&flagSyn != 0:
				f.transmit(packet(f.key.client, f.key.route, flagAck, f.seq, f.ack, nil))
			default:
				acked = acked || int32(ackOf(got)-f.seq) >= 0
				body := got[headerBytes:]
				if len(body) > 0 && seqOf(got) == f.ack {
					f.c.lock.Lock()
					f.ack += uint32(len(body))
					f.c.lock.Unlock()
					answer += string(body)
				}
				if len(body) > 0 {
					f.transmit(packet(f.key.client, f.key.route, flagAck, f.seq, f.ack, nil))
				}
				if whole(answer) {
					f.lastUsed = time.Now()
					if !strings.HasSuffix(answer, "answer to "+id) {
						f.c.d.record("FOREIGN ANSWER: request %s got %q", id, answer)
					}
					return answer, nil
				}
			}
		case <-again.C:
			if !acked {
				f.transmit(p)
			}
			interval = min(2*interval, 1600*time.Millisecond)
			again.Reset(interval)
		case <-end.C:
			return "", errSilence
		}
	}
}

// whole reports whether an answer is complete.
func whole(answer string) bool {
	head, body, found := strings.Cut(answer, "\r\n\r\n")
	if !found {
		return false
	}
	for _, line := range strings.Split(head, "\r\n") {
		var length int
		if _, err := fmt.Sscanf(line, "Content-Length: %d", &length); err == nil {
			return len(body) >= length
		}
	}
	return false
}

// isClosed reports whether the target has closed the flow.
func (f *flow) isClosed() bool {
	f.c.lock.Lock()
	defer f.c.lock.Unlock()
	return f.closed
}

// finish closes the flow from the client's side.
func (f *flow) finish() {
	f.transmit(packet(f.key.client, f.key.route, flagAck|flagFin, f.seq, f.ack, nil))
	time.AfterFunc(100*time.Millisecond, f.forget)
}

// once opens a flow, sends one request and closes the flow.
func (c *client) once(route netip.AddrPort, method, id string, deadline time.Duration) error {
	f, err := c.openFlow(route)
	if err != nil {
		return err
	}
	_, err = f.request(method, id, deadline)
	if err == nil {
		f.finish()
	}
	return err
}
