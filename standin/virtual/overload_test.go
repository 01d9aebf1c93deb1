package virtual_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"zinniapulley.dev/standin/virtual"
)

// TestOverloadKeepsMostOfTheCapacity submits 1.5 times the requests that the backend
// servers can answer.
func TestOverloadKeepsMostOfTheCapacity(t *testing.T) {
	g := gomega.NewWithT(t)
	const (
		count, slots = 3, 4
		length       = 20 * time.Second
		service      = 20 * time.Millisecond
		capacity     = float64(count*slots) * float64(length) / float64(service)
		gap          = service * 2 / (3 * count * slots)
		// leastShare is the least share of the capacity that must be served.
		leastShare = 0.9
	)
	sim := virtual.New(options(1, count, slots))
	sim.Run(time.Second)
	n := 0
	var submit func()
	submit = func() {
		sim.Companion(n%count).Submit("", "", false, 500*time.Millisecond)
		n++
		sim.After(gap, submit)
	}
	sim.After(0, submit)
	sim.Run(length)
	served, unknown := 0, 0
	for _, s := range sim.RunLog.Submissions {
		switch {
		case s.Served:
			served++
		case !s.Ended.IsZero() && s.Refused != 0 && s.Refused.String() == "outcome unknown":
			unknown++
		}
	}
	g.Expect(float64(served)).To(gomega.BeNumerically(">", leastShare*capacity))
	g.Expect(unknown).To(gomega.BeNumerically("<", n/100))
}
