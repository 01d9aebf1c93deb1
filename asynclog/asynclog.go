// Package asynclog lets goroutines that move traffic log without waiting: their
// records go into a bounded queue, and one goroutine hands them to the handler
// that writes. A record that finds the queue full is dropped and counted, and
// the next line that is written says how many were.
package asynclog

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

// droppedKey is the attribute that counts the lines dropped before a line.
const droppedKey = "linesDropped"

// Writer writes queued records. Close ends it.
type Writer struct {
	inner   slog.Handler
	queue   chan queued
	stop    chan struct{}
	stopped chan struct{}
	once    sync.Once
	pending atomic.Int64
	dropped atomic.Int64
}

// queued is a record with the handler, attributes and groups included, that it
// goes to.
type queued struct {
	handler slog.Handler
	record  slog.Record
}

// New returns a writer to the given handler with a queue of the given length in
// lines.
func New(inner slog.Handler, length int) *Writer {
	w := &Writer{
		inner:   inner,
		queue:   make(chan queued, length),
		stop:    make(chan struct{}),
		stopped: make(chan struct{}),
	}
	go w.run()
	return w
}

// Logger returns a logger that doesn't wait.
func (w *Writer) Logger() *slog.Logger {
	return slog.New(&handler{writer: w, inner: w.inner})
}

// Dropped returns how many lines were dropped so far.
func (w *Writer) Dropped() int64 {
	return w.dropped.Load()
}

// Close writes what is queued and ends the writer. Lines that are logged later
// are dropped and counted.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.stop) })
	<-w.stopped
}

func (w *Writer) run() {
	defer close(w.stopped)
	for {
		select {
		case q := <-w.queue:
			w.write(q)
		case <-w.stop:
			w.flush()
			return
		}
	}
}

// flush writes what is queued, and how many lines were dropped at the end.
func (w *Writer) flush() {
	for {
		select {
		case q := <-w.queue:
			w.write(q)
		default:
			w.writeDropped()
			return
		}
	}
}

func (w *Writer) writeDropped() {
	if w.pending.Load() == 0 {
		return
	}
	w.write(queued{
		handler: w.inner,
		record:  slog.NewRecord(time.Now(), slog.LevelWarn, "log lines dropped", 0),
	})
}

func (w *Writer) write(q queued) {
	dropped := w.pending.Swap(0)
	if dropped > 0 {
		q.record.AddAttrs(slog.Int64(droppedKey, dropped))
	}
	// The handler's error has no other place to go than the log itself.
	_ = q.handler.Handle(context.Background(), q.record)
}

// post queues a record, or drops it.
func (w *Writer) post(q queued) {
	select {
	case <-w.stop:
		w.drop()
		return
	default:
	}
	select {
	case w.queue <- q:
	default:
		w.drop()
	}
}

func (w *Writer) drop() {
	w.pending.Add(1)
	w.dropped.Add(1)
}

// handler implements slog.Handler.
type handler struct {
	writer *Writer
	inner  slog.Handler
}

// Enabled reports whether the level is written.
func (h *handler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.inner.Enabled(ctx, level)
}

// Handle queues the record. It never fails.
func (h *handler) Handle(_ context.Context, record slog.Record) error {
	h.writer.post(queued{handler: h.inner, record: record.Clone()})
	return nil
}

// WithAttrs returns a handler whose lines have the attributes too.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &handler{writer: h.writer, inner: h.inner.WithAttrs(attrs)}
}

// WithGroup returns a handler whose further attributes are in the group.
func (h *handler) WithGroup(name string) slog.Handler {
	return &handler{writer: h.writer, inner: h.inner.WithGroup(name)}
}
