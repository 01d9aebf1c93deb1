package control

import (
	"context"
	"log/slog"
	"time"

	"zinniapulley.dev/control/state"
	"zinniapulley.dev/core"
	"zinniapulley.dev/loop"
	"zinniapulley.dev/placement"
)

// nextTableTick returns when the next Tick is due, and false if none is or one is
// outstanding.
func (h *handler) nextTableTick() (time.Time, bool) {
	if h.tickPending {
		return time.Time{}, false
	}
	return h.machine.TablesDue()
}

// tickTablesIfDue proposes a Tick if one is due.
func (h *handler) tickTablesIfDue(now time.Time) {
	due, pending := h.nextTableTick()
	if !pending || now.Before(due) {
		return
	}
	h.tickPending = true
	h.propose(state.Command{Tick: &state.Tick{}}, func(_ state.Result, err error) {
		h.tickPending = false
		if err != nil {
			h.log.Warn("table change proposal failed", "error", err)
		}
	})
}

// logDecisions logs each placement decision, at level Info on the leader and Debug
// on other instances.
func (h *handler) logDecisions(result state.Result) {
	level := slog.LevelDebug
	if h.leading {
		level = slog.LevelInfo
	}
	if !h.log.Enabled(context.Background(), level) {
		return
	}
	for _, decision := range result.Decisions {
		name, _ := h.machine.Config().ServiceName(decision.Service)
		h.log.Log(context.Background(), level, "placement", "decision", decision.Kind, "reason", decision.Reason,
			"service", name, "bucket", decision.Bucket, "from", decision.From, "to", decision.To,
			"count", decision.Count, "revision", result.Revision)
	}
}

// emptiedEvent reports that a backend server has no flows left in some buckets.
type emptiedEvent struct {
	backendServer core.BackendServerID
	revision      core.Revision
	buckets       []uint32
	reply         loop.Reply[error]
}

func (e emptiedEvent) handle(h *handler, _ time.Time) {
	if !h.leading {
		e.reply.Answer(h.notLeader())
		return
	}
	emptied := &placement.BucketsEmpty{Server: e.backendServer, Revision: e.revision, Buckets: e.buckets}
	h.propose(state.Command{Emptied: emptied}, func(result state.Result, err error) {
		h.log.Info("buckets emptied", "backendServer", e.backendServer, "buckets", len(e.buckets),
			"revision", result.Revision, "error", err)
		e.reply.Answer(err)
	})
}
