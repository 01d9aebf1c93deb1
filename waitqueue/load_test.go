package waitqueue_test

import (
	"net/netip"
	"testing"
	"time"

	"zinniapulley.dev/core"
	"zinniapulley.dev/waitqueue"
)

const (
	fullQueue   = 64
	loadOrigins = 12
	loadCallers = 200
)

// loadRoom returns the room of a server with 16 slots, whose bound on late requests lets
// half of a full queue be late.
func loadRoom() waitqueue.Room {
	room := waitqueue.Room{Slots: 16, Interval: time.Millisecond, Run: 16 * time.Millisecond, Handshake: 6 * time.Millisecond}
	room.Taken = room.Places()
	return room
}

// loadRequest returns the n-th of a stream of requests of three routes, twelve origins
// and 200 callers.
func loadRequest(n int, late bool) waitqueue.Request {
	r := request(7 * n % loadCallers)
	r.Key.Caller = netip.AddrPortFrom(r.Key.Caller.Addr(), uint16(n))
	r.Origin = origin(n / 3 % loadOrigins)
	r.Route = [...]string{"reads", "writes", "downloads"}[n%3]
	if r.Route == "writes" {
		r.Priority = urgent
	}
	if late {
		r.Elapsed = 600 * time.Millisecond
	}
	return r
}

// fill offers requests until the queue is full, half of them late, and returns the keys
// of those that wait.
func fill(b *testing.B, q *waitqueue.Queue) []core.FlowKey {
	b.Helper()
	var keys []core.FlowKey
	for n := 0; q.Len() < fullQueue && n < 10*fullQueue; n++ {
		r := loadRequest(n, n%2 == 1)
		r.Objective *= 10
		if n%2 == 1 {
			r.Objective = objective
		}
		if verdict, _ := q.Offer(start, r, loadRoom()); verdict == waitqueue.Wait {
			keys = append(keys, r.Key)
		}
	}
	if q.Len() != fullQueue {
		b.Fatalf("%d requests wait", q.Len())
	}
	return keys
}

// A full queue under a steady overload took 100 microseconds and more for each opening
// packet, and companions ran out of processor time.
func BenchmarkFullQueue(b *testing.B) {
	b.Run("OfferRefused", func(b *testing.B) {
		q := waitqueue.New(nil)
		fill(b, q)
		// The server has become busier, so that none that comes now has a chance.
		room := loadRoom()
		room.Taken += 100
		requests := make([]waitqueue.Request, 0, loadCallers)
		for n := range loadCallers {
			requests = append(requests, loadRequest(1000+n, false))
			requests[n].Priority = ordinary
		}
		b.ReportAllocs()
		n := 0
		for b.Loop() {
			if verdict, reason := q.Offer(start, requests[n%loadCallers], room); verdict != waitqueue.Refuse {
				b.Fatal(reason)
			}
			n++
		}
	})
	b.Run("OfferWaits", func(b *testing.B) {
		q := waitqueue.New(nil)
		keys := fill(b, q)
		b.ReportAllocs()
		n := 0
		for b.Loop() {
			b.StopTimer()
			q.Remove(keys[n%len(keys)])
			r := loadRequest(n+1000, false)
			r.Objective *= 10
			keys[n%len(keys)] = r.Key
			b.StartTimer()
			if verdict, reason := q.Offer(start, r, loadRoom()); verdict != waitqueue.Wait {
				b.Fatal(reason)
			}
			n++
		}
	})
	b.Run("Next", func(b *testing.B) {
		q := waitqueue.New(nil)
		fill(b, q)
		room := loadRoom()
		room.Taken--
		b.ReportAllocs()
		for b.Loop() {
			o, ok := q.Next(start, room)
			b.StopTimer()
			if !ok {
				b.Fatal("none")
			}
			if verdict, reason := q.Offer(start, o.Request, loadRoom()); verdict != waitqueue.Wait {
				b.Fatal(reason)
			}
			b.StartTimer()
		}
	})
	b.Run("Expire", func(b *testing.B) {
		q := waitqueue.New(nil)
		fill(b, q)
		b.ReportAllocs()
		for b.Loop() {
			if expired := q.Expire(start, loadRoom()); len(expired) > 0 {
				b.Fatal(expired[0].Reason)
			}
		}
	})
}

// At a companion of an overload day 1,000 opening packets a second, half of them late,
// met 90 starts. The cost of an offer includes that of the starts and of Expire.
func BenchmarkOverload(b *testing.B) {
	const (
		offers = time.Second / 1000
		starts = time.Second / 90
		tick   = 20 * time.Millisecond
	)
	q := waitqueue.New(nil)
	room := waitqueue.Room{Slots: 4, Interval: starts, Run: 4 * starts, Handshake: 6 * time.Millisecond}
	room.Taken = room.Places()
	now, n, waiting := start, 0, 0
	b.ReportAllocs()
	for b.Loop() {
		n++
		now = now.Add(offers)
		r := loadRequest(n, n%2 == 1)
		r.Arrived = now
		q.Offer(now, r, room)
		q.Displaced(now)
		if now.Sub(start)%starts < offers {
			room.Taken--
			q.Next(now, room)
			room.Taken++
		}
		if now.Sub(start)%tick < offers {
			q.Expire(now, room)
		}
		waiting += q.Len()
	}
	b.ReportMetric(float64(waiting)/float64(n), "waiting")
}
