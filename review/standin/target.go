package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// target is a backend server beside a companion, as PROTOCOL describes it.
type target struct {
	d        *deployment
	machine  *machine
	id       string
	service  string
	slots    int
	work     time.Duration
	born     int64
	conn     *net.UDPConn
	health   net.Listener
	outbound netip.AddrPort

	lock  sync.Mutex
	flows map[flowKey]*targetFlow
	// ended holds the flows that have ended here.
	ended  map[flowKey]bool
	seq    int
	state  string
	closed bool
	// onOpen is called with each flow that the target accepts, if set.
	onOpen func(key flowKey)
}

type targetFlow struct {
	iss, next, sent uint32
	open            bool
	received        int
	request         []byte
	unacked         []byte
	unackedEnd      uint32
}

// newTarget starts a target on a side machine. Its first heartbeat is sent at once.
func (d *deployment) newTarget(m *machine, service string, slots int, work time.Duration) (*target, error) {
	t := &target{
		d: d, machine: m, service: service, slots: slots, work: work, state: "ready",
		id: fmt.Sprintf("i-%08x", rand.Uint32()), born: time.Now().Add(d.bornOffset).UnixMilli(),
		outbound: d.at(m, portOutbound), flows: map[flowKey]*targetFlow{}, ended: map[flowKey]bool{},
	}
	app := d.at(m, portApp)
	var err error
	t.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(app))
	if err != nil {
		return nil, err
	}
	t.health, err = net.Listen("tcp4", app.String())
	if err != nil {
		_ = t.conn.Close()
		return nil, err
	}
	go func() {
		_ = http.Serve(t.health, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
	}()
	go t.receive()
	go t.beat()
	d.record("target %s of %s starts on %s", t.id, service, m.name)
	d.targets = append(d.targets, t)
	return t, nil
}

func (t *target) close() {
	t.lock.Lock()
	t.closed = true
	t.lock.Unlock()
	_ = t.conn.Close()
	_ = t.health.Close()
}

// beat sends heartbeats until the target is closed.
func (t *target) beat() {
	for {
		t.lock.Lock()
		closed := t.closed
		t.lock.Unlock()
		if closed {
			return
		}
		t.heartbeat()
		time.Sleep(t.d.heartbeat)
	}
}

// heartbeat sends one heartbeat and reports whether it was acknowledged.
func (t *target) heartbeat() bool {
	t.lock.Lock()
	t.seq++
	body := heartbeatBody{t.service, t.d.at(t.machine, portApp), t.machine.zone, t.slots, t.state, t.seq, t.born}.String()
	seq, state := t.seq, t.state
	t.lock.Unlock()
	status := t.d.put(t.d.at(t.machine, portControl), names.Instances+t.id, body)
	if seq <= 2 || status != http.StatusOK || state != "ready" {
		t.d.record("heartbeat %d of %s (%s): %s", seq, t.id, state, statusText(status))
	}
	return status/100 == 2
}

func (t *target) receive() {
	buffer := make([]byte, maxPacket)
	for {
		n, _, err := t.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			t.lock.Lock()
			closed := t.closed
			t.lock.Unlock()
			if closed {
				return
			}
			continue
		}
		if n >= headerBytes {
			t.handle(append([]byte(nil), buffer[:n]...))
		}
	}
}

func (t *target) send(p []byte) { _, _ = t.conn.WriteToUDPAddrPort(p, t.outbound) }

func (t *target) bounce(p []byte) {
	p[offsetFlags] |= flagBounced
	clear(p[offsetPad:headerBytes])
	t.send(p)
}

// handle processes one packet from the node beside the target.
func (t *target) handle(p []byte) {
	client, route := endsOf(p)
	key := flowKey{client, route}
	if storedSum(p) != sumOf(p) {
		t.d.record("BAD SUM: target %s got a packet that its sender didn't write so, flow %s", t.id, key)
		return
	}
	t.lock.Lock()
	defer t.lock.Unlock()
	flow, known := t.flows[key]
	flags := p[offsetFlags]
	switch {
	case flags&flagSyn != 0:
		if !known {
			if t.state != "ready" && t.state != "draining" {
				t.bounce(p)
				return
			}
			flow = &targetFlow{iss: rand.Uint32(), next: seqOf(p) + 1}
			flow.sent = flow.iss + 1
			t.flows[key] = flow
			delete(t.ended, key)
			if t.onOpen != nil {
				t.onOpen(key)
			}
		}
		t.send(packet(route, client, flagSyn|flagAck, flow.iss, flow.next, nil))
	case !known && t.ended[key]:
		if flags&flagReset == 0 {
			if len(p) > headerBytes {
				t.send(packet(route, client, flagReset, ackOf(p), seqOf(p), nil))
			} else if flags&flagFin != 0 {
				t.send(packet(route, client, flagAck, ackOf(p), seqOf(p)+1, nil))
			}
		}
	case !known || (!flow.open && ackOf(p) != flow.iss+1):
		t.bounce(p)
	case flags&flagReset != 0:
		delete(t.flows, key)
		t.ended[key] = true
	default:
		t.openPacket(p, key, flow)
	}
}

// openPacket processes a packet of a flow that the target holds.
func (t *target) openPacket(p []byte, key flowKey, flow *targetFlow) {
	if !flow.open {
		flow.open = true
		t.d.record("flow %s opens at target %s of %s", key, t.id, t.service)
	}
	if flow.unacked != nil && int32(ackOf(p)-flow.unackedEnd) >= 0 {
		flow.unacked = nil
	}
	data := p[headerBytes:]
	if len(data) > 0 {
		if seqOf(p) == flow.next {
			flow.next += uint32(len(data))
			flow.request = append(flow.request, data...)
		}
		// Every second packet is acknowledged; the answer acknowledges a single one.
		flow.received++
		if flow.received%2 == 0 {
			t.send(packet(key.route, key.client, flagAck, flow.sent, flow.next, nil))
		}
		t.requests(key, flow)
	}
	if p[offsetFlags]&flagFin != 0 && seqOf(p)+uint32(len(data)) == flow.next {
		t.send(packet(key.route, key.client, flagAck|flagFin, flow.sent, flow.next+1, nil))
		delete(t.flows, key)
		t.ended[key] = true
	}
}

// requests starts the whole requests that the flow has received.
func (t *target) requests(key flowKey, flow *targetFlow) {
	end := bytes.Index(flow.request, []byte("\r\n\r\n"))
	if end < 0 {
		return
	}
	head := string(flow.request[:end])
	flow.request = flow.request[end+4:]
	id := ""
	for _, line := range strings.Split(head, "\r\n") {
		if value, ok := strings.CutPrefix(line, names.RequestHeader+": "); ok {
			id = value
		}
	}
	t.d.record("request %s runs at target %s of %s, flow %s", id, t.id, t.service, key)
	t.d.ran(id, t)
	time.AfterFunc(t.work, func() { t.respond(key, flow, id) })
}

// respond sends the response and repeats it until it is acknowledged.
func (t *target) respond(key flowKey, flow *targetFlow, id string) {
	body := "answer to " + id
	data := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", names.SealHeader, t.id, len(body), body)
	t.lock.Lock()
	defer t.lock.Unlock()
	if t.flows[key] != flow {
		return
	}
	p := packet(key.route, key.client, flagAck, flow.sent, flow.next, data)
	flow.sent += uint32(len(data))
	flow.unacked, flow.unackedEnd = p, flow.sent
	t.send(p)
	if t.state == "draining" {
		// A draining target closes each flow after its next response.
		t.d.record("target %s closes flow %s", t.id, key)
		t.send(packet(key.route, key.client, flagAck|flagFin, flow.sent, flow.next, nil))
	}
	t.repeat(key, flow, p, 200*time.Millisecond, 8)
}

func (t *target) repeat(key flowKey, flow *targetFlow, p []byte, after time.Duration, left int) {
	time.AfterFunc(after, func() {
		t.lock.Lock()
		defer t.lock.Unlock()
		if t.closed || t.flows[key] != flow || flow.unacked == nil || &flow.unacked[0] != &p[0] || left == 0 {
			return
		}
		t.send(p)
		t.repeat(key, flow, p, min(2*after, 1600*time.Millisecond), left-1)
	})
}

// holds reports whether the target holds an open flow.
func (t *target) holds(key flowKey) bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	flow, known := t.flows[key]
	return known && flow.open && !t.closed
}
