package publish_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"zinniapulley.dev/core"
	"zinniapulley.dev/publish"
)

func TestTheTrackerReportsWhichSubscribersLagAndSinceWhen(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker := publish.NewTracker()
	tracker.Publish(start, 5)
	tracker.Report(start, publish.Report{Instance: "e1", DataCentre: "north-a", Revision: 5})
	tracker.Report(start, publish.Report{Instance: "e2", DataCentre: "north-a", Revision: 5})
	g.Expect(tracker.Lagging(5)).To(gomega.BeEmpty())
	tracker.Publish(start.Add(time.Second), 6)
	tracker.Publish(start.Add(2*time.Second), 7)
	tracker.Report(start.Add(3*time.Second), publish.Report{Instance: "e1", DataCentre: "north-a", Revision: 7})
	tracker.Report(start.Add(3*time.Second), publish.Report{Instance: "e1", DataCentre: "north-a", Revision: 5})
	lagging := tracker.Lagging(7)
	g.Expect(lagging).To(gomega.HaveLen(1))
	g.Expect(lagging[0].Instance).To(gomega.Equal(core.InstanceID("e2")))
	g.Expect(lagging[0].BehindSince).To(gomega.Equal(start.Add(time.Second)))
	tracker.Expire(start.Add(publish.ExpireAfter))
	g.Expect(tracker.Subscribers()).To(gomega.HaveLen(1))
}

func TestTheFirstSubscribersOfADataCentreBecomeItsRelays(t *testing.T) {
	g := gomega.NewWithT(t)
	relays := publish.NewRelays()
	redirect := func(after time.Duration, instance core.InstanceID, port int) []netip.AddrPort {
		return relays.Redirect(start.Add(after), publish.Candidate{Instance: instance, DataCentre: "north-a", Address: address(port)})
	}
	g.Expect(redirect(0, "e1", 1)).To(gomega.BeEmpty())
	g.Expect(redirect(0, "e2", 2)).To(gomega.BeEmpty())
	g.Expect(redirect(0, "e3", 3)).To(gomega.Equal([]netip.AddrPort{address(1), address(2)}))
	g.Expect(redirect(5*time.Second, "e2", 2)).To(gomega.BeEmpty())
	g.Expect(redirect(7*time.Second, "e3", 3)).To(gomega.BeEmpty(), "replaces e1, which sent no request for RelayTimeout")
	g.Expect(redirect(8*time.Second, "e1", 1)).To(gomega.Equal([]netip.AddrPort{address(2), address(3)}))
	noAddress := publish.Candidate{Instance: "x", DataCentre: "north-b"}
	g.Expect(relays.Redirect(start, noAddress)).To(gomega.BeEmpty())
	g.Expect(relays.Redirect(start, noAddress)).To(gomega.BeEmpty())
}
