package claim_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
	"zinniapulley.dev/claim"
	"zinniapulley.dev/core"
)

var epoch = time.Unix(1_000_000, 0).UTC()

func key(value string) claim.Key {
	return claim.Key{Service: 1, Scope: "shop", Value: value}
}

func holder(companion core.InstanceID, number uint64) claim.Holder {
	return claim.Holder{Companion: companion, Incarnation: 1, Number: number}
}

func TestSecondClaimIsHeldAndAResentOneIsGrantedAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	table := claim.NewTable(claim.DefaultTableLimits())
	first := claim.Command{Kind: claim.ClaimKey, Key: key("k"), Holder: holder("c1", 1), At: epoch}
	second := claim.Command{Kind: claim.ClaimKey, Key: key("k"), Holder: holder("c2", 1), At: epoch}
	g.Expect(table.Apply(first).Verdict).To(gomega.Equal(claim.Granted))
	g.Expect(table.Apply(first).Verdict).To(gomega.Equal(claim.Granted))
	held := table.Apply(second)
	g.Expect(held.Verdict).To(gomega.Equal(claim.Held))
	g.Expect(held.Record.Holder).To(gomega.Equal(first.Holder))
}

func TestScopesAndServicesDoNotShareKeys(t *testing.T) {
	g := gomega.NewWithT(t)
	table := claim.NewTable(claim.DefaultTableLimits())
	keys := []claim.Key{
		{Service: 1, Scope: "a", Value: "k"},
		{Service: 1, Scope: "b", Value: "k"},
		{Service: 2, Scope: "a", Value: "k"},
	}
	for n, k := range keys {
		command := claim.Command{Kind: claim.ClaimKey, Key: k, Holder: holder("c1", uint64(n)), At: epoch}
		g.Expect(table.Apply(command).Verdict).To(gomega.Equal(claim.Granted))
	}
}

func TestLostCompanionLeavesItsRunsUnknownAndGetsNoMoreClaims(t *testing.T) {
	g := gomega.NewWithT(t)
	table := claim.NewTable(claim.DefaultTableLimits())
	claimed := claim.Command{Kind: claim.ClaimKey, Key: key("k"), Holder: holder("c1", 1), At: epoch}
	late := claim.Command{Kind: claim.ClaimKey, Key: key("late"), Holder: holder("c1", 2), At: epoch}
	lose := claim.Command{Kind: claim.LoseCompanion, Holder: holder("c1", 0), At: epoch}
	finish := claim.Command{Kind: claim.FinishRun, Key: key("k"), Holder: holder("c1", 1), AnswerKept: true, At: epoch}
	table.Apply(claimed)
	table.Apply(lose)
	record, _ := table.Get(key("k"))
	g.Expect(record.State).To(gomega.Equal(claim.Unknown))
	g.Expect(table.Apply(late).Verdict).To(gomega.Equal(claim.Fenced))
	g.Expect(table.Apply(finish).Verdict).To(gomega.Equal(claim.Applied))
	record, _ = table.Get(key("k"))
	g.Expect(record.State).To(gomega.Equal(claim.Done))
}

func TestOutcomeIsKeptForTheRetentionAndRunningClaimsForever(t *testing.T) {
	g := gomega.NewWithT(t)
	limits := claim.DefaultTableLimits()
	table := claim.NewTable(limits)
	for _, value := range []string{"done", "running"} {
		table.Apply(claim.Command{Kind: claim.ClaimKey, Key: key(value), Holder: holder("c1", 1), At: epoch})
	}
	table.Apply(claim.Command{Kind: claim.FinishRun, Key: key("done"), Holder: holder("c1", 1), At: epoch})
	again := claim.Command{Kind: claim.ClaimKey, Key: key("done"), Holder: holder("c2", 1)}
	again.At = epoch.Add(limits.Retention - time.Nanosecond)
	g.Expect(table.Apply(again).Verdict).To(gomega.Equal(claim.Held))
	again.At = epoch.Add(limits.Retention)
	g.Expect(table.Apply(again).Verdict).To(gomega.Equal(claim.Granted))
	again.Key = key("running")
	again.At = epoch.Add(10 * limits.Retention)
	g.Expect(table.Apply(again).Verdict).To(gomega.Equal(claim.Held))
}

func TestFullTableRefusesNewClaimsAndKeepsRecords(t *testing.T) {
	g := gomega.NewWithT(t)
	limits := claim.DefaultTableLimits()
	limits.MaxClaims = 1
	table := claim.NewTable(limits)
	table.Apply(claim.Command{Kind: claim.ClaimKey, Key: key("a"), Holder: holder("c1", 1), At: epoch})
	full := table.Apply(claim.Command{Kind: claim.ClaimKey, Key: key("b"), Holder: holder("c1", 2), At: epoch})
	g.Expect(full.Verdict).To(gomega.Equal(claim.Full))
	again := table.Apply(claim.Command{Kind: claim.ClaimKey, Key: key("a"), Holder: holder("c2", 1), At: epoch})
	g.Expect(again.Verdict).To(gomega.Equal(claim.Held))
}

func drawCommand(t *rapid.T, clock time.Time) claim.Command {
	companion := rapid.SampledFrom([]core.InstanceID{"c1", "c2"})
	draw := func(label string) claim.Holder {
		return claim.Holder{
			Companion:   companion.Draw(t, label),
			Incarnation: rapid.Uint64Range(1, 3).Draw(t, label+" incarnation"),
			Number:      rapid.Uint64Range(1, 3).Draw(t, label+" number"),
		}
	}
	return claim.Command{
		Kind:       claim.CommandKind(rapid.IntRange(int(claim.ClaimKey), int(claim.LoseCompanion)).Draw(t, "kind")),
		Key:        key(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")),
		Digest:     claim.Digest{rapid.ByteRange(0, 1).Draw(t, "digest")},
		Holder:     draw("holder"),
		Expect:     draw("expect"),
		AnswerKept: rapid.Bool().Draw(t, "kept"),
		At:         clock,
	}
}

// TestRestoredTableReturnsTheSameResults applies the same commands to a table
// and to one that is restored from its own snapshot before each of them.
func TestRestoredTableReturnsTheSameResults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := claim.TableLimits{Retention: time.Minute, MaxClaims: 2}
		table, restored := claim.NewTable(limits), claim.NewTable(limits)
		clock := epoch
		for range rapid.IntRange(1, 60).Draw(t, "commands") {
			clock = clock.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "seconds")) * time.Second)
			command := drawCommand(t, clock)
			restored = claim.Restore(limits, restored.Snapshot())
			got, want := restored.Apply(command), table.Apply(command)
			if got != want {
				t.Fatalf("%v: restored %+v, kept %+v", command.Kind, got, want)
			}
			if want.Verdict == claim.Granted && (want.Record.Holder != command.Holder || want.Record.State != claim.Running) {
				t.Fatalf("granted to %+v: %+v", command.Holder, want.Record)
			}
			if table.Len() > limits.MaxClaims {
				t.Fatalf("%d records", table.Len())
			}
		}
	})
}
