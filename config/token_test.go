package config_test

import (
	"testing"

	"github.com/onsi/gomega"
	"zinniapulley.dev/config"
	"zinniapulley.dev/core"
)

// Of two teams with one token hash, only the last by name could submit anything.
func TestSharedTokensAreReported(t *testing.T) {
	g := gomega.NewWithT(t)
	a, b := config.HashToken("a"), config.HashToken("b")
	document := config.Document{Teams: map[core.Team]config.Team{
		"feeds": {Tokens: []config.TokenHash{a, a}, Sections: []config.Section{}},
		"kits":  {Tokens: []config.TokenHash{b, a}, Sections: []config.Section{}},
	}}
	faults := document.SharedTokens()
	g.Expect(faults).To(gomega.HaveLen(1), "a hash listed twice by one team is harmless")
	g.Expect(faults[0].Path).To(gomega.Equal("teams.kits.tokens[1]"))
	g.Expect(faults[0].Problem).To(gomega.Equal(`is also a token of team "feeds"`))

	submission := config.Submission{Section: config.SectionTeams, Body: document.SectionJSON(config.SectionTeams)}
	g.Expect(submission.SharedTokens()).To(gomega.Equal(faults))
	submission.Section = config.SectionLimits
	g.Expect(submission.SharedTokens()).To(gomega.BeEmpty())
}

// A deployment whose document has shared tokens must start with a newer version.
func TestStoredDocumentWithSharedTokensStaysValid(t *testing.T) {
	g := gomega.NewWithT(t)
	document, err := config.Parse(goodDocument(t))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for _, team := range document.Teams {
		team.Tokens[0] = config.HashToken("shared")
	}
	g.Expect(len(document.Teams)).To(gomega.BeNumerically(">", 1))
	g.Expect(document.SharedTokens()).NotTo(gomega.BeEmpty())
	_, err = config.Parse(document.JSON())
	g.Expect(err).NotTo(gomega.HaveOccurred())
}
