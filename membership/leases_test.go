package membership_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
	"zinniapulley.dev/core"
	"zinniapulley.dev/membership"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func heartbeat(server core.BackendServer) membership.Heartbeat {
	return membership.Heartbeat{Report: membership.Report{
		BackendServer: server.ID, StartID: server.StartID, Capacity: server.Capacity, State: server.State,
	}}
}

func renew(g *gomega.WithT, leases *membership.Leases, state *membership.State, now time.Time, b membership.Heartbeat) bool {
	changed, err := leases.Renew(now, state, b)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return changed
}

func TestALeaseExpiresAPeriodAfterTheLastHeartbeat(t *testing.T) {
	g := gomega.NewWithT(t)
	state := membership.NewState()
	leases := membership.NewLeases(3 * time.Second)
	expired := announce(g, state, announcement("b1", 10, "192.0.2.1"))
	renewed := announce(g, state, announcement("b2", 20, "192.0.2.2"))
	leases.StartTerm(start, state.Servers())
	g.Expect(renew(g, leases, state, start.Add(2*time.Second), heartbeat(renewed))).To(gomega.BeFalse())
	g.Expect(leases.Expired(start.Add(3*time.Second - 1))).To(gomega.BeEmpty())
	g.Expect(leases.Expired(start.Add(3 * time.Second))).To(gomega.Equal(
		[]membership.Departure{{BackendServer: expired.ID, StartID: 10}}))
	next, ok := leases.Next()
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(next).To(gomega.Equal(start.Add(5 * time.Second)))
}

func TestANewLeaderGrantsEveryLeaseAFullPeriod(t *testing.T) {
	g := gomega.NewWithT(t)
	state := membership.NewState()
	announce(g, state, announcement("b1", 10, "192.0.2.1"))
	leases := membership.NewLeases(3 * time.Second)
	leases.StartTerm(start, state.Servers())
	later := start.Add(time.Hour)
	leases.StartTerm(later, state.Servers())
	g.Expect(leases.Expired(later.Add(3*time.Second - 1))).To(gomega.BeEmpty())
	g.Expect(leases.Expired(later.Add(3 * time.Second))).To(gomega.HaveLen(1))
}

func TestAnExpiryOfAnEarlierStartLeavesALaterOne(t *testing.T) {
	g := gomega.NewWithT(t)
	state := membership.NewState()
	leases := membership.NewLeases(3 * time.Second)
	first := announce(g, state, announcement("b1", 10, "192.0.2.1"))
	leases.Grant(start, first)
	expired := leases.Expired(start.Add(3 * time.Second))
	second := announce(g, state, announcement("b1", 11, "192.0.2.1"))
	g.Expect(state.Depart(expired[0])).To(gomega.BeAssignableToTypeOf(&membership.SupersededError{}))
	g.Expect(state.Servers()).To(gomega.Equal([]core.BackendServer{second}))
}

func TestHeartbeatsOfAnUnknownOrSupersededStartRenewNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	state := membership.NewState()
	leases := membership.NewLeases(3 * time.Second)
	old := announce(g, state, announcement("b1", 10, "192.0.2.1"))
	current := announce(g, state, announcement("b1", 11, "192.0.2.1"))
	leases.Grant(start, current)
	_, err := leases.Renew(start.Add(2*time.Second), state, heartbeat(old))
	g.Expect(err).To(gomega.BeAssignableToTypeOf(&membership.SupersededError{}))
	_, err = leases.Renew(start, state, membership.Heartbeat{Report: membership.Report{BackendServer: 99}})
	g.Expect(err).To(gomega.Equal(&membership.UnknownError{BackendServer: 99}))
	g.Expect(leases.Expired(start.Add(3 * time.Second))).To(gomega.HaveLen(1))
}

func TestOnlySignificantReportsBecomeChanges(t *testing.T) {
	g := gomega.NewWithT(t)
	state := membership.NewState()
	leases := membership.NewLeases(time.Minute)
	server := announce(g, state, announcement("b1", 10, "192.0.2.1"))
	leases.Grant(start, server)
	report := func(after time.Duration, connections int, serving core.BackendState) bool {
		b := heartbeat(server)
		b.Report.Capacity.Connections = connections
		b.Report.State = serving
		return renew(g, leases, state, start.Add(after), b)
	}
	g.Expect(report(time.Second, 50, core.BackendServing)).To(gomega.BeFalse(), "too soon")
	g.Expect(report(3*time.Second, 95, core.BackendServing)).To(gomega.BeFalse(), "too small")
	g.Expect(report(3*time.Second, 50, core.BackendServing)).To(gomega.BeTrue())
	g.Expect(report(3*time.Second, 0, core.BackendServing)).To(gomega.BeTrue(), "fell to zero")
	g.Expect(report(3*time.Second, 100, core.BackendDraining)).To(gomega.BeTrue(), "drains")
}

func TestLeasesExpireAsInTheReferenceModel(t *testing.T) {
	const period = 3 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		state := membership.NewState()
		leases := membership.NewLeases(period)
		expiries := make(map[core.BackendServerID]time.Time)
		for i, host := range []string{"192.0.2.1", "192.0.2.2", "192.0.2.3", "192.0.2.4"} {
			server, err := state.Announce(announcement(core.InstanceID(host), core.StartID(i+1), host))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			expiries[server.ID] = start.Add(period)
		}
		leases.StartTerm(start, state.Servers())
		now := start
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			for _, departure := range leases.Expired(now) {
				g.Expect(expiries[departure.BackendServer]).NotTo(gomega.BeTemporally(">", now))
				delete(expiries, departure.BackendServer)
				g.Expect(state.Depart(departure)).To(gomega.Succeed())
			}
			for _, end := range expiries {
				g.Expect(end).To(gomega.BeTemporally(">", now))
			}
			id := core.BackendServerID(rapid.Uint32Range(1, 4).Draw(t, "beats"))
			server, registered := state.Server(id)
			if !registered {
				continue
			}
			b := heartbeat(server)
			b.Age = time.Duration(rapid.IntRange(0, 2000).Draw(t, "age")) * time.Millisecond
			renew(g, leases, state, now, b)
			end := now.Add(period - b.Age)
			if end.After(expiries[id]) {
				expiries[id] = end
			}
		}
	})
}
