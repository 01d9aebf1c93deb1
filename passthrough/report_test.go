package passthrough_test

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"zinniapulley.dev/passthrough"
	"zinniapulley.dev/passthrough/dispatch"
	"zinniapulley.dev/passthrough/gate"
	"zinniapulley.dev/route"
)

// tick is the time between two calls of Reports.Due.
const tick = 100 * time.Millisecond

func entries(count int) []netip.AddrPort {
	var list []netip.AddrPort
	for i := range count {
		list = append(list, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 8000))
	}
	return list
}

// loadBytes, statusBytes and paceBytes are the sizes of a load, of a full status and of a
// pace with the headers of UDP and IPv4.
const (
	loadBytes   = 9 + 28
	statusBytes = 70 + 28
	paceBytes   = 13 + 28
)

// bytesPerSecond returns what an entry instance receives a second of so many
// companions whose load changes at every tick, and used of which it uses.
func bytesPerSecond(companions, instances, used int) int {
	const seconds = 60
	all := entries(instances)
	received := 0
	for _, uses := range []bool{false, true} {
		reports, status, sent := gate.NewReports(), statusOf(1), 0
		for i := range seconds * int(time.Second/tick) {
			now := start.Add(time.Duration(i) * tick)
			if uses {
				reports.HandlePacket(now, all[0], true)
			}
			status.Running = i % 2
			report := reports.Due(now, status, all, companions)
			size := loadBytes
			if report.Full {
				size = statusBytes
			}
			if slices.Contains(report.To, all[0]) {
				sent += size
			}
			// The measured times change by more than a quarter again and again.
			pace := passthrough.Pace{Run: time.Duration(30+i%20) * time.Millisecond}
			if !uses && i/50%2 == 1 {
				// No request runs there for some time.
				pace.Run = 0
			}
			_, to := reports.DuePace(now, report, pace, all, companions)
			if slices.Contains(to, all[0]) {
				sent += paceBytes
			}
		}
		if uses {
			received += used * sent
		} else {
			received += (companions - used) * sent
		}
	}
	return received / seconds
}

// Each companion reported to each entry instance up to ten times a second, so that an
// entry instance received 33,000 reports a second of 3,300 companions. For control, an
// instance may spend 29 KB a second.
func TestReportsAreBoundedAtTheLargestSize(t *testing.T) {
	const (
		companions = 3300
		instances  = 500
		// newFlows is what an entry instance opens a second, each at another companion.
		newFlows = 58_000 / instances
		limit    = 29_000
	)
	received := bytesPerSecond(companions, instances, newFlows)
	t.Logf("%d bytes a second", received)
	gomega.NewWithT(t).Expect(received).To(gomega.BeNumerically("<=", limit))
}

// A change that matters for the choice reaches every entry instance at the next tick.
func TestChangesThatMatterAreReportedToAllAtOnce(t *testing.T) {
	changes := map[string]func(*passthrough.Status){
		"drains or is gone":  func(s *passthrough.Status) { s.Ready = false },
		"departs":            func(s *passthrough.Status) { s.Departed = true },
		"starts cold":        func(s *passthrough.Status) { s.Cold = true },
		"fails":              func(s *passthrough.Status) { s.Failing = true },
		"fills up":           func(s *passthrough.Status) { s.Running = 2 * s.Slots },
		"serves another one": func(s *passthrough.Status) { s.Service = "other" },
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			reports, all := gate.NewReports(), entries(500)
			status := statusOf(1)
			reports.Due(start, status, all, 136)
			g.Expect(reports.Due(start.Add(tick), status, all, 136).To).To(gomega.BeEmpty())
			change(&status)
			report := reports.Due(start.Add(2*tick), status, all, 136)
			g.Expect(report.Full).To(gomega.BeTrue())
			g.Expect(report.To).To(gomega.HaveLen(500))
		})
	}
}

// An entry instance that uses a companion gets every change of its load, and one that
// control doesn't list yet gets reports too.
func TestEntryInstancesInUseGetEveryChange(t *testing.T) {
	g := gomega.NewWithT(t)
	reports, all := gate.NewReports(), entries(500)
	status := statusOf(1)
	reports.Due(start, status, all, 136)
	reports.HandlePacket(start, all[7], true)
	status.Running = 1
	report := reports.Due(start.Add(tick), status, all, 136)
	g.Expect(report.Full).To(gomega.BeFalse())
	g.Expect(report.To).To(gomega.Equal(all[7:8]))
	status.Ready = false
	reports.HandleRequest(start.Add(tick), companionAt(77), status, 136)
	g.Expect(reports.Due(start.Add(2*tick), status, all, 136).To).To(gomega.ContainElement(companionAt(77)))
}

// An entry instance that has missed a status asks for it.
func TestLoadOfAnUnknownStatusRequestsTheStatus(t *testing.T) {
	g := gomega.NewWithT(t)
	d := dispatcher(1)
	status := statusOf(1)
	g.Expect(d.HandleLoad(start, companionAt(1), status.Load())).To(gomega.BeEmpty())
	status.Ready = false
	request := d.HandleLoad(start, companionAt(1), status.Load())
	g.Expect(targets(request, dispatch.RequestStatus)).To(gomega.ConsistOf(companionAt(1)))
	d.HandleStatus(start, status)
	g.Expect(d.HandleLoad(start, companionAt(1), status.Load())).To(gomega.BeEmpty())
	unknown := d.HandleLoad(start, companionAt(9), status.Load())
	g.Expect(targets(unknown, dispatch.RequestStatus)).To(gomega.ConsistOf(companionAt(9)))
}

// Among thousands of companions the reports of one are seconds apart. One that has just
// started beside a running backend server may hold flows until its next report.
func TestRareReportsAreNoDeparture(t *testing.T) {
	g := gomega.NewWithT(t)
	view := *table(1).View
	view.Companions = []route.Companion{{Address: companionAt(1)}, {Address: companionAt(2)}}
	d := dispatch.New(start.Add(-time.Hour), "north")
	d.SetTable(route.Compile(&view))
	d.HandleStatus(start.Add(3*time.Second), statusOf(1))
	starting := passthrough.Status{Companion: companionAt(2), DataCentre: "north", ReportInterval: 6 * time.Second}
	d.HandleStatus(start, starting)
	later := start.Add(3 * time.Second)
	d.Handle(later, data(1, 5001))
	denied := passthrough.Note{Kind: passthrough.NoteNotHeld, Key: flowKey(1)}
	g.Expect(targets(d.HandleNote(later, companionAt(1), denied), dispatch.Reset)).To(gomega.BeEmpty())
	late := start.Add(20 * time.Second)
	d.Handle(late, data(1, 5001))
	g.Expect(targets(d.HandleNote(late, companionAt(1), denied), dispatch.Reset)).To(gomega.HaveLen(1), "it has departed by then")
}

// A backend server that was reported slow gets no flows, so that its recovery was never
// measured: entry instances avoided it until the next full status, 60 s later.
func TestLostMeasuresAreReportedToAll(t *testing.T) {
	g := gomega.NewWithT(t)
	reports, all, status := gate.NewReports(), entries(12), statusOf(1)
	slow := passthrough.Pace{Run: 200 * time.Millisecond, Interval: 50 * time.Millisecond}
	due := func(at time.Duration, pace passthrough.Pace) []netip.AddrPort {
		now := start.Add(at)
		_, to := reports.DuePace(now, reports.Due(now, status, all, 45), pace, all, 45)
		return to
	}
	g.Expect(due(0, slow)).To(gomega.HaveLen(12), "with the full status")
	g.Expect(due(10*time.Second, passthrough.Pace{})).To(gomega.HaveLen(12))
	g.Expect(due(11*time.Second, passthrough.Pace{})).To(gomega.BeEmpty())
}

// A backend server that becomes slow is reported to those that use it, and a change that
// chance explains to nobody.
func TestChangedMeasuresAreReportedToThoseThatUseThem(t *testing.T) {
	g := gomega.NewWithT(t)
	reports, all, status := gate.NewReports(), entries(12), statusOf(1)
	due := func(at time.Duration, run time.Duration) []netip.AddrPort {
		now := start.Add(at)
		reports.HandlePacket(now, all[3], true)
		_, to := reports.DuePace(now, reports.Due(now, status, all, 45), passthrough.Pace{Run: run}, all, 45)
		return to
	}
	due(0, 30*time.Millisecond)
	due(time.Second, 30*time.Millisecond)
	g.Expect(due(2*time.Second, 36*time.Millisecond)).To(gomega.BeEmpty())
	g.Expect(due(3*time.Second, 60*time.Millisecond)).To(gomega.ConsistOf(all[3]))
	g.Expect(due(3*time.Second+tick, 120*time.Millisecond)).To(gomega.BeEmpty(), "once in a report interval")
}

// Old processes compute the digest of a status without a pace; a digest that depended on it
// had every old entry instance request the full status with every load.
func TestPaceIsNotPartOfTheDigest(t *testing.T) {
	b := newPaceHarness(t)
	before := b.gate.Status(b.now)
	for port := range 20 {
		b.exchange(port)
	}
	after := b.gate.Status(b.now)
	b.g.Expect(b.gate.Pace(b.now).Run).To(gomega.Equal(serviceTime))
	b.g.Expect(after.Digest()).To(gomega.Equal(before.Digest()))
}
