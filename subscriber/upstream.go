package subscriber

import (
	"cmp"
	"context"
	"maps"
	"net/netip"
	"slices"
	"time"

	"zinniapulley.dev/core"
	"zinniapulley.dev/loop"
	"zinniapulley.dev/membership"
	"zinniapulley.dev/publish"
	"zinniapulley.dev/wire"
)

const (
	// flushDelay is how long a relay gathers reports and heartbeats before it
	// passes them on in one call.
	flushDelay = 200 * time.Millisecond
	// maxGathered bounds what a relay gathers, in instances. What goes beyond
	// is dropped; its sender repeats it.
	maxGathered = 8192
	// batchTimeout bounds the passing on of one batch.
	batchTimeout = time.Second
)

// upstream gathers what a relay passes on to control: which revisions its
// subscribers have in force, and their heartbeats.
type upstream struct {
	reports map[core.InstanceID]publish.Report
	beats   map[core.BackendServerID]gatheredBeat
	// refused holds what control refused, until the sender asks again.
	refused map[core.BackendServerID]wire.HeartbeatRefusal
	// flushAt is when the batch is passed on; zero if there is none.
	flushAt time.Time
	// sender waits for a batch; nil while one is under way.
	sender *loop.Reply[batch]
}

// gatheredBeat is a heartbeat and when it came in.
type gatheredBeat struct {
	membership.Heartbeat
	at time.Time
}

// batch is what a relay passes on in one go.
type batch struct {
	reports []publish.Report
	beats   []membership.Heartbeat
}

func newUpstream() upstream {
	return upstream{
		reports: make(map[core.InstanceID]publish.Report),
		beats:   make(map[core.BackendServerID]gatheredBeat),
		refused: make(map[core.BackendServerID]wire.HeartbeatRefusal),
	}
}

// report gathers what a subscriber has in force.
func (u *upstream) report(now time.Time, report publish.Report) {
	if len(u.reports) >= maxGathered {
		return
	}
	u.reports[report.Instance] = report
	u.schedule(now)
}

// beat gathers heartbeats and returns what control refused of earlier ones.
func (u *upstream) beat(now time.Time, beats []membership.Heartbeat) []wire.HeartbeatRefusal {
	var refused []wire.HeartbeatRefusal
	for _, beat := range beats {
		id := beat.Report.BackendServer
		refusal, known := u.refused[id]
		if known && refusal.StartID == beat.Report.StartID {
			refused = append(refused, refusal)
			delete(u.refused, id)
			continue
		}
		if len(u.beats) < maxGathered {
			u.beats[id] = gatheredBeat{Heartbeat: beat, at: now}
		}
	}
	u.schedule(now)
	return refused
}

func (u *upstream) schedule(now time.Time) {
	if u.flushAt.IsZero() {
		u.flushAt = now.Add(flushDelay)
	}
}

// due returns when a batch is to be passed on, and false if there is none or
// one is under way.
func (u *upstream) due() (time.Time, bool) {
	return u.flushAt, u.sender != nil && !u.flushAt.IsZero()
}

// flush hands the batch to the sender if it is due.
func (u *upstream) flush(now time.Time) {
	at, pending := u.due()
	if !pending || now.Before(at) {
		return
	}
	u.sender.Answer(u.take(now))
	u.sender = nil
	u.flushAt = time.Time{}
}

func (u *upstream) take(now time.Time) batch {
	var b batch
	for _, instance := range slices.Sorted(maps.Keys(u.reports)) {
		b.reports = append(b.reports, u.reports[instance])
	}
	for _, id := range slices.SortedFunc(maps.Keys(u.beats), cmp.Compare) {
		beat := u.beats[id].Heartbeat
		beat.Age += now.Sub(u.beats[id].at)
		b.beats = append(b.beats, beat)
	}
	clear(u.reports)
	clear(u.beats)
	return b
}

// passedOn says what control refused of a batch, and asks for the next one.
type passedOn struct {
	refused []wire.HeartbeatRefusal
	reply   loop.Reply[batch]
}

func (e passedOn) handle(s *Subscription, now time.Time) {
	for _, refusal := range e.refused {
		if len(s.upstream.refused) < maxGathered {
			s.upstream.refused[refusal.BackendServer] = refusal
		}
	}
	s.upstream.sender = &e.reply
	s.upstream.flush(now)
}

// RunRelay passes on what a relay gathers until ctx is done. It runs in a
// goroutine of its own.
func RunRelay(ctx context.Context, config Config, post Post) {
	s := &sender{config: config, client: NewControlClient(config.Controls)}
	defer s.client.Close()
	var refused []wire.HeartbeatRefusal
	for ctx.Err() == nil {
		reply := loop.NewReply[batch]()
		err := post(ctx, passedOn{refused: refused, reply: reply})
		if err != nil {
			return
		}
		next, err := reply.Wait(ctx)
		if err != nil {
			return
		}
		refused = s.pass(ctx, next)
	}
}

// sender passes batches on to the leading control instance.
type sender struct {
	config Config
	client *ControlClient
}

func (s *sender) pass(ctx context.Context, b batch) []wire.HeartbeatRefusal {
	ctx, cancel := context.WithTimeout(ctx, batchTimeout)
	defer cancel()
	if len(b.reports) > 0 {
		var reply wire.ReportReply
		s.log(s.client.Call(ctx, wire.MethodReport, &wire.ReportRequest{Reports: b.reports}, &reply), len(b.reports))
	}
	if len(b.beats) == 0 {
		return nil
	}
	var reply wire.HeartbeatReply
	s.log(s.client.Call(ctx, wire.MethodHeartbeat, &wire.HeartbeatRequest{Beats: b.beats}, &reply), len(b.beats))
	return reply.Refused
}

func (s *sender) log(err error, count int) {
	if err != nil {
		s.config.Log.Warn("batch not passed on", "entries", count, "error", err)
	}
}

// ControlClient calls the leading control instance: it turns to the next one
// after each failure. It belongs to one goroutine.
type ControlClient struct {
	controls []netip.AddrPort
	turn     int
	client   *wire.Client
}

// NewControlClient returns a client for the RPC addresses of the control
// instances. It does not dial until the first call.
func NewControlClient(controls []netip.AddrPort) *ControlClient {
	return &ControlClient{controls: controls}
}

// Call asks one control instance after the other until one answers, each once
// at the most.
func (c *ControlClient) Call(ctx context.Context, method string, request, reply any) error {
	var err error
	for range c.controls {
		if c.client == nil {
			c.client = wire.NewClient(c.controls[c.turn%len(c.controls)])
		}
		err = c.client.Call(ctx, method, request, reply)
		if err == nil || ctx.Err() != nil {
			return err
		}
		c.Close()
		c.turn++
	}
	return err
}

// Close closes the connection, if there is one.
func (c *ControlClient) Close() {
	if c.client != nil {
		c.client.Close()
		c.client = nil
	}
}
