package replica

import (
	"context"
	"time"

	"zinniapulley.dev/consensus"
	"zinniapulley.dev/durable"
)

// saveRetry is the delay before a failed write is retried.
const saveRetry = 200 * time.Millisecond

// storage queues Persist actions for the writer goroutine. All actions queued while
// a write is in progress share the next sync.
type storage struct {
	queue        chan []consensus.Persist
	pending      []consensus.Persist
	writing      bool
	writeStarted time.Time
	// ended is closed once the writer goroutine has closed the folder.
	ended chan struct{}
}

func newStorage(ctx context.Context, folder *durable.Folder, post func(context.Context, Event) error) storage {
	s := storage{queue: make(chan []consensus.Persist, 1), ended: make(chan struct{})}
	go func() {
		defer close(s.ended)
		saveBatches(ctx, folder, s.queue, post)
	}()
	return s
}

// add queues an action.
func (s *storage) add(action consensus.Persist) {
	s.pending = append(s.pending, action)
}

// startWrite starts a write of all queued actions, unless one is in progress.
func (s *storage) startWrite(now time.Time) {
	if s.writing || len(s.pending) == 0 {
		return
	}
	s.writing = true
	s.writeStarted = now
	s.queue <- s.pending
	s.pending = nil
}

// writeDone records that the write in progress has ended.
func (s *storage) writeDone() {
	s.writing = false
}

// writingSince returns when the write in progress began, and false if there is none.
func (s *storage) writingSince() (time.Time, bool) {
	return s.writeStarted, s.writing
}

// saveBatches saves the queued batches until ctx is done, then closes the folder.
func saveBatches(ctx context.Context, folder *durable.Folder, queue <-chan []consensus.Persist, post func(context.Context, Event) error) {
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

// saveBatch saves a batch, retrying until it succeeds. It reports false once ctx is
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
