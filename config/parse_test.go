package config_test

import (
	"os"
	"strings"
	"testing"

	"github.com/onsi/gomega"
	"zinniapulley.dev/config"
	"zinniapulley.dev/core"
)

func goodDocument(t testing.TB) []byte {
	t.Helper()
	text, err := os.ReadFile("testdata/good.json")
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func TestParseReadsADocument(t *testing.T) {
	g := gomega.NewWithT(t)
	document, err := config.Parse(goodDocument(t))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	counter := document.Services["counter"]
	g.Expect(counter.Kind.Core()).To(gomega.Equal(core.ServiceRequest))
	g.Expect(counter.BucketCount()).To(gomega.Equal(config.DefaultBuckets))
	g.Expect(counter.ShareOf("counter-1", "north-a")).To(gomega.Equal(50))
	g.Expect(counter.ShareOf("counter-2", "north-b")).To(gomega.Equal(80))
	g.Expect(counter.ShareOf("counter-3", "north-a")).To(gomega.Equal(config.FullShare))
	again, err := config.Parse(document.JSON())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(again).To(gomega.Equal(document))
}

func TestParseListsEveryFaultWithItsPath(t *testing.T) {
	g := gomega.NewWithT(t)
	text, err := os.ReadFile("testdata/faulty.json")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = config.Parse(text)
	var faults config.Faults
	g.Expect(err).To(gomega.BeAssignableToTypeOf(faults))
	faults = err.(config.Faults)
	var paths []string
	for _, fault := range faults {
		paths = append(paths, fault.Path)
	}
	g.Expect(paths).To(gomega.ConsistOf(
		"colour",
		"dataCentres.north-a.state",
		"dataCentres.North.region",
		"dataCentres.North",
		"limits.returnRamp",
		"services.counter.address",
		"services.counter.colour",
		"services.feed.capacity.slots",
		"services.feed.buckets",
		"services.feed.share.dataCentres.south",
		"services.feed.share.instances.feed-1",
		"services.feed.requests",
		"services.feed.requests.retries",
		"services.feed.team",
		"services.manuals.address",
		"services.manuals.kind",
		"services.manuals.team",
		"teams.kits.sections[1]",
		"teams.kits.sections[2]",
		"teams.kits.tokens[0]",
		"teams",
	))
}

func TestParseRefusesOversizeInput(t *testing.T) {
	g := gomega.NewWithT(t)
	text := string(goodDocument(t)) + strings.Repeat(" ", config.MaxDocumentBytes)
	_, err := config.Parse([]byte(text))
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("more than")))
}

func TestAuthenticateFindsATeamByItsTokenHash(t *testing.T) {
	g := gomega.NewWithT(t)
	document, err := config.Parse(goodDocument(t))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	team, ok := document.Authenticate("kits-token")
	g.Expect(team).To(gomega.Equal(core.Team("kits")))
	g.Expect(ok).To(gomega.BeTrue())
	_, ok = document.Authenticate("other")
	g.Expect(ok).To(gomega.BeFalse())
}

func FuzzParse(f *testing.F) {
	f.Add(goodDocument(f))
	f.Add([]byte(`{"services":{"a":{"address":"1.2.3.4:5"}},"dataCentres":null,"teams":[]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		document, err := config.Parse(data)
		if err != nil {
			return
		}
		again, err := config.Parse(document.JSON())
		if err != nil {
			t.Fatalf("an accepted document is refused after re-encoding: %v", err)
		}
		if string(again.JSON()) != string(document.JSON()) {
			t.Fatal("a document changes when it is encoded and parsed again")
		}
	})
}
