package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	// openLimit is how long a caller waits for an answer to its opening packets.
	openLimit = 1400 * time.Millisecond
	// lingering is how long a caller answers packets of a flow that has ended.
	lingering = 2 * time.Second
)

// copiesAt are the times of the copies of an opening packet.
var copiesAt = []time.Duration{200 * time.Millisecond, 600 * time.Millisecond}

// outcome is how a request ended.
type outcome struct {
	id     string
	route  netip.AddrPort
	flow   flowKey
	sentAt time.Time
	answer string // "200", "reset", "no flow" or "deadline"
}

// caller is a stand-in of a client's machine. Each request has a flow of its own.
type caller struct {
	deployment *deployment
	ip         netip.Addr
	conn       *net.UDPConn
	router     *router

	mutex sync.Mutex
	port  uint16
	flows map[uint16]chan packet
}

func newCaller(d *deployment, r *router) (*caller, error) {
	c := &caller{deployment: d, ip: d.address(), router: r, flows: map[uint16]chan packet{}, port: uint16(1024 + rand.IntN(20000))}
	var err error
	c.conn, err = listenUDP(d.at(c.ip, d.ports.Packets))
	if err != nil {
		return nil, err
	}
	go c.receive()
	return c, nil
}

func (c *caller) close() { _ = c.conn.Close() }

func (c *caller) receive() {
	buffer := make([]byte, 2048)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p, intact := decode(buffer[:n])
		if !intact && !p.has(flagReset) {
			c.deployment.record.add("caller %v: a packet that no server wrote", c.ip)
			continue
		}
		c.mutex.Lock()
		flow := c.flows[p.to.Port()]
		c.mutex.Unlock()
		if flow == nil {
			continue
		}
		select {
		case flow <- p:
		default:
		}
	}
}

// send sends a packet through the entry instance that the router selects.
func (c *caller) send(p packet) {
	entry := c.router.pick(p)
	_, _ = c.conn.WriteToUDPAddrPort(p.encode(), c.deployment.at(entry.ip, c.deployment.ports.Packets))
}

// newFlow returns an unused port with the packets that come to it.
func (c *caller) newFlow() (uint16, chan packet) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.port++
	if c.port < 1024 {
		c.port = 1024
	}
	packets := make(chan packet, 64)
	c.flows[c.port] = packets
	return c.port, packets
}

// endFlow forgets a port after some time.
func (c *caller) endFlow(port uint16) {
	time.AfterFunc(lingering, func() {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		delete(c.flows, port)
	})
}

// attempt sends a request on a new flow and returns how it ended.
func (c *caller) attempt(route netip.AddrPort, deadline time.Duration) outcome {
	port, packets := c.newFlow()
	o := outcome{id: fmt.Sprintf("%016x", rand.Uint64()), route: route, flow: flowKey{c.deployment.at(c.ip, int(port)), route}, sentAt: time.Now()}
	c.deployment.record.add("caller sends request %s to %v on flow %v", o.id, route, o.flow)
	o.answer = c.run(o, packets, deadline)
	c.deployment.record.add("request %s ends: %s", o.id, o.answer)
	c.endFlow(port)
	return o
}

// open opens a flow. It returns the server's answer, or how the attempt ended.
func (c *caller) open(key flowKey, seq uint32, packets chan packet) (packet, string) {
	began := time.Now()
	syn := packet{from: key.caller, to: key.service, flags: flagSyn, seq: seq}
	c.send(syn)
	limit := time.NewTimer(openLimit)
	defer limit.Stop()
	for copies := 0; ; {
		var next <-chan time.Time
		if copies < len(copiesAt) {
			next = time.After(time.Until(began.Add(copiesAt[copies])))
		}
		select {
		case <-limit.C:
			return packet{}, "no flow"
		case <-next:
			copies++
			syn.ack = uint32(copies)
			c.send(syn)
		case p := <-packets:
			if p.has(flagReset) {
				return packet{}, "reset before it opened"
			}
			if p.has(flagSyn | flagAck) {
				return p, ""
			}
		}
	}
}

func (c *caller) run(o outcome, packets chan packet, deadline time.Duration) string {
	began := time.Now()
	seq := rand.Uint32()
	answered, failure := c.open(o.flow, seq, packets)
	if failure != "" {
		return failure
	}
	data := fmt.Appendf(nil, "GET /work HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nConnection: close\r\n\r\n", o.route, names["request"], o.id)
	request := packet{from: o.flow.caller, to: o.flow.service, flags: flagAck, seq: seq + 1, ack: answered.seq + 1, data: data}
	c.send(request)
	acked, pause := false, firstRepeat
	repeat := time.NewTimer(pause)
	defer repeat.Stop()
	limit := time.NewTimer(time.Until(began.Add(deadline)))
	defer limit.Stop()
	for {
		select {
		case <-limit.C:
			return "deadline"
		case <-repeat.C:
			if !acked {
				c.send(request)
				pause = min(2*pause, lastRepeat)
				repeat.Reset(pause)
			}
		case p := <-packets:
			switch {
			case p.has(flagReset):
				return "reset"
			case len(p.data) > 0:
				return c.finish(o, request, p, packets)
			case p.has(flagAck) && p.ack == request.seq+uint32(len(data)):
				acked = true
			}
		}
	}
}

// finish acknowledges the response, closes the flow and answers repeated packets.
func (c *caller) finish(o outcome, request, response packet, packets chan packet) string {
	last := packet{
		from: o.flow.caller, to: o.flow.service, flags: flagAck | flagFin,
		seq: request.seq + uint32(len(request.data)), ack: response.seq + uint32(len(response.data)) + 1,
	}
	c.send(last)
	go func() {
		end := time.After(lingering)
		for {
			select {
			case <-end:
				return
			case p := <-packets:
				if len(p.data) > 0 {
					c.send(last)
				}
			}
		}
	}()
	if !bytes.Contains(response.data, []byte(names["request"]+": "+o.id+"\r\n")) {
		return "an answer to another request"
	}
	return "200"
}

// load sends requests at a rate until it is stopped, and collects how they ended.
type load struct {
	stop    chan struct{}
	pending sync.WaitGroup
	mutex   sync.Mutex
	ended   []outcome
}

func startLoad(callers []*caller, route netip.AddrPort, perSecond float64, deadline time.Duration) *load {
	l := &load{stop: make(chan struct{})}
	l.pending.Go(func() {
		ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-l.stop:
				return
			case <-ticker.C:
			}
			c := callers[i%len(callers)]
			l.pending.Go(func() {
				o := c.attempt(route, deadline)
				l.mutex.Lock()
				defer l.mutex.Unlock()
				l.ended = append(l.ended, o)
			})
		}
	})
	return l
}

// outcomes stops the load and returns all that it collected.
func (l *load) outcomes() []outcome {
	close(l.stop)
	l.pending.Wait()
	return l.ended
}
