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
)

// replaced returns a Dispatcher with a flow that was confirmed at a backend server which
// has been replaced since, and the check of the flow.
func replaced(g *gomega.WithT) (*dispatch.Dispatcher, dispatch.Action) {
	d := dispatcher(3)
	d.Handle(start, data(1, 5001))
	d.HandleNote(start, companionAt(1), passthrough.Note{Kind: passthrough.NoteHeld, Key: flowKey(1)})
	d.Handle(start, data(1, 5051))
	d.HandleStatus(start, replacement(1))
	actions := d.Continue(start.Add(10 * time.Millisecond))
	g.Expect(actions).To(gomega.HaveLen(1))
	g.Expect(actions[0].Kind).To(gomega.Equal(dispatch.Check))
	g.Expect(actions[0].To).To(gomega.Equal(companionAt(1)))
	return d, actions[0]
}

// replacement is the status of a companion whose backend server was replaced.
func replacement(number int) passthrough.Status {
	status := statusOf(number)
	status.Server = "replacement"
	return status
}

// A caller that used a flow of a server that had been replaced lost a request that can't
// be repeated. The flow is reset before, with the caller's last acknowledgement.
func TestFlowOfAReplacedServerIsReset(t *testing.T) {
	g := gomega.NewWithT(t)
	d, check := replaced(g)
	actions := d.HandleCheckAnswer(start.Add(15*time.Millisecond), companionAt(1), check.Survey.Number)
	g.Expect(actions).To(gomega.HaveLen(1))
	g.Expect(actions[0].Kind).To(gomega.Equal(dispatch.Reset))
	g.Expect(actions[0].ResetSeq).To(gomega.Equal(uint32(5051)))
	g.Expect(d.Flows()).To(gomega.BeZero())
}

// A reset of a flow that is open at a running backend server breaks the system's promise:
// an answer counts only if nothing shows that the flow may have opened again.
func TestCheckedFlowIsNotResetIfItMayBeOpen(t *testing.T) {
	answered := start.Add(15 * time.Millisecond)
	held := passthrough.Note{Kind: passthrough.NoteHeld, Key: flowKey(1)}
	for name, c := range map[string]struct {
		before func(d *dispatch.Dispatcher)
		from   netip.AddrPort
		number uint32
		at     time.Time
	}{
		"confirmed at the new server":    {before: func(d *dispatch.Dispatcher) { d.HandleNote(answered, companionAt(1), held) }},
		"confirmed by another companion": {before: func(d *dispatch.Dispatcher) { d.HandleNote(answered, companionAt(2), held) }},
		"caller has opened it anew":      {before: func(d *dispatch.Dispatcher) { d.Handle(answered, syn(1)) }},
		"caller has sent a packet":       {before: func(d *dispatch.Dispatcher) { d.Handle(answered, data(1, 9001)) }},
		"packet was returned":            {before: func(d *dispatch.Dispatcher) { d.HandleNotHeld(answered, companionAt(1), data(1, 9001)) }},
		"caller closes": {before: func(d *dispatch.Dispatcher) {
			d.HandleNote(answered, companionAt(1), passthrough.Note{Kind: passthrough.NoteLost, Key: flowKey(1)})
		}},
		"process was paused":          {before: func(d *dispatch.Dispatcher) { d.Sweep(answered); d.Sweep(answered.Add(5 * time.Second)) }},
		"answer is old":               {at: answered.Add(5 * time.Second)},
		"answer of another companion": {from: companionAt(2)},
		"answer to another check":     {number: 1000},
		"companion can't tell": {before: func(d *dispatch.Dispatcher) {
			d.HandleNote(answered, companionAt(1), passthrough.Note{Kind: passthrough.NoteUnsure, Key: flowKey(1)})
		}, number: 1000},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			d, check := replaced(g)
			from, number, at := companionAt(1), check.Survey.Number, answered
			if c.before != nil {
				c.before(d)
			}
			if c.from.IsValid() {
				from = c.from
			}
			if c.number != 0 {
				number = c.number
			}
			if !c.at.IsZero() {
				at = c.at
			}
			g.Expect(targets(d.HandleCheckAnswer(at, from, number), dispatch.Reset)).To(gomega.BeEmpty())
		})
	}
}

// Only flows that a companion confirmed for an earlier server are checked.
func TestFlowsOfTheSameServerAreNotChecked(t *testing.T) {
	for name, c := range map[string]struct {
		change func(s *passthrough.Status)
		checks int
	}{
		"load":                       {func(s *passthrough.Status) { s.Running = 3 }, 0},
		"drains":                     {func(s *passthrough.Status) { s.Ready = false }, 0},
		"companion has just started": {func(s *passthrough.Status) { s.Server, s.Service, s.Ready = "", "", false }, 0},
		"new start, the same name":   {func(s *passthrough.Status) { s.Born = 2 }, 1},
		"another server":             {func(s *passthrough.Status) { s.Server = "replacement" }, 1},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			d := dispatcher(3)
			status := statusOf(1)
			status.Born = 1
			d.HandleStatus(start, status)
			d.Handle(start, data(1, 5001))
			d.HandleNote(start, companionAt(1), passthrough.Note{Kind: passthrough.NoteHeld, Key: flowKey(1)})
			d.Handle(start, data(2, 5001))
			d.HandleNote(start, companionAt(2), passthrough.Note{Kind: passthrough.NoteHeld, Key: flowKey(2)})
			c.change(&status)
			d.HandleStatus(start, status)
			g.Expect(targets(d.Continue(start.Add(time.Millisecond)), dispatch.Check)).To(gomega.HaveLen(c.checks))
		})
	}
}

// Checks of many flows must leave the network to lookups and callers. Each is repeated
// twice if it isn't answered.
func TestChecksAreBounded(t *testing.T) {
	const flows = 100
	g := gomega.NewWithT(t)
	d := dispatcher(1)
	for port := range flows {
		d.Handle(start, data(port, 5001))
		d.HandleNote(start, companionAt(1), passthrough.Note{Kind: passthrough.NoteHeld, Key: flowKey(port)})
	}
	d.HandleStatus(start, replacement(1))
	sent := map[core.FlowKey]int{}
	for elapsed := time.Duration(0); elapsed < 3*time.Second; elapsed += 50 * time.Millisecond {
		checks := 0
		for _, a := range d.Continue(start.Add(elapsed)) {
			if a.Kind == dispatch.Check {
				checks++
				sent[a.Survey.Key]++
			}
		}
		g.Expect(checks).To(gomega.BeNumerically("<=", 20))
	}
	g.Expect(sent).To(gomega.HaveLen(flows))
	for key, count := range sent {
		g.Expect(count).To(gomega.Equal(3), fmt.Sprint(key))
	}
}
