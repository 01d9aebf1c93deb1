package passthrough_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"zinniapulley.dev/core"
	"zinniapulley.dev/passthrough"
	"zinniapulley.dev/passthrough/dispatch"
	"zinniapulley.dev/passthrough/gate"
)

// fleet returns a Dispatcher with the statuses of so many companions, spread over data
// centres.
func fleet(companions, dataCentres int) *dispatch.Dispatcher {
	d := dispatch.New(start.Add(-time.Hour), "dc0")
	d.SetTable(table(1))
	for i := range companions {
		d.HandleStatus(start, fleetStatus(i, dataCentres))
	}
	return d
}

// fleetStatus returns the status of a companion of a fleet.
func fleetStatus(i, dataCentres int) passthrough.Status {
	status := statusOf(1)
	status.Companion = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(i >> 8), byte(i)}), 8000)
	status.DataCentre = core.DataCentre(fmt.Sprintf("dc%d", i%dataCentres))
	status.ReportInterval = time.Minute
	return status
}

// deny has the companions, and those queried after them, deny that they hold flow 1,
// until other actions follow. It returns these and how many companions denied it.
func deny(d *dispatch.Dispatcher, now time.Time, queried []netip.AddrPort) ([]dispatch.Action, int) {
	denied := 0
	var others []dispatch.Action
	for len(queried) > 0 {
		actions := d.HandleNote(now, queried[0], passthrough.Note{Kind: passthrough.NoteNotHeld, Key: flowKey(1)})
		denied++
		queried = append(append([]netip.AddrPort{}, queried[1:]...), targets(actions, dispatch.Query)...)
		for _, a := range actions {
			if a.Kind != dispatch.Query {
				others = append(others, a)
			}
		}
	}
	return others, denied
}

// Sizes of messages with the headers of UDP and IPv4, in bytes.
const (
	queryBytes        = 24 + 28
	noteBytes         = 26 + 28
	surveyHeaderBytes = 19 + 28
	addressBytes      = 4
)

// lookUpAll looks up a flow that no companion holds until it is reset, and returns the
// bytes that the entry instance sends and receives for it.
func lookUpAll(g *gomega.WithT, d *dispatch.Dispatcher, port int) int {
	bytes, reset := 0, false
	pending := append([]dispatch.Action{}, d.Handle(start, data(port, 5001))...)
	for len(pending) > 0 {
		a := pending[0]
		pending = pending[1:]
		var next []dispatch.Action
		switch a.Kind {
		case dispatch.Query:
			bytes += queryBytes + noteBytes
			next = d.HandleNote(start, a.To, passthrough.Note{Kind: passthrough.NoteNotHeld, Key: flowKey(port)})
		case dispatch.Survey:
			bytes += 2*surveyHeaderBytes + addressBytes*len(a.Survey.Ask)
			next = d.HandleSurveyResult(start, a.To, passthrough.SurveyResult{Number: a.Survey.Number, Key: a.Survey.Key})
		case dispatch.Reset:
			reset = true
		}
		pending = append(pending, next...)
	}
	g.Expect(reset).To(gomega.BeTrue())
	return bytes
}

// After an outage every caller of a long flow had to be told that it was lost, and each
// lookup exchanged a message with every companion: answers were lost on the entry
// instance's full network, and callers waited for their reset until they had repeated
// their packet three times, 1.4 s.
func TestLookupsAfterAnOutageFitTheNetwork(t *testing.T) {
	const (
		// network is what an entry instance may send and receive, in bytes a second.
		network = 250_000
		// lookups is how many flows callers use first in the busiest second, at one
		// entry instance.
		lookups = 30
	)
	g := gomega.NewWithT(t)
	g.Expect(lookups * lookUpAll(g, fleet(109, 6), 1)).To(gomega.BeNumerically("<=", network/2))
}

// A companion that is cut off delays no other's answer, and the entry instance asks the
// missing ones itself without waiting for the caller.
func TestMissingAnswersAreRequestedDirectly(t *testing.T) {
	g := gomega.NewWithT(t)
	d := fleet(40, 1)
	surveys, _ := deny(d, start, targets(d.Handle(start, data(1, 5001)), dispatch.Query))
	survey := surveys[0].Survey
	missing := survey.Ask[3]
	answered := append(append([]netip.AddrPort{}, survey.Ask[:3]...), survey.Ask[4:]...)
	partial := passthrough.SurveyResult{Number: survey.Number, Key: survey.Key, NotHeld: answered}
	g.Expect(d.HandleSurveyResult(start, surveys[0].To, partial)).To(gomega.BeEmpty())
	later := start.Add(200 * time.Millisecond)
	g.Expect(targets(d.Continue(later), dispatch.Query)).To(gomega.ConsistOf(missing))
	actions := d.HandleNote(later, missing, passthrough.Note{Kind: passthrough.NoteNotHeld, Key: flowKey(1)})
	g.Expect(actions).To(gomega.HaveLen(1))
	g.Expect(actions[0].Kind).To(gomega.Equal(dispatch.Reset))
}

// A companion that conducts a survey may be paused before it sends the result. The flow
// may have opened in the meantime.
func TestResultOfAnEarlierLookupIsIgnored(t *testing.T) {
	g := gomega.NewWithT(t)
	d := fleet(40, 1)
	survey := func(now time.Time) dispatch.Action {
		surveys, _ := deny(d, now, targets(d.Handle(now, data(1, 5001)), dispatch.Query))
		g.Expect(surveys).To(gomega.HaveLen(1))
		return surveys[0]
	}
	first := survey(start)
	later := start.Add(1200 * time.Millisecond)
	second := survey(later)
	delayed := passthrough.SurveyResult{Number: first.Survey.Number, Key: first.Survey.Key}
	g.Expect(d.HandleSurveyResult(later, first.To, delayed)).To(gomega.BeEmpty())
	delayed.Number = second.Survey.Number
	g.Expect(d.HandleSurveyResult(later, second.To, delayed)).To(gomega.HaveLen(1))
}

// The companion that conducts a survey hears of those that don't hold the flow; the one
// that does tells the entry instance.
func TestHolderOfAFlowAnswersTheEntryInstance(t *testing.T) {
	g := gomega.NewWithT(t)
	surveys, conductor := gate.NewSurveys(), companionAt(9)
	holder, other := newHarness(t), newHarness(t)
	holder.open(1, 5000)
	for _, b := range []*harness{holder, other} {
		a := announcement(2)
		a.Server, a.Born = "b2", start.UnixMilli()+1
		b.announce(a)
	}
	holder.open(2, 5000)
	query, begun := surveys.Begin(start, entryAt, passthrough.Survey{Number: 4, Key: flowKey(2), Ask: []netip.AddrPort{companionAt(1), companionAt(2)}})
	g.Expect(begun).To(gomega.BeTrue())
	held := holder.gate.HandleSurveyQuery(start, conductor, query)
	g.Expect(held).To(gomega.HaveLen(1))
	g.Expect(held[0].To).To(gomega.Equal(entryAt))
	g.Expect(held[0].Note.Kind).To(gomega.Equal(passthrough.NoteHeld))
	notHeld := other.gate.HandleSurveyQuery(start, conductor, query)
	g.Expect(notHeld).To(gomega.HaveLen(1))
	g.Expect(notHeld[0].Kind).To(gomega.Equal(gate.AnswerSurvey))
	g.Expect(notHeld[0].To).To(gomega.Equal(conductor))
	_, done := surveys.NotHeld(companionAt(2), notHeld[0].SurveyNumber)
	g.Expect(done).To(gomega.BeFalse(), "one answer is missing")
	g.Expect(surveys.Expire(start)).To(gomega.BeEmpty())
	g.Expect(surveys.Expire(start.Add(time.Second))).To(gomega.ConsistOf(gate.FinishedSurvey{
		Entry: entryAt, Result: passthrough.SurveyResult{Number: 4, Key: flowKey(2), NotHeld: []netip.AddrPort{companionAt(2)}},
	}))
}

func benchmarkChoice(b *testing.B, companions int) {
	d := fleet(companions, 7)
	b.ReportAllocs()
	port := 0
	for b.Loop() {
		port++
		p := syn(port % 60000)
		d.Handle(start, p)
		d.HandleNote(start, companionAt(1), passthrough.Note{Kind: passthrough.NoteHeld, Key: p.Key})
	}
}

// benchmarkMeasuredChoice chooses among companions that have reported their pace and
// answer, as each gets 50 flows a second.
func benchmarkMeasuredChoice(b *testing.B, companions int) {
	d := fleet(companions, 7)
	for i := range companions {
		run := time.Duration(20+i%5*10) * time.Millisecond
		d.HandlePace(start, fleetStatus(i, 7).Companion, passthrough.Pace{Run: run, Interval: run / 4, Users: 4})
	}
	b.ReportAllocs()
	now, port := start, 0
	for b.Loop() {
		port++
		now = now.Add(time.Second / time.Duration(50*companions))
		p := syn(port % 60000)
		to := d.Handle(now, p)[0].To
		d.HandleNote(now, to, passthrough.Note{Kind: passthrough.NoteHeld, Key: p.Key, Running: port % 4})
	}
}

func BenchmarkChoiceOf10(b *testing.B)   { benchmarkChoice(b, 10) }
func BenchmarkChoiceOf109(b *testing.B)  { benchmarkChoice(b, 109) }
func BenchmarkChoiceOf3300(b *testing.B) { benchmarkChoice(b, 3300) }

func BenchmarkMeasuredChoiceOf10(b *testing.B)   { benchmarkMeasuredChoice(b, 10) }
func BenchmarkMeasuredChoiceOf109(b *testing.B)  { benchmarkMeasuredChoice(b, 109) }
func BenchmarkMeasuredChoiceOf3300(b *testing.B) { benchmarkMeasuredChoice(b, 3300) }

// An entry instance that had just started looked up every flow at every companion, and
// again at each repetition, so that its network carried little else.
func TestMessagesOfLookupsAreBounded(t *testing.T) {
	const (
		flows = 1000
		// limit is a third of a network of 250,000 bytes a second each way.
		limit = 250_000 / 3
	)
	g := gomega.NewWithT(t)
	d := fleet(109, 6)
	d.SetNetwork(250_000)
	d.Continue(start)
	for now := start; now.Before(start.Add(3 * time.Second)); {
		sent := 0
		for second := now.Add(time.Second); now.Before(second); now = now.Add(50 * time.Millisecond) {
			for port := range flows / 20 {
				sent += lookupBytes(d.Handle(now, data(port+int(now.Sub(start).Milliseconds()), 5001)))
			}
			sent += lookupBytes(d.Continue(now))
		}
		g.Expect(sent).To(gomega.BeNumerically("<=", limit))
		g.Expect(sent).To(gomega.BeNumerically(">", 0))
	}
}

// lookupBytes returns the bytes of the messages among the actions.
func lookupBytes(actions []dispatch.Action) int {
	bytes := 0
	for _, a := range actions {
		switch a.Kind {
		case dispatch.Query:
			bytes += queryBytes
		case dispatch.Survey:
			bytes += surveyHeaderBytes + addressBytes*len(a.Survey.Ask)
		}
	}
	return bytes
}

// Companions that start beside a running backend server can't deny a flow without its
// packet. A lookup that asked all of them when one hadn't answered after 60 ms had four
// messages with each, and after all processes were killed it took ten seconds until flows
// were found without delay.
func TestUnsureCompanionsAreNotAllAskedAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	d := fleet(109, 6)
	asked := map[netip.AddrPort]bool{}
	answer := func(now time.Time, actions []dispatch.Action) {
		for _, at := range targets(actions, dispatch.Query) {
			asked[at] = true
			d.HandleNote(now, at, passthrough.Note{Kind: passthrough.NoteUnsure, Key: flowKey(1)})
		}
	}
	answer(start, append([]dispatch.Action{}, d.Handle(start, data(1, 5001))...))
	for at := start; at.Before(start.Add(250 * time.Millisecond)); at = at.Add(50 * time.Millisecond) {
		actions := append([]dispatch.Action{}, d.Continue(at)...)
		g.Expect(targets(actions, dispatch.Survey)).To(gomega.BeEmpty())
		answer(at, actions)
	}
	g.Expect(len(asked)).To(gomega.BeNumerically("<=", 12))
	g.Expect(targets(d.Continue(start.Add(400*time.Millisecond)), dispatch.Survey)).NotTo(gomega.BeEmpty())
}
