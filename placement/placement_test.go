package placement_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"zinniapulley.dev/core"
	"zinniapulley.dev/placement"
)

const balcao = core.ServiceID(1)

var start = time.Date(2026, 3, 12, 8, 0, 0, 0, time.UTC)

// fixture drives a placement with its own clock and revision counter.
type fixture struct {
	p        *placement.Placement
	now      time.Time
	revision core.Revision
	servers  map[core.BackendServerID]core.BackendServer
}

// newFixture returns a placement of one service with backend servers 1 to count,
// assigned round-robin to four data centres.
func newFixture(count int) *fixture {
	f := &fixture{
		p: placement.New(placement.DefaultConfig()), now: start,
		servers: make(map[core.BackendServerID]core.BackendServer),
	}
	for _, name := range []core.DataCentre{"sul-a", "sul-b", "sul-c", "sul-d"} {
		f.handle(placement.DataCentreChanged{Name: name, In: true})
	}
	for id := core.BackendServerID(1); int(id) <= count; id++ {
		f.join(id, 2000)
	}
	f.handle(placement.ServiceAdded{Service: balcao, Targets: count})
	return f
}

func (f *fixture) handle(event placement.Event) []placement.Decision {
	f.revision++
	return f.p.Handle(f.now, f.revision, event)
}

func (f *fixture) join(id core.BackendServerID, connections int) []placement.Decision {
	dc := []core.DataCentre{"sul-a", "sul-b", "sul-c", "sul-d"}[(id-1)%4]
	return f.change(core.BackendServer{
		ID: id, Service: balcao, DataCentre: dc, State: core.BackendServing, Share: 100,
		Capacity: core.Capacity{Connections: connections, Slots: 5},
	})
}

func (f *fixture) change(s core.BackendServer) []placement.Decision {
	f.servers[s.ID] = s
	return f.handle(placement.ServerChanged{Server: s})
}

func (f *fixture) setState(id core.BackendServerID, state core.BackendState) []placement.Decision {
	s := f.servers[id]
	s.State = state
	return f.change(s)
}

// settle advances the clock until no change is pending.
func (f *fixture) settle() []placement.Decision {
	var decisions []placement.Decision
	for range 1000 {
		due, ok := f.p.Deadline()
		if !ok {
			return decisions
		}
		f.now = due
		decisions = append(decisions, f.handle(placement.Tick{})...)
	}
	panic("placement still has pending changes after 1000 ticks")
}

func (f *fixture) table() core.Table {
	table, _ := f.p.Table(balcao)
	return table
}

func (f *fixture) owned() map[core.BackendServerID]int { return owned(f.table()) }

// reportEmpty reports all buckets of a backend server as empty at a revision.
func (f *fixture) reportEmpty(id core.BackendServerID, revision core.Revision) []placement.Decision {
	var buckets []uint32
	for bucket := range f.table().Buckets {
		buckets = append(buckets, uint32(bucket))
	}
	return f.handle(placement.BucketsEmpty{Server: id, Revision: revision, Buckets: buckets})
}

func moves(decisions []placement.Decision) int {
	count := 0
	for _, d := range decisions {
		if d.Kind == placement.KindMoved {
			count++
		}
	}
	return count
}

func countInChains(table core.Table, id core.BackendServerID) int {
	count := 0
	for bucket := range table.Buckets {
		for _, member := range table.Chain(uint32(bucket)) {
			if member == id {
				count++
			}
		}
	}
	return count
}

func TestFirstTableIsBalanced(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture(7)
	for id, count := range f.owned() {
		g.Expect(count).To(gomega.BeNumerically("~", 1024/7, 2), "server %d", id)
	}
}

func TestJoinMovesTheLeastAtABoundedRate(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture(7)
	f.settle()
	f.now = f.now.Add(time.Minute)
	began := f.now
	total := moves(f.join(8, 2000))
	g.Expect(total).To(gomega.Equal(64))
	total += moves(f.settle())
	g.Expect(total).To(gomega.Equal(1024 / 8))
	g.Expect(f.owned()[8]).To(gomega.Equal(1024 / 8))
	g.Expect(f.now.Sub(began)).To(gomega.BeNumerically(">=", time.Second))
}

func TestDrainingKeepsFlowsReachableUntilReportedEmpty(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture(7)
	inChains := countInChains(f.table(), 3)
	f.setState(3, core.BackendDraining)
	barred := f.revision
	f.settle()
	g.Expect(f.owned()[3]).To(gomega.BeZero())
	g.Expect(countInChains(f.table(), 3)).To(gomega.Equal(inChains))
	g.Expect(f.reportEmpty(3, barred-1)).To(gomega.BeEmpty(), "a report from before the drain must release nothing")
	f.reportEmpty(3, barred)
	g.Expect(countInChains(f.table(), 3)).To(gomega.BeZero())
}

func TestLostServerLosesItsBucketsAndNoOthersMove(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture(7)
	before := f.table()
	f.setState(5, core.BackendLost)
	f.settle()
	after := f.table()
	for bucket := range before.Buckets {
		was, is := before.Chain(uint32(bucket))[0], after.Chain(uint32(bucket))[0]
		if was != 5 {
			g.Expect(is).To(gomega.Equal(was))
		}
		g.Expect(is).NotTo(gomega.Equal(core.BackendServerID(5)))
	}
}

func TestEarlierOwnerStaysUntilItReportsAtTheRightRevision(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture(4)
	f.settle()
	before := f.revision
	// Two more join: earlier owners move down their chains, some past the choices.
	f.join(5, 2000)
	f.join(6, 2000)
	f.settle()
	released := 0
	for id := core.BackendServerID(1); id <= 4; id++ {
		g.Expect(f.reportEmpty(id, before)).To(gomega.BeEmpty())
		for _, d := range f.reportEmpty(id, f.revision) {
			if d.Kind == placement.KindReleased {
				released++
			}
		}
	}
	g.Expect(released).To(gomega.BeNumerically(">", 0))
}

func TestFullChainIsNotMovedUnlessItsOwnerIsLost(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture(12)
	for id := core.BackendServerID(1); id <= 11; id++ {
		f.setState(id, core.BackendDraining)
		f.settle()
	}
	table := f.table()
	full := 0
	for bucket := range table.Buckets {
		chain := table.Chain(uint32(bucket))
		g.Expect(len(chain)).To(gomega.BeNumerically("<=", core.MaxChain))
		if len(chain) == core.MaxChain && chain[0] != 12 {
			full++
		}
	}
	g.Expect(full).To(gomega.BeNumerically(">", 0), "the test must reach full chains")
	for id := core.BackendServerID(1); id <= 11; id++ {
		f.setState(id, core.BackendLost)
	}
	f.settle()
	g.Expect(f.owned()).To(gomega.Equal(map[core.BackendServerID]int{12: len(table.Buckets)}))
}

func TestShareZeroTakesNoBucket(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture(4)
	s := f.servers[2]
	s.Share = 0
	f.change(s)
	f.settle()
	g.Expect(f.owned()).NotTo(gomega.HaveKey(core.BackendServerID(2)))
	s.Share = 50
	f.change(s)
	f.settle()
	g.Expect(f.owned()[2]).To(gomega.BeNumerically("~", 512/7, 2))
}

func TestOwnerWithoutReplacementKeepsItsBuckets(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture(2)
	f.setState(1, core.BackendDraining)
	f.setState(2, core.BackendDraining)
	f.settle()
	g.Expect(countInChains(f.table(), 1)).To(gomega.Equal(len(f.table().Buckets)))
	f.join(3, 2000)
	g.Expect(f.owned()).To(gomega.Equal(map[core.BackendServerID]int{3: 256}), "unserved buckets must move without a rate limit")
}

func TestDataCentreReturnIsRamped(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture(8)
	f.handle(placement.DataCentreChanged{Name: "sul-b", In: false})
	f.settle()
	g.Expect(f.owned()).NotTo(gomega.HaveKey(core.BackendServerID(2)))
	f.now = f.now.Add(time.Hour)
	f.handle(placement.DataCentreChanged{Name: "sul-b", In: true})
	returned := f.now
	lastStep := placement.DefaultConfig().Ramp * (placement.RampSteps - 1) / placement.RampSteps
	for f.now.Sub(returned) < lastStep {
		weight := float64(f.now.Sub(returned)/(5*time.Second)+1) / placement.RampSteps
		most := 1024*weight/(6+2*weight)*1.05 + 1
		g.Expect(float64(f.owned()[2])).To(gomega.BeNumerically("<=", most), "after %v", f.now.Sub(returned))
		due, ok := f.p.Deadline()
		g.Expect(ok).To(gomega.BeTrue())
		f.now = due
		f.handle(placement.Tick{})
	}
	f.settle()
	g.Expect(f.owned()[2]).To(gomega.BeNumerically("~", 128, 128*0.05+1))
}

func TestSecondDataCentreFlapsDuringReturnOfFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture(8)
	out := func(name core.DataCentre) { f.handle(placement.DataCentreChanged{Name: name, In: false}) }
	in := func(name core.DataCentre) { f.handle(placement.DataCentreChanged{Name: name, In: true}) }
	out("sul-a")
	f.settle()
	in("sul-a")
	out("sul-b")
	in("sul-b")
	out("sul-b")
	f.settle()
	counts := f.owned()
	g.Expect(counts).NotTo(gomega.HaveKey(core.BackendServerID(2)))
	g.Expect(counts).NotTo(gomega.HaveKey(core.BackendServerID(6)))
	for _, id := range []core.BackendServerID{1, 3, 4, 5, 7, 8} {
		g.Expect(counts[id]).To(gomega.BeNumerically("~", 1024/6, 1024/6*0.06+1), "server %d", id)
	}
}

func TestEventsAreIdempotentAndStateRestores(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture(7)
	f.setState(2, core.BackendDraining)
	f.handle(placement.DataCentreChanged{Name: "sul-c", In: false})
	before := f.p.State()
	g.Expect(f.setState(2, core.BackendDraining)).To(gomega.BeEmpty())
	g.Expect(f.handle(placement.DataCentreChanged{Name: "sul-c", In: false})).To(gomega.BeEmpty())
	g.Expect(f.handle(placement.ServiceAdded{Service: balcao, Targets: 7})).To(gomega.BeEmpty())
	g.Expect(f.p.State()).To(gomega.Equal(before))

	stored, err := json.Marshal(before)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var read placement.State
	g.Expect(json.Unmarshal(stored, &read)).To(gomega.Succeed())
	restored := &fixture{p: placement.Restore(placement.DefaultConfig(), read), now: f.now, revision: f.revision, servers: f.servers}
	f.settle()
	restored.settle()
	g.Expect(restored.table()).To(gomega.Equal(f.table()))
	g.Expect(restored.p.State()).To(gomega.Equal(f.p.State()))
}
