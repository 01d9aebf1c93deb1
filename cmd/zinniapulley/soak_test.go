package main

import (
	"os"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"zinniapulley.dev/soak"
)

// soakSeeds are the seeds of the short run. Every seed that found a violation is
// added, with its cause.
var soakSeeds = []uint64{
	1, 2,
	// Flows were reset while their companions were down: an entry instance assumed
	// that there were no companions but those it had received messages from.
	106,
	// Flows were reset by entry instances that skipped a companion that had just
	// started and did not report its service yet.
	103,
	// Flows were reset because a backend server announced itself late, under load,
	// and was considered not running.
	444,
	// A flow was reset because a companion without a configuration believed another
	// writer's announcement of an unknown service.
	817,
}

// TestShortSoak runs real processes under injected faults. ./soak/run runs more seeds.
func TestShortSoak(t *testing.T) {
	var overtaken []string
	for _, seed := range soakSeeds {
		report, err := soak.Run(t.Context(), soak.Options{
			Seed: seed, Length: 10 * time.Second, Command: []string{os.Args[0]}, Environment: []string{runAsCommand + "=1"},
			Network: 60, Folder: t.TempDir(),
		})
		g := gomega.NewWithT(t)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		t.Log(report)
		g.Expect(report.Violations).To(gomega.BeEmpty())
		g.Expect(report.Requests).To(gomega.BeNumerically(">", 0))
		g.Expect(report.Urgent.Answered).To(gomega.BeNumerically(">", 0))
		g.Expect(report.Ordinary.Refused).To(gomega.BeNumerically(">", 0), "the job servers were not overloaded")
		overtaken = append(overtaken, report.Overtaken...)
	}
	// An urgent job isn't refused while an ordinary one is admitted.
	t.Run("OrderOfJobs", func(t *testing.T) {
		gomega.NewWithT(t).Expect(overtaken).To(gomega.BeEmpty())
	})
}
