package main

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// Errors of a client's attempt.
var (
	errSystemReset = errors.New("reset by the system")
	errTargetReset = errors.New("reset by the target")
	errNoAnswer    = errors.New("no answer in time")
)

// router forwards clients' packets to the entry instances that are in rotation.
type router struct {
	record *record
	lock   sync.Mutex
	nodes  []*node
	misses map[*node]int
	out    map[*node]bool
}

// run checks the readiness of each node twice a second until ctx is done. A node leaves the
// rotation after two misses.
func (r *router) run(ctx context.Context) {
	for ctx.Err() == nil {
		for _, n := range r.nodes {
			status, _ := callHTTP(ctx, http.MethodGet, "http://"+n.ready.String()+names.Ready, "")
			r.lock.Lock()
			was := r.out[n]
			if status == http.StatusOK {
				r.misses[n], r.out[n] = 0, false
			} else {
				r.misses[n]++
				r.out[n] = r.out[n] || r.misses[n] >= 2
			}
			if was != r.out[n] {
				r.record.add("entry instance %s in rotation: %v", n.name, !r.out[n])
			}
			r.lock.Unlock()
		}
		sleep(ctx, 500*time.Millisecond)
	}
}

// pick returns the entry instance for a flow: only flows of a node that joins or leaves the
// rotation move.
func (r *router) pick(key flowKey) netip.AddrPort {
	r.lock.Lock()
	defer r.lock.Unlock()
	var best *node
	var bestWeight uint32
	for _, n := range r.nodes {
		h := fnv.New32a()
		_, _ = h.Write([]byte(key.client.String() + key.route.String() + n.name))
		weight := h.Sum32()
		if !r.out[n] && (best == nil || weight > bestWeight) {
			best, bestWeight = n, weight
		}
	}
	if best == nil {
		best = r.nodes[0]
	}
	return best.packets
}

// client opens flows from one address.
type client struct {
	record *record
	router *router
	conn   *net.UDPConn
	self   netip.Addr
	lock   sync.Mutex
	port   uint16
	flows  map[uint16]*clientFlow
}

// clientFlow is a flow at its client.
type clientFlow struct {
	client  *client
	key     flowKey
	arrived chan packet
	next    uint32
	ack     uint32
	// target is the target that has answered.
	target string
}

func newClient(r *record, router *router, at netip.AddrPort) (*client, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, err
	}
	c := &client{record: r, router: router, conn: conn, self: at.Addr(), port: 40000, flows: make(map[uint16]*clientFlow)}
	go c.receive()
	return c, nil
}

func (c *client) receive() {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p, ok := decode(append([]byte(nil), buffer[:n]...))
		if !ok {
			continue
		}
		c.lock.Lock()
		f := c.flows[p.dest.Port()]
		c.lock.Unlock()
		if f == nil || f.key.route != p.source {
			continue
		}
		select {
		case f.arrived <- p:
		default:
		}
	}
}

func (f *clientFlow) send(flags byte, seq, ack uint32, data []byte) {
	p := packet{source: f.key.client, dest: f.key.route, flags: flags, seq: seq, ack: ack, data: data}
	_, _ = f.client.conn.WriteToUDPAddrPort(p.encode(), f.client.router.pick(f.key))
}

// open opens a flow to a route.
func (c *client) open(route netip.AddrPort) (*clientFlow, error) {
	c.lock.Lock()
	c.port++
	f := &clientFlow{client: c, key: flowKey{client: netip.AddrPortFrom(c.self, c.port), route: route}, arrived: make(chan packet, 64), next: rand.Uint32()}
	c.flows[c.port] = f
	c.lock.Unlock()
	first := f.next
	p, err := f.exchange([]time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond}, func(copies int) {
		f.send(flagSyn, first, uint32(copies), nil)
	}, func(p packet) bool { return p.has(flagSyn) && p.has(flagAck) })
	if err != nil {
		c.record.add("client: flow %v did not open: %v", f.key, err)
		return nil, err
	}
	f.next, f.ack = first+1, p.seq+1
	f.send(flagAck, f.next, f.ack, nil)
	return f, nil
}

// request sends a request on the flow and waits for its answer.
func (f *clientFlow) request(id string, deadline time.Duration) error {
	data := []byte(fmt.Sprintf("GET / HTTP/1.1\r\nHost: route\r\n%s%s\r\n\r\n", names.RequestHeader, id))
	var until []time.Duration
	for at, pause := time.Duration(0), 200*time.Millisecond; at < deadline; pause = min(2*pause, 1600*time.Millisecond) {
		at += pause
		until = append(until, min(at, deadline))
	}
	first := f.ack
	f.client.record.add("client: request %s on %v", id, f.key)
	p, err := f.exchange(until, func(int) { f.send(flagAck, f.next, f.ack, data) }, func(p packet) bool { return len(p.data) > 0 && p.seq == first })
	if err != nil {
		f.client.record.add("client: request %s on %v failed: %v", id, f.key, err)
		return err
	}
	f.next += uint32(len(data))
	f.ack = p.seq + uint32(len(p.data))
	f.send(flagAck, f.next, f.ack, nil)
	f.target = sealOf(p.data)
	f.client.record.add("client: request %s on %v answered by %s", id, f.key, f.target)
	return nil
}

// exchange sends a packet, again at each of the given times but the last, until a packet is
// accepted or the last one has passed.
func (f *clientFlow) exchange(until []time.Duration, send func(copies int), accept func(packet) bool) (packet, error) {
	began := time.Now()
	for copies, at := range until {
		send(copies)
		timer := time.NewTimer(time.Until(began.Add(at)))
		for waiting := true; waiting; {
			select {
			case p := <-f.arrived:
				switch {
				case p.has(flagReset) && p.sum == 0:
					timer.Stop()
					return p, errSystemReset
				case !p.genuine():
					f.client.record.add("client: packet of %v that its sender didn't write so", f.key)
				case p.has(flagReset):
					timer.Stop()
					return p, errTargetReset
				case accept(p):
					timer.Stop()
					return p, nil
				}
			case <-timer.C:
				waiting = false
			}
		}
	}
	return packet{}, errNoAnswer
}

func sealOf(data []byte) string {
	header := names.SealHeader
	for line := range splitLines(data) {
		if len(line) > len(header) && line[:len(header)] == header {
			return line[len(header):]
		}
	}
	return ""
}
