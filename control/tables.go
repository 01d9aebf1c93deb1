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

// tablesDue returns when the tables are due to change further, and false if
// they aren't or a change is under way.
func (h *handler) tablesDue() (time.Time, bool) {
	if h.ticking {
		return time.Time{}, false
	}
	return h.machine.TablesDue()
}

// moveTables proposes to let the tables change if they are due to.
func (h *handler) moveTables(now time.Time) {
	due, pending := h.tablesDue()
	if !pending || now.Before(due) {
		return
	}
	h.ticking = true
	h.propose(state.Command{Tick: &state.Tick{}}, func(_ state.Result, err error) {
		h.ticking = false
		if err != nil {
			h.log.Warn("tables not changed", "error", err)
		}
	})
}

// logDecisions logs a line for each decision about the tables, at the leader as
// information.
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

// emptiedEvent says that a backend server has no flows left in some buckets.
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
