// Package loop runs the event loop of a process's control state: one goroutine,
// locked to its own OS thread, receives typed events from a bounded mailbox and
// passes them one at a time to the handler that owns the state. No other goroutine
// accesses that state, so it needs no mutex. The goroutine blocks on channels and on
// one timer; it never polls.
//
// Other goroutines question it with Ask. Confirm checks before that whether the sender of
// an order still waits.
package loop

import (
	"context"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

// ErrFull reports that the mailbox is full. The event was dropped and counted.
const ErrFull = errors.ConstError("control mailbox is full")

// ErrStopped reports that the loop has ended.
const ErrStopped = errors.ConstError("control loop has stopped")

// Handler owns the control state. Handle is called by the loop's goroutine
// only, one event at a time, and must not block on I/O.
type Handler[E any] interface {
	// Handle processes one event at the given time.
	Handle(now time.Time, event E)
	// Wake is called once the time returned by Deadline is reached.
	Wake(now time.Time)
	// Deadline returns when Wake is due next, and false if there is no deadline.
	Deadline() (time.Time, bool)
}

// Loop is the control loop of one process.
type Loop[E any] struct {
	mailbox chan E
	stopped chan struct{}
	dropped atomic.Int64
	now     func() time.Time
}

// New returns a loop whose mailbox holds size events.
func New[E any](size int) *Loop[E] {
	return &Loop[E]{
		mailbox: make(chan E, size),
		stopped: make(chan struct{}),
		now:     time.Now,
	}
}

// Post passes an event to the loop without blocking. It returns ErrFull when the
// mailbox is full and ErrStopped when the loop has ended.
func (l *Loop[E]) Post(event E) error {
	select {
	case <-l.stopped:
		return ErrStopped
	default:
	}
	select {
	case l.mailbox <- event:
		return nil
	default:
		l.dropped.Add(1)
		return ErrFull
	}
}

// Send passes an event to the loop and blocks while the mailbox is full. It is for
// I/O goroutines whose results must not be lost; traffic goroutines use Post.
func (l *Loop[E]) Send(ctx context.Context, event E) error {
	select {
	case l.mailbox <- event:
		return nil
	case <-l.stopped:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Dropped returns how many events Post dropped because the mailbox was full.
func (l *Loop[E]) Dropped() int64 {
	return l.dropped.Load()
}

// Stopped is closed once Run has returned.
func (l *Loop[E]) Stopped() <-chan struct{} {
	return l.stopped
}

// Run passes events to the handler until ctx is done. It must be called once.
func (l *Loop[E]) Run(ctx context.Context, handler Handler[E]) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	defer close(l.stopped)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		wake := l.resetTimer(timer, handler)
		select {
		case <-ctx.Done():
			return
		case event := <-l.mailbox:
			handler.Handle(l.now(), event)
		case <-wake:
			handler.Wake(l.now())
		}
	}
}

// resetTimer sets the timer to the handler's deadline and returns its channel, or nil
// if the handler has no deadline.
func (l *Loop[E]) resetTimer(timer *time.Timer, handler Handler[E]) <-chan time.Time {
	due, ok := handler.Deadline()
	if !ok {
		timer.Stop()
		return nil
	}
	timer.Reset(due.Sub(l.now()))
	return timer.C
}
