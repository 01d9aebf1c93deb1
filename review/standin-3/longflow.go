package main

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"
)

// resetFlow is an open flow that was reset by a packet that no server wrote.
type resetFlow struct {
	flow   flowKey
	at     time.Time
	opened time.Time
	idle   time.Duration // since the flow's last packet
}

// longFlows are callers that keep flows open for many requests, with pauses between.
type longFlows struct {
	stop    chan struct{}
	pending sync.WaitGroup

	mutex  sync.Mutex
	broken int
	ended  map[string]int
}

// startLongFlows keeps a number of flows open. held is asked about each flow that was reset.
func startLongFlows(callers []*caller, route netip.AddrPort, count int, minPause, maxPause, deadline time.Duration, held func(resetFlow) bool) *longFlows {
	l := &longFlows{stop: make(chan struct{}), ended: map[string]int{}}
	for i := range count {
		c := callers[i%len(callers)]
		l.pending.Go(func() {
			for {
				select {
				case <-l.stop:
					return
				case <-time.After(time.Duration(rand.Int64N(int64(time.Second)))):
				}
				how, lost := c.keepFlow(route, minPause, maxPause, deadline, l.stop)
				l.mutex.Lock()
				l.ended[how]++
				if lost != nil && held(*lost) {
					l.broken++
				}
				l.mutex.Unlock()
			}
		})
	}
	return l
}

// end stops the callers and returns how flows ended.
func (l *longFlows) end() map[string]int {
	close(l.stop)
	l.pending.Wait()
	return l.ended
}

// keepFlow opens a flow and sends requests on it until it ends.
func (c *caller) keepFlow(route netip.AddrPort, minPause, maxPause, deadline time.Duration, stop chan struct{}) (string, *resetFlow) {
	port, packets := c.newFlow()
	defer c.endFlow(port)
	key := flowKey{c.deployment.at(c.ip, int(port)), route}
	seq := rand.Uint32()
	answered, failure := c.open(key, seq, packets)
	if failure != "" {
		return failure, nil
	}
	f := longFlow{caller: c, key: key, packets: packets, next: seq + 1, ack: answered.seq + 1, opened: time.Now(), last: time.Now()}
	c.deployment.record.add("flow %v is open", key)
	for requests := 1 + rand.IntN(maxRequests); ; requests-- {
		how := f.request(deadline)
		if how == "" && requests <= 1 {
			f.send(flagAck|flagFin, f.next, nil)
			how = "closed by the caller"
		}
		if how == "" {
			how = f.wait(minPause+time.Duration(rand.Int64N(int64(maxPause-minPause))), stop)
		}
		if how != "" {
			c.deployment.record.add("flow %v ends: %s", key, how)
			return how, f.lost
		}
	}
}

// longFlow is a flow at its caller.
type longFlow struct {
	caller  *caller
	key     flowKey
	packets chan packet
	next    uint32 // sequence number of the next byte
	ack     uint32 // what was acknowledged last
	opened  time.Time
	last    time.Time
	lost    *resetFlow
}

func (f *longFlow) send(flags byte, seq uint32, data []byte) {
	f.last = time.Now()
	f.caller.send(packet{from: f.key.caller, to: f.key.service, flags: flags, seq: seq, ack: f.ack, data: data})
}

// receive handles a packet. It returns how the flow has ended, and whether the packet is
// a new response.
func (f *longFlow) receive(p packet) (string, bool) {
	switch {
	case p.has(flagReset):
		if distance := int32(p.seq - f.ack); distance > 76800 || distance < -76800 {
			return "", false
		}
		now := time.Now()
		f.lost = &resetFlow{flow: f.key, at: now, opened: f.opened, idle: now.Sub(f.last)}
		return "reset", false
	case len(p.data) > 0 && p.seq == f.ack && p.has(flagFin):
		f.ack += uint32(len(p.data)) + 1
		f.send(flagAck|flagFin, f.next, nil)
		return "closed by the server", true
	case len(p.data) > 0 && p.seq == f.ack:
		f.ack += uint32(len(p.data))
		f.send(flagAck, f.next, nil)
		return "", true
	case len(p.data) > 0:
		f.send(flagAck, f.next, nil)
	}
	return "", false
}

// request sends a request and waits for its response.
func (f *longFlow) request(deadline time.Duration) string {
	id := fmt.Sprintf("%016x", rand.Uint64())
	data := fmt.Appendf(nil, "GET /feed HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n\r\n", f.key.service, names["request"], id)
	seq, limit, pause := f.next, time.After(deadline), firstRepeat
	f.send(flagAck, seq, data)
	f.next += uint32(len(data))
	repeat := time.After(pause)
	for {
		select {
		case <-limit:
			return "deadline"
		case <-repeat:
			f.send(flagAck, seq, data)
			pause = min(2*pause, lastRepeat)
			repeat = time.After(pause)
		case p := <-f.packets:
			how, response := f.receive(p)
			if how != "" || response {
				return how
			}
		}
	}
}

// wait passes the pause before the next request.
func (f *longFlow) wait(pause time.Duration, stop chan struct{}) string {
	end := time.After(pause)
	for {
		select {
		case <-stop:
			f.send(flagAck|flagFin, f.next, nil)
			return "closed"
		case <-end:
			return ""
		case p := <-f.packets:
			if how, _ := f.receive(p); how != "" {
				return how
			}
		}
	}
}
