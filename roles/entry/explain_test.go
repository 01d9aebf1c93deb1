package entry

import (
	"context"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"zinniapulley.dev/core"
	"zinniapulley.dev/passthrough"
)

// The packet path answers at its tick; more questions than it answers then are refused, so
// that they can't hold up packets.
func TestQuestionsAreAnsweredAtATickAndBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	anywhere := netip.MustParseAddrPort("127.0.0.1:0")
	e, err := New(Config{Packets: anywhere, Peers: anywhere, Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewRegistry()})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _, _ = e.callers.Close(), e.peers.Close() }()
	path := newPacketPath(e)
	given, cancel := context.WithCancel(context.Background())
	cancel()
	for range maxQuestions {
		_, err = e.Explain(given, core.FlowKey{})
		g.Expect(err).To(gomega.MatchError(context.Canceled))
	}
	_, err = e.Explain(given, core.FlowKey{})
	g.Expect(err).To(gomega.MatchError(ErrTooManyQuestions))
	path.answerQuestions(time.Now())
	answered := make(chan passthrough.Reason)
	go func() {
		explanation, _ := e.Explain(context.Background(), core.FlowKey{})
		answered <- explanation.Reason
	}()
	for {
		path.Tick(time.Now())
		select {
		case reason := <-answered:
			g.Expect(reason).To(gomega.Equal(passthrough.ReasonNoView))
			return
		case <-time.After(time.Millisecond):
		}
	}
}
