package state_test

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
	"zinniapulley.dev/config"
	"zinniapulley.dev/control/state"
	"zinniapulley.dev/core"
	"zinniapulley.dev/membership"
	"zinniapulley.dev/publish"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func firstDocument(t testing.TB) []byte {
	t.Helper()
	document, err := os.ReadFile("testdata/configuration.json")
	if err != nil {
		t.Fatal(err)
	}
	return document
}

func newStartedMachine(t testing.TB) *state.Machine {
	t.Helper()
	machine := state.New()
	result := machine.Apply(state.Command{At: start, Bootstrap: &state.Bootstrap{Document: firstDocument(t), HashSeed: 7}})
	if result.Refusal != nil {
		t.Fatal(result.Refusal)
	}
	return machine
}

func announce(instance int, startID core.StartID) state.Command {
	host := netip.AddrFrom4([4]byte{192, 0, 2, byte(instance)})
	return state.Command{At: start, Announce: &state.Announce{
		Instance: core.InstanceID(fmt.Sprintf("b%d", instance)), DataCentre: "north-a", Service: "feed", StartID: startID,
		Packets: netip.AddrPortFrom(host, 6081), RPC: netip.AddrPortFrom(host, 7000),
		Capacity: core.Capacity{Connections: 5000, Slots: 4}, State: core.BackendServing,
	}}
}

func feedBody(connections int) []byte {
	return fmt.Appendf(nil, `{"address":"192.0.2.200:80","kind":"stream","team":"kits","buckets":256,
		"capacity":{"connections":%d,"slots":5}}`, connections)
}

func TestAnnouncedBackendServerIsPublishedWithinConfiguredLimits(t *testing.T) {
	g := gomega.NewWithT(t)
	machine := newStartedMachine(t)
	result := machine.Apply(announce(1, 10))
	g.Expect(result.Refusal).NotTo(gomega.HaveOccurred())
	g.Expect(result.Revision).To(gomega.Equal(core.Revision(2)))
	g.Expect(result.Server.Capacity).To(gomega.Equal(core.Capacity{Connections: 2000, Slots: 4}))
	view := machine.View()
	g.Expect(view.BackendServers).To(gomega.Equal([]core.BackendServer{result.Server}))
	g.Expect(view.HashSeed).To(gomega.Equal(uint64(7)))
	for bucket := range view.Tables[1].Buckets {
		g.Expect(view.Tables[1].Chain(uint32(bucket))[0]).To(gomega.Equal(result.Server.ID))
	}
	again := machine.Apply(announce(1, 10))
	g.Expect(again.Revision).To(gomega.Equal(core.Revision(2)), "a repeated announcement creates no revision")
}

func TestAnnouncementsOutsideTheConfigurationAreRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	machine := newStartedMachine(t)
	command := announce(1, 10)
	command.Announce.Service = "spare"
	result := machine.Apply(command)
	g.Expect(result.Refusal).To(gomega.Equal(&state.UnknownServiceError{Instance: "b1", Service: "spare"}))
	command = announce(1, 10)
	command.Announce.DataCentre = "south"
	result = machine.Apply(command)
	g.Expect(result.Refusal).To(gomega.Equal(&state.UnknownDataCentreError{Instance: "b1", DataCentre: "south"}))
	g.Expect(machine.View().Revision).To(gomega.Equal(core.Revision(1)))
}

func TestRemovingAServiceRemovesItsBackendServers(t *testing.T) {
	g := gomega.NewWithT(t)
	machine := newStartedMachine(t)
	machine.Apply(announce(1, 10))
	result := machine.Apply(state.Command{At: start, Submit: &config.Submission{
		Section: "services/feed", Base: 1, Request: "a", Team: "kits", Remove: true,
	}})
	g.Expect(result.Refusal).NotTo(gomega.HaveOccurred())
	g.Expect(result.Departed).To(gomega.HaveLen(1))
	g.Expect(machine.View().BackendServers).To(gomega.BeEmpty())
	g.Expect(machine.View().Tables).To(gomega.HaveLen(1))
}

func TestOnlyOwnersOfTheServiceOrDataCentresDrain(t *testing.T) {
	g := gomega.NewWithT(t)
	machine := newStartedMachine(t)
	machine.Apply(announce(1, 10))
	drain := func(team core.Team) error {
		return machine.Apply(state.Command{At: start, Drain: &state.Drain{Instance: "b1", Drain: true, Team: team}}).Refusal
	}
	g.Expect(drain("strangers")).To(gomega.BeAssignableToTypeOf(&state.ForbiddenError{}))
	g.Expect(drain("kits")).To(gomega.Succeed())
	g.Expect(machine.View().BackendServers[0].State).To(gomega.Equal(core.BackendDraining))
	g.Expect(drain("operators")).To(gomega.Succeed())
}

func TestBootstrapIsAcceptedOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	machine := newStartedMachine(t)
	result := machine.Apply(state.Command{At: start, Bootstrap: &state.Bootstrap{Document: firstDocument(t), HashSeed: 8}})
	g.Expect(result.Refusal).To(gomega.Equal(&state.AlreadyStartedError{Revision: 1}))
	g.Expect(machine.View().HashSeed).To(gomega.Equal(uint64(7)))
	g.Expect(machine.Apply(state.Command{}).Refusal).To(gomega.MatchError(state.EmptyCommandError{}))
}

// gobRoundTrip encodes and decodes a snapshot of the machine with gob and returns
// the machine restored from it.
func gobRoundTrip(t *rapid.T, machine *state.Machine) *state.Machine {
	var buffer bytes.Buffer
	err := gob.NewEncoder(&buffer).Encode(machine.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	var snapshot state.Snapshot
	err = gob.NewDecoder(&buffer).Decode(&snapshot)
	if err != nil {
		t.Fatal(err)
	}
	restored, err := state.Restore(snapshot)
	if err != nil {
		t.Fatal(err)
	}
	return restored
}

func drawCommand(t *rapid.T, machine *state.Machine, at time.Time) state.Command {
	command := state.Command{At: at}
	id := core.BackendServerID(rapid.Uint32Range(1, 6).Draw(t, "id"))
	startID := core.StartID(rapid.Uint64Range(1, 3).Draw(t, "start"))
	switch rapid.IntRange(0, 7).Draw(t, "command") {
	case 0:
		command.Submit = &config.Submission{
			Section: "services/feed", Base: machine.View().Revision, Team: "kits",
			Request: config.RequestID(rapid.StringMatching("[a-e]").Draw(t, "request")),
			Body:    feedBody(rapid.IntRange(0, 3).Draw(t, "connections")),
		}
	case 1:
		command.SetDataCentre = &config.SetDataCentre{
			Name: "north-a", Team: "operators", State: rapid.SampledFrom([]config.DataCentreState{config.In, config.Out}).Draw(t, "state"),
			Request: config.RequestID(rapid.StringMatching("[f-m]").Draw(t, "request")),
		}
	case 2:
		command.Reports = []membership.Report{{
			BackendServer: id, StartID: startID, State: core.BackendServing,
			Capacity: core.Capacity{Connections: rapid.IntRange(0, 200).Draw(t, "capacity"), Slots: 2},
		}}
	case 3:
		command.Departures = []membership.Departure{{BackendServer: id, StartID: startID}}
	case 4:
		command.Drain = &state.Drain{Instance: "b1", Drain: rapid.Bool().Draw(t, "drain"), Team: "kits"}
	case 5:
		command.Tick = &state.Tick{}
	default:
		return announceAt(rapid.IntRange(1, 4).Draw(t, "instance"), startID, at)
	}
	return command
}

func announceAt(instance int, startID core.StartID, at time.Time) state.Command {
	command := announce(instance, startID)
	command.At = at
	return command
}

func TestInstancesAgreeAfterTheSameCommandsAndSnapshotRestore(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		leader, follower := newStartedMachine(t), newStartedMachine(t)
		at := start
		for range rapid.IntRange(1, 40).Draw(rt, "commands") {
			at = at.Add(time.Duration(rapid.IntRange(0, 2000).Draw(rt, "ms")) * time.Millisecond)
			command := drawCommand(rt, leader, at)
			before := leader.View()
			want := leader.Apply(command)
			got := follower.Apply(command)
			if !reflect.DeepEqual(got, want) {
				rt.Fatalf("results differ: %+v and %+v", got, want)
			}
			compareViews(rt, leader.View(), follower.View())
			if leader.View().Revision == before.Revision && publish.DigestOf(leader.View()) != publish.DigestOf(before) {
				rt.Fatal("the view changed without a new revision")
			}
			if rapid.IntRange(0, 4).Draw(rt, "restart") == 0 {
				follower = gobRoundTrip(rt, follower)
				compareViews(rt, leader.View(), follower.View())
			}
		}
	})
}

func compareViews(t *rapid.T, a, b *core.View) {
	if a.Revision != b.Revision || publish.DigestOf(a) != publish.DigestOf(b) {
		t.Fatalf("views differ: %+v and %+v", a, b)
	}
}
