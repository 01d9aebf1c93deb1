package asynclog_test

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"strings"
	"testing"

	"github.com/onsi/gomega"
	"zinniapulley.dev/asynclog"
)

// blockingHandler blocks each line until release is closed.
type blockingHandler struct {
	slog.Handler
	release chan struct{}
	entered chan struct{}
}

func (h *blockingHandler) Handle(ctx context.Context, record slog.Record) error {
	h.entered <- struct{}{}
	<-h.release
	return h.Handler.Handle(ctx, record)
}

func TestLinesAreWrittenInOrder(t *testing.T) {
	g := gomega.NewWithT(t)
	var out bytes.Buffer
	writer := asynclog.New(slog.NewTextHandler(&out, nil), 100)
	log := writer.Logger().With("role", "entry").WithGroup("packet")
	for i := range 100 {
		log.Info("line", "number", i)
		log.Debug("not written")
	}
	writer.Close()
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	g.Expect(lines).To(gomega.HaveLen(100))
	for i, line := range lines {
		g.Expect(line).To(gomega.HaveSuffix(fmt.Sprintf("role=entry packet.number=%d", i)))
	}
	g.Expect(writer.Dropped()).To(gomega.BeZero())
}

func TestAFullQueueDropsAndCounts(t *testing.T) {
	const length, extra = 4, 7
	g := gomega.NewWithT(t)
	var out bytes.Buffer
	slow := &blockingHandler{
		Handler: slog.NewTextHandler(&out, nil),
		release: make(chan struct{}),
		entered: make(chan struct{}, length+2),
	}
	writer := asynclog.New(slow, length)
	log := writer.Logger()
	log.Info("first")
	<-slow.entered
	for range length + extra {
		log.Info("more")
	}
	g.Expect(writer.Dropped()).To(gomega.BeEquivalentTo(extra))
	close(slow.release)
	writer.Close()
	g.Expect(strings.Count(out.String(), "msg=more")).To(gomega.Equal(length))
	g.Expect(strings.Count(out.String(), fmt.Sprintf("linesDropped=%d", extra))).To(gomega.Equal(1))
}

func TestLinesAfterCloseAreCounted(t *testing.T) {
	g := gomega.NewWithT(t)
	var out bytes.Buffer
	writer := asynclog.New(slog.NewTextHandler(&out, nil), 1)
	writer.Close()
	writer.Logger().Info("late")
	writer.Close()
	g.Expect(out.String()).To(gomega.BeEmpty())
	g.Expect(writer.Dropped()).To(gomega.BeEquivalentTo(1))
}
