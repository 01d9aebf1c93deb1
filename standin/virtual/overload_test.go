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
	w := virtual.New(options(1, count, slots))
	w.Run(time.Second)
	n := 0
	var submit func()
	submit = func() {
		w.Companion(n%count).Submit("", "", false, 500*time.Millisecond)
		n++
		w.After(gap, submit)
	}
	w.After(0, submit)
	w.Run(length)
	served, unknown := 0, 0
	for _, s := range w.RunLog.Submissions {
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
