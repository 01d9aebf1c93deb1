package entry

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Five heartbeats a second of every entry instance took a good part of a control
// instance's processor. They are needed only until control knows the instance.
func TestHeartbeatsAreFrequentOnlyAfterAChange(t *testing.T) {
	const hour = time.Hour
	g := gomega.NewWithT(t)
	first, later := 0, 0
	for at := time.Duration(0); at < time.Second; at += nextHeartbeat(at) {
		first++
	}
	for at := hour; at < hour+time.Minute; at += nextHeartbeat(at) {
		later++
	}
	g.Expect(first).To(gomega.Equal(5))
	g.Expect(later).To(gomega.Equal(60))
}
