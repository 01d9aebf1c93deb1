package dispatch

import (
	"net/netip"
	"time"

	"zinniapulley.dev/capacity"
	"zinniapulley.dev/core"
)

const (
	// summaryInterval is the least time between two summaries of a service: that of
	// 3,300 companions takes some 100 microseconds.
	summaryInterval = 50 * time.Millisecond
	// reportLag is how long a report doesn't include a flow after its opening packet was
	// sent: until the packet has arrived, the caller has confirmed the flow and sent its
	// request, and the report has come, over ways of 4.5 ms and 3 ms, and as much again.
	reportLag = 30 * time.Millisecond
	// wayPeriod is how long the lowest network delay is collected; the present and the
	// last period count.
	wayPeriod = 10 * time.Second
	// wayResolution is the difference of network delays below which data centres count as
	// equally near: processes take that long to be scheduled.
	wayResolution = 250 * time.Microsecond
	// tripsPerRequest is how often a new flow's first answer takes the way to the companion
	// and back: once for its opening and once for the request.
	tripsPerRequest = 2
)

// serviceState summarises the companions of a service.
type serviceState struct {
	companions []*companion
	// run is the median of the measured run times, zero if none is measured.
	run time.Duration
	// sites has the load in each data centre.
	sites map[core.DataCentre]*siteLoad
	// summarisedAt is when both were determined, zero if they must be again; runs is reused
	// for that.
	summarisedAt time.Time
	runs         []time.Duration
}

// siteLoad is the load of a service's backend servers in one data centre.
type siteLoad struct{ running, slots int }

// perSlot returns the mean number of running requests per slot.
func (l *siteLoad) perSlot() float64 { return float64(l.running) / float64(max(l.slots, 1)) }

// add makes the companion one of the service.
func (s *serviceState) add(c *companion) {
	s.companions = append(s.companions, c)
	site, known := s.sites[c.status.DataCentre]
	if !known {
		site = &siteLoad{}
		s.sites[c.status.DataCentre] = site
	}
	c.service, c.site = s, site
}

// summarise determines the median run time and the loads at intervals.
func (s *serviceState) summarise(now time.Time) {
	if !s.summarisedAt.IsZero() && now.Sub(s.summarisedAt) < summaryInterval {
		return
	}
	s.summarisedAt = now
	s.runs = s.runs[:0]
	for _, site := range s.sites {
		*site = siteLoad{}
	}
	for _, c := range s.companions {
		if !c.status.Ready {
			continue
		}
		c.site.running += c.status.Running
		c.site.slots += c.status.Slots
		if c.pace.Run > 0 {
			s.runs = append(s.runs, c.pace.Run)
		}
	}
	s.run = capacity.Median(s.runs)
}

// way is the measured network delay to the companions of a data centre and back.
type way struct {
	lowest, previous time.Duration
	since            time.Time
}

// add records the time from an opening packet to the companion's response.
func (w *way) add(now time.Time, took time.Duration) {
	if now.Sub(w.since) > wayPeriod {
		if now.Sub(w.since) > 2*wayPeriod {
			w.lowest = 0
		}
		w.previous, w.lowest, w.since = w.lowest, 0, now
	}
	if w.lowest == 0 || took < w.lowest {
		w.lowest = max(took, 1)
	}
}

// delay returns the lowest recent delay, zero if none was measured.
func (w *way) delay() time.Duration {
	if w.lowest == 0 || (w.previous > 0 && w.previous < w.lowest) {
		return w.previous
	}
	return w.lowest
}

// wayTo returns the record of the network delay to a data centre.
func (d *Dispatcher) wayTo(dataCentre core.DataCentre) *way {
	w, known := d.ways[dataCentre]
	if !known {
		w = &way{}
		d.ways[dataCentre] = w
	}
	return w
}

// measureWay records how long the companion took for its first response to the flow's
// opening packet.
func (d *Dispatcher) measureWay(now time.Time, from netip.AddrPort, flow *cachedFlow) {
	for i := range flow.attempts {
		a := &flow.attempts[i]
		if a.companion != from || a.admitted || a.refused || a.repeated {
			continue
		}
		if c, known := d.companions[from]; known {
			c.way.add(now, now.Sub(a.sentAt))
		}
	}
}

// assignments counts the flows that were sent to a companion and that its last report
// can't include.
type assignments struct {
	// count is their number without those of the slice that began at sliceAt.
	count   int
	slice   int
	sliceAt time.Time
}

func (a *assignments) add(now time.Time) {
	if now.Sub(a.sliceAt) > reportLag {
		a.count += a.slice
		a.slice, a.sliceAt = 0, now
	}
	a.slice++
}

// reported drops the flows that a report received now includes.
func (a *assignments) reported(now time.Time) {
	a.count = 0
	if now.Sub(a.sliceAt) > reportLag {
		a.slice = 0
	}
}

func (a *assignments) total() int { return a.count + a.slice }

// server returns what is known of the companion's backend server.
func (c *companion) server(median time.Duration) capacity.Server {
	s := capacity.Server{
		Slots: c.status.Slots, Running: c.status.Running, Waiting: min(c.pace.Waiting, max(c.status.Running-c.status.Slots, 0)),
		Interval: c.pace.Interval, Run: c.pace.Run, Cold: c.status.Cold,
	}
	return s.Assume(median)
}

// extra returns how many requests are assumed to have been sent there and not to be
// reported yet: for each that this entry instance has sent, half as many by each other one
// that uses the companion, as about half of what they send is sent before.
func (c *companion) extra() int { return c.unreported.total() * (max(c.pace.Users, 1) + 1) / 2 }

// estimate returns the expected time to the answer of a request at a measured backend
// server, as a multiple of its service's run time.
func (d *Dispatcher) estimate(now time.Time, c *companion) float64 {
	state := c.service
	s := c.server(state.run)
	// The requests that were running at the report are replaced by others, of which there
	// are as many as elsewhere in the data centre. Without that, all entry instances send
	// flows to a server that had few requests at its last report.
	age := float64(now.Sub(c.loadAt))
	replaced := age / (age + float64(s.ExpectedTime(0)))
	running := float64(s.Running) + replaced*(c.site.perSlot()*float64(s.Slots)-float64(s.Running))
	load := running + float64(c.extra()) + flowWeight*float64(c.status.Flows)
	expected := s.MeanTime(load) / float64(state.run)
	if c.status.Cold && c.pace.Run == 0 {
		expected += coldPenalty
	}
	if c.status.DataCentre != d.dataCentre {
		expected += d.farther(c.way, state.run)
	}
	return expected
}

// farther returns what the way to another data centre adds to the expected time, as a
// multiple of the run time.
func (d *Dispatcher) farther(w *way, run time.Duration) float64 {
	delay := w.delay()
	if delay == 0 {
		return remotePenalty
	}
	delay -= d.ownWay.delay()
	if delay < wayResolution {
		return 0
	}
	return tripsPerRequest * float64(delay) / float64(run)
}
