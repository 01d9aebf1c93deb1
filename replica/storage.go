package replica

import (
	"context"
	"time"

	"zinniapulley.dev/consensus"
	"zinniapulley.dev/durable"
)

// saveRetry is the pause before a failed write is repeated.
const saveRetry = 200 * time.Millisecond

// storage queues Persist actions for the one goroutine that writes. All actions
// queued while a write is under way share the next sync.
type storage struct {
	queue   chan []consensus.Persist
	pending []consensus.Persist
	busy    bool
	issued  time.Time
	// ended is closed once the goroutine that writes has closed the folder.
	ended chan struct{}
}

func newStorage(ctx context.Context, folder *durable.Folder, post func(context.Context, Event) error) storage {
	s := storage{queue: make(chan []consensus.Persist, 1), ended: make(chan struct{})}
	go func() {
		defer close(s.ended)
		writeAll(ctx, folder, s.queue, post)
	}()
	return s
}

// add queues an action.
func (s *storage) add(action consensus.Persist) {
	s.pending = append(s.pending, action)
}

// next starts a write of all that is queued, unless one is under way.
func (s *storage) next(now time.Time) {
	if s.busy || len(s.pending) == 0 {
		return
	}
	s.busy = true
	s.issued = now
	s.queue <- s.pending
	s.pending = nil
}

// saved notes that the write under way has ended.
func (s *storage) saved() {
	s.busy = false
}

// waitingSince returns when the write under way began, and false if there is
// none.
func (s *storage) waitingSince() (time.Time, bool) {
	return s.issued, s.busy
}

// writeAll saves batch by batch and repeats what fails.
func writeAll(ctx context.Context, folder *durable.Folder, queue <-chan []consensus.Persist, post func(context.Context, Event) error) {
	defer func() { _ = folder.Close() }()
	for {
		select {
		case <-ctx.Done():
			return
		case batch := <-queue:
			if !saveBatch(ctx, folder, batch, post) {
				return
			}
		}
	}
}

// saveBatch saves a batch, however often it takes. It reports false once ctx is
// done.
func saveBatch(ctx context.Context, folder *durable.Folder, batch []consensus.Persist, post func(context.Context, Event) error) bool {
	for {
		err := folder.Save(batch)
		if err == nil {
			return post(ctx, Saved{Sequence: batch[len(batch)-1].Sequence}) == nil
		}
		if post(ctx, SaveFailed{Err: err}) != nil {
			return false
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(saveRetry):
		}
	}
}
