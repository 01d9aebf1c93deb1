package main

import (
	"hash/fnv"
	"net/http"
	"sync"
	"time"
)

const (
	// checkInterval is the time between two checks of an entry instance.
	checkInterval = 500 * time.Millisecond
	// maxMisses is how many checks an instance may miss before it is out of rotation.
	maxMisses = 2
)

// router is a stand-in of the routers of a zone.
type router struct {
	deployment *deployment
	fronts     []*machine
	stop       chan struct{}
	done       sync.WaitGroup

	mutex  sync.Mutex
	misses []int
}

// startRouter starts the checks of the entry instances, all of which are in rotation.
func startRouter(d *deployment, fronts []*machine) *router {
	r := &router{deployment: d, fronts: fronts, stop: make(chan struct{}), misses: make([]int, len(fronts))}
	for i := range fronts {
		r.done.Go(func() { r.check(i) })
	}
	return r
}

func (r *router) close() {
	close(r.stop)
	r.done.Wait()
}

func (r *router) check(i int) {
	d := r.deployment
	client := &http.Client{Timeout: checkInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		response, err := client.Get("http://" + d.at(r.fronts[i].ip, d.ports.Ready).String() + names["ready"])
		ready := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			_ = response.Body.Close()
		}
		r.mutex.Lock()
		before := r.misses[i] < maxMisses
		r.misses[i]++
		if ready {
			r.misses[i] = 0
		}
		after := r.misses[i] < maxMisses
		r.mutex.Unlock()
		if before != after {
			d.record.add("%s in rotation: %t", r.fronts[i].name, after)
		}
		select {
		case <-r.stop:
			return
		case <-time.After(checkInterval):
		}
	}
}

// pick returns the entry instance for a packet: the one with the highest hash of those in
// rotation, or of all if fewer than half are.
func (r *router) pick(p packet) *machine {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	in := 0
	for _, misses := range r.misses {
		if misses < maxMisses {
			in++
		}
	}
	all := 2*in < len(r.fronts)
	var best *machine
	var highest uint64
	for i, front := range r.fronts {
		if !all && r.misses[i] >= maxMisses {
			continue
		}
		h := fnv.New64a()
		_, _ = h.Write([]byte(front.name + p.from.String() + p.to.String()))
		weight := h.Sum64() * 0x9e3779b97f4a7c15
		weight ^= weight >> 29
		if best == nil || weight > highest {
			best, highest = front, weight
		}
	}
	return best
}
