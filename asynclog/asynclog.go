// Package asynclog lets goroutines that carry traffic log without blocking: their
// records go into a bounded queue, and one goroutine passes them to the handler
// that writes. When the queue is full, a record is dropped and counted, and the
// next line that is written carries the count.
package asynclog

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

// droppedKey is the attribute with the number of lines dropped before a line.
const droppedKey = "linesDropped"

// Writer writes queued records. Close ends it.
type Writer struct {
	inner      slog.Handler
	queue      chan queued
	stop       chan struct{}
	stopped    chan struct{}
	once       sync.Once
	unreported atomic.Int64
	dropped    atomic.Int64
}

// queued is a record and the handler that writes it, attributes and groups
// included.
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

// Logger returns a logger that never blocks.
func (w *Writer) Logger() *slog.Logger {
	return slog.New(&handler{writer: w, inner: w.inner})
}

// Dropped returns how many lines were dropped so far.
func (w *Writer) Dropped() int64 {
	return w.dropped.Load()
}

// Close writes the queued lines and ends the writer. Lines that are logged later
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

// flush writes the queued lines and the number of lines dropped after them.
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
	if w.unreported.Load() == 0 {
		return
	}
	w.write(queued{
		handler: w.inner,
		record:  slog.NewRecord(time.Now(), slog.LevelWarn, "log lines dropped", 0),
	})
}

func (w *Writer) write(q queued) {
	dropped := w.unreported.Swap(0)
	if dropped > 0 {
		q.record.AddAttrs(slog.Int64(droppedKey, dropped))
	}
	// An error of the handler could only be reported to the same log.
	_ = q.handler.Handle(context.Background(), q.record)
}

// enqueue queues a record, or drops it when the queue is full or w is closed.
func (w *Writer) enqueue(q queued) {
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
	w.unreported.Add(1)
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
	h.writer.enqueue(queued{handler: h.inner, record: record.Clone()})
	return nil
}

// WithAttrs returns a handler that adds the attributes to its lines.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &handler{writer: h.writer, inner: h.inner.WithAttrs(attrs)}
}

// WithGroup returns a handler that puts later attributes in the group.
func (h *handler) WithGroup(name string) slog.Handler {
	return &handler{writer: h.writer, inner: h.inner.WithGroup(name)}
}
