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
	// flushDelay is how long a relay collects reports and heartbeats before it
	// forwards them as a batch.
	flushDelay = 200 * time.Millisecond
	// maxPending limits the pending reports, heartbeats and refusals of a relay, each.
	// Excess ones are dropped, since their senders repeat them.
	maxPending = 8192
	// batchTimeout limits the time to forward a batch.
	batchTimeout = time.Second
)

// upstream collects what a relay forwards to control: its subscribers' reports of the
// revision in force, and heartbeats.
type upstream struct {
	reports    map[core.InstanceID]publish.Report
	heartbeats map[core.BackendServerID]pendingHeartbeat
	// refused holds the heartbeats refused by control until their senders call again.
	refused map[core.BackendServerID]wire.HeartbeatRefusal
	// flushAt is when the batch is forwarded; zero if there is none.
	flushAt time.Time
	// batchRequest is the pending request for a batch; nil while a batch is being sent.
	batchRequest *loop.Reply[batch]
}

// pendingHeartbeat is a heartbeat with the time at which it was received.
type pendingHeartbeat struct {
	membership.Heartbeat
	receivedAt time.Time
}

// batch holds reports and heartbeats that a relay forwards together.
type batch struct {
	reports    []publish.Report
	heartbeats []membership.Heartbeat
}

func newUpstream() upstream {
	return upstream{
		reports:    make(map[core.InstanceID]publish.Report),
		heartbeats: make(map[core.BackendServerID]pendingHeartbeat),
		refused:    make(map[core.BackendServerID]wire.HeartbeatRefusal),
	}
}

// addReport records which revision a subscriber has in force.
func (u *upstream) addReport(now time.Time, report publish.Report) {
	if len(u.reports) >= maxPending {
		return
	}
	u.reports[report.Instance] = report
	u.schedule(now)
}

// addHeartbeats records heartbeats and returns control's refusals of earlier ones.
func (u *upstream) addHeartbeats(now time.Time, heartbeats []membership.Heartbeat) []wire.HeartbeatRefusal {
	var refused []wire.HeartbeatRefusal
	for _, heartbeat := range heartbeats {
		id := heartbeat.Report.BackendServer
		refusal, found := u.refused[id]
		if found && refusal.StartID == heartbeat.Report.StartID {
			refused = append(refused, refusal)
			delete(u.refused, id)
			continue
		}
		if len(u.heartbeats) < maxPending {
			u.heartbeats[id] = pendingHeartbeat{Heartbeat: heartbeat, receivedAt: now}
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

// due returns when the batch must be forwarded, or false if there is none or one is
// being sent.
func (u *upstream) due() (time.Time, bool) {
	return u.flushAt, u.batchRequest != nil && !u.flushAt.IsZero()
}

// flush passes the batch to the sender if it is due.
func (u *upstream) flush(now time.Time) {
	at, pending := u.due()
	if !pending || now.Before(at) {
		return
	}
	u.batchRequest.Answer(u.takeBatch(now))
	u.batchRequest = nil
	u.flushAt = time.Time{}
}

func (u *upstream) takeBatch(now time.Time) batch {
	var b batch
	for _, instance := range slices.Sorted(maps.Keys(u.reports)) {
		b.reports = append(b.reports, u.reports[instance])
	}
	for _, id := range slices.SortedFunc(maps.Keys(u.heartbeats), cmp.Compare) {
		heartbeat := u.heartbeats[id].Heartbeat
		heartbeat.Age += now.Sub(u.heartbeats[id].receivedAt)
		b.heartbeats = append(b.heartbeats, heartbeat)
	}
	clear(u.reports)
	clear(u.heartbeats)
	return b
}

// batchSent reports the refusals of the previous batch and requests the next one.
type batchSent struct {
	refused []wire.HeartbeatRefusal
	reply   loop.Reply[batch]
}

func (e batchSent) handle(s *Subscription, now time.Time) {
	for _, refusal := range e.refused {
		if len(s.upstream.refused) < maxPending {
			s.upstream.refused[refusal.BackendServer] = refusal
		}
	}
	s.upstream.batchRequest = &e.reply
	s.upstream.flush(now)
}

// RunRelay forwards a relay's batches to control until ctx is done. It blocks, so the
// caller must run it in a separate goroutine.
func RunRelay(ctx context.Context, config Config, send Send) {
	s := &sender{config: config, client: NewControlClient(config.Controls)}
	defer s.client.Close()
	var refused []wire.HeartbeatRefusal
	for ctx.Err() == nil {
		reply := loop.NewReply[batch]()
		err := send(ctx, batchSent{refused: refused, reply: reply})
		if err != nil {
			return
		}
		next, err := reply.Wait(ctx)
		if err != nil {
			return
		}
		refused = s.send(ctx, next)
	}
}

// sender forwards batches to the leading control instance.
type sender struct {
	config Config
	client *ControlClient
}

func (s *sender) send(ctx context.Context, b batch) []wire.HeartbeatRefusal {
	ctx, cancel := context.WithTimeout(ctx, batchTimeout)
	defer cancel()
	if len(b.reports) > 0 {
		var reply wire.ReportReply
		s.logFailure(s.client.Call(ctx, wire.MethodReport, &wire.ReportRequest{Reports: b.reports}, &reply), len(b.reports))
	}
	if len(b.heartbeats) == 0 {
		return nil
	}
	var reply wire.HeartbeatReply
	s.logFailure(s.client.Call(ctx, wire.MethodHeartbeat, &wire.HeartbeatRequest{Beats: b.heartbeats}, &reply), len(b.heartbeats))
	return reply.Refused
}

func (s *sender) logFailure(err error, count int) {
	if err != nil {
		s.config.Log.Warn("failed to forward batch to control", "entries", count, "error", err)
	}
}

// ControlClient calls the leading control instance. It switches to the next control
// instance after each failure. It isn't safe for concurrent use.
type ControlClient struct {
	controls []netip.AddrPort
	next     int
	client   *wire.Client
}

// NewControlClient returns a client for the RPC addresses of the control
// instances. It does not dial until the first call.
func NewControlClient(controls []netip.AddrPort) *ControlClient {
	return &ControlClient{controls: controls}
}

// Call calls the control instances in turn, each at most once, until one succeeds.
func (c *ControlClient) Call(ctx context.Context, method string, request, reply any) error {
	var err error
	for range c.controls {
		if c.client == nil {
			c.client = wire.NewClient(c.controls[c.next%len(c.controls)])
		}
		err = c.client.Call(ctx, method, request, reply)
		if err == nil || ctx.Err() != nil {
			return err
		}
		c.Close()
		c.next++
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
