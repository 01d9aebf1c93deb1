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
	// workTime is how long a request runs.
	workTime = 30 * time.Millisecond
	// slots is how many requests a target reports to run at once.
	slots = 5
	// maxResends is how often a target sends a packet again that isn't acknowledged.
	maxResends = 8
)

// incarnation says how a target is started.
type incarnation struct {
	id, service string
}

// target is one incarnation of a target beside a companion.
type target struct {
	incarnation
	record   *record
	node     *node
	born     int64
	conn     *net.UDPConn
	outbound netip.AddrPort
	health   net.Listener
	stop     context.CancelFunc

	lock   sync.Mutex
	flows  map[flowKey]*targetFlow
	number int
	alive  bool
	beatAt time.Time
	// foreign lists the flows that it took of routes of another service.
	foreign []flowKey
}

// targetFlow is a flow that a target holds.
type targetFlow struct {
	open     bool
	first    uint32
	next     uint32
	received uint32
	ackedTo  uint32
}

// startTarget starts a target beside the node. It announces itself at once.
func startTarget(r *record, n *node, i incarnation) (*target, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(n.app))
	if err != nil {
		return nil, err
	}
	health, err := net.Listen("tcp4", n.app.String())
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	t := &target{
		incarnation: i, record: r, node: n, born: time.Now().UnixMilli(), conn: conn, outbound: n.outbound,
		health: health, stop: stop, flows: make(map[flowKey]*targetFlow), alive: true,
	}
	r.add("target %s of service %s starts at %s, born %d", i.id, i.service, n.app, t.born)
	go func() {
		_ = http.Serve(health, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
	}()
	go t.receive()
	go t.beat(ctx)
	return t, nil
}

// crash ends the target without a word to anybody.
func (t *target) crash() {
	t.lock.Lock()
	t.alive = false
	t.lock.Unlock()
	t.stop()
	_ = t.conn.Close()
	_ = t.health.Close()
}

// body returns the next heartbeat's body.
func (t *target) body() string {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.number++
	body, err := heartbeat{
		Service: t.service, Zone: t.node.zone, State: "ready", Address: t.node.app, Slots: slots, Number: t.number, Born: t.born,
	}.body()
	if err != nil {
		t.record.add("heartbeat of %s not encoded: %v", t.id, err)
	}
	return body
}

// beat sends a heartbeat at once and then at the interval of the settings, and sends one
// that fails again after a pause that grows.
func (t *target) beat(ctx context.Context) {
	due := time.Now()
	for ctx.Err() == nil {
		body := t.body()
		for pause := 250 * time.Millisecond; ctx.Err() == nil; pause *= 2 {
			if t.put(ctx, body) || time.Since(due)+pause > heartbeatInterval {
				break
			}
			sleep(ctx, pause)
		}
		due = due.Add(heartbeatInterval)
		sleep(ctx, time.Until(due))
	}
}

func (t *target) put(ctx context.Context, body string) bool {
	status, err := callHTTP(ctx, http.MethodPut, "http://"+t.node.control.String()+names.Instances+t.id, body)
	t.record.add("heartbeat of %s: %s -> %d %v", t.id, body, status, err)
	t.lock.Lock()
	t.beatAt = time.Now()
	t.lock.Unlock()
	return status/100 == 2
}

// holds reports whether the target lives and holds the flow open.
func (t *target) holds(key flowKey) bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	f, known := t.flows[key]
	return t.alive && known && f.open
}

func (t *target) receive() {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := t.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p, ok := decode(append([]byte(nil), buffer[:n]...))
		if !ok || !p.genuine() {
			t.record.add("%s received a packet that its sender didn't write so", t.id)
			continue
		}
		t.lock.Lock()
		t.handle(p)
		t.lock.Unlock()
	}
}

func (t *target) handle(p packet) {
	key := flowKey{client: p.source, route: p.dest}
	f, known := t.flows[key]
	switch {
	case p.has(flagSyn):
		if !known {
			f = &targetFlow{first: rand.Uint32(), received: p.seq + 1}
			f.next, f.ackedTo = f.first+1, f.first+1
			t.flows[key] = f
			t.record.add("%s takes the opening packet of %v", t.id, key)
			if serviceOf(key.route) != t.service {
				t.record.add("ROUTE: %s of service %s took a flow of service %s", t.id, t.service, serviceOf(key.route))
				t.foreign = append(t.foreign, key)
			}
		}
		t.send(packet{source: key.route, dest: key.client, flags: flagSyn | flagAck, seq: f.first, ack: f.received})
	case !known || (!f.open && p.ack != f.first+1):
		p.raw[offsetFlags] |= flagBounced
		clear(p.raw[offsetPad:headerBytes])
		t.record.add("%s returns a packet of %v", t.id, key)
		_, _ = t.conn.WriteToUDPAddrPort(p.raw, t.outbound)
	case p.has(flagReset):
		delete(t.flows, key)
	default:
		t.handleOpen(key, f, p)
	}
}

// handleOpen handles a client's packet of a flow that is open or opens by it.
func (t *target) handleOpen(key flowKey, f *targetFlow, p packet) {
	if !f.open {
		f.open = true
		t.record.add("%s has opened %v", t.id, key)
	}
	f.ackedTo = p.ack
	switch {
	case len(p.data) > 0 && p.seq == f.received:
		f.received += uint32(len(p.data))
		id := requestID(p.data)
		t.record.add("%s runs request %s of %v", t.id, id, key)
		time.AfterFunc(workTime, func() { t.answer(key, f, id) })
	case len(p.data) > 0:
		t.send(packet{source: key.route, dest: key.client, flags: flagAck, seq: f.next, ack: f.received})
	case p.has(flagFin):
		t.send(packet{source: key.route, dest: key.client, flags: flagAck, seq: f.next, ack: p.seq + 1})
		delete(t.flows, key)
	}
}

// answer sends the answer of a request, again until the client acknowledges it.
func (t *target) answer(key flowKey, f *targetFlow, id string) {
	t.lock.Lock()
	body := "done " + id
	data := []byte(fmt.Sprintf("HTTP/1.1 200 OK\r\n%s%s\r\nContent-Length: %d\r\n\r\n%s", names.SealHeader, t.id, len(body), body))
	p := packet{source: key.route, dest: key.client, flags: flagAck, seq: f.next, ack: f.received, data: data}
	f.next += uint32(len(data))
	end := f.next
	t.lock.Unlock()
	pause := 200 * time.Millisecond
	for range maxResends {
		t.lock.Lock()
		done := !t.alive || int32(f.ackedTo-end) >= 0
		if !done {
			t.send(p)
		}
		t.lock.Unlock()
		if done {
			return
		}
		time.Sleep(pause)
		pause = min(2*pause, 1600*time.Millisecond)
	}
}

func (t *target) send(p packet) { _, _ = t.conn.WriteToUDPAddrPort(p.encode(), t.outbound) }

func requestID(data []byte) string {
	_, after, _ := bytes.Cut(data, []byte(names.RequestHeader))
	id, _, _ := bytes.Cut(after, []byte("\r\n"))
	return string(id)
}

// callTimeout is how long a caller waits for an answer of the system.
const callTimeout = time.Second

var httpClient = &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

func callHTTP(ctx context.Context, method, url, body string) (int, error) {
	status, _, err := readHTTP(ctx, method, url, body)
	return status, err
}

func readHTTP(ctx context.Context, method, url, body string) (int, string, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	if body != "" {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := httpClient.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	return response.StatusCode, string(answer), err
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
