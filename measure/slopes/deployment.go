package slopes

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"github.com/juju/errors"
	"zinniapulley.dev/config"
	"zinniapulley.dev/control/state"
	"zinniapulley.dev/core"
)

// size is the size of a deployment.
type size struct {
	services int
	targets  int
	nodes    int
}

// expectedSize is the size that the deployment is expected to reach.
var expectedSize = size{services: 610, targets: 3300, nodes: 500}

// dataCentreCount is the number of data centres, in two regions.
const dataCentreCount = 7

// scaled returns the expected size scaled to a percentage.
func scaled(percent int) size {
	return size{
		services: expectedSize.services * percent / 100,
		targets:  expectedSize.targets * percent / 100,
		nodes:    expectedSize.nodes * percent / 100,
	}
}

// epoch is the time at which synthetic deployments begin.
var epoch = time.Unix(0, 0).UTC()

// build returns the replicated state of a synthetic deployment of the size.
func build(s size) (*state.Machine, error) {
	machine := state.New()
	document, err := json.Marshal(document(s))
	if err != nil {
		return nil, errors.Trace(err)
	}
	result := machine.Apply(state.Command{At: epoch, Bootstrap: &state.Bootstrap{Document: document, HashSeed: 1}})
	if result.Refusal != nil {
		return nil, errors.Annotate(result.Refusal, "bootstrap")
	}
	for i := range s.targets {
		result = machine.Apply(announcement(s, i, 1))
		if result.Refusal != nil {
			return nil, errors.Annotatef(result.Refusal, "announce %d", i)
		}
	}
	settle(machine)
	return machine, nil
}

// settle applies ticks until no change of the tables is pending.
func settle(machine *state.Machine) {
	for {
		due, waiting := machine.TablesDue()
		if !waiting {
			return
		}
		machine.Apply(state.Command{At: due, Tick: &state.Tick{}})
	}
}

func document(s size) config.Document {
	d := config.Document{
		Services:    make(map[core.ServiceName]config.Service),
		DataCentres: make(map[core.DataCentre]config.DataCentre),
		Teams: map[core.Team]config.Team{
			"platform": {
				Tokens:   []config.TokenHash{config.HashToken("synthetic")},
				Sections: []config.Section{config.SectionAnyService, config.SectionDataCentres, config.SectionLimits, config.SectionTeams},
			},
		},
	}
	for i := range dataCentreCount {
		d.DataCentres[dataCentre(i)] = config.DataCentre{Region: fmt.Sprintf("region-%d", i%2), State: config.In}
	}
	for i := range s.services {
		d.Services[service(i)] = config.Service{
			Address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, byte(i >> 8), byte(i)}), 80),
			Kind:     config.Stream,
			Team:     "platform",
			Buckets:  bucketsPerService,
			Capacity: config.Capacity{Connections: 4000, Slots: 8},
		}
	}
	return d
}

// bucketsPerService suits a service of five or six backend servers.
const bucketsPerService = 1024

func dataCentre(i int) core.DataCentre {
	return core.DataCentre(fmt.Sprintf("dc-%d", i%dataCentreCount))
}

func service(i int) core.ServiceName {
	return core.ServiceName(fmt.Sprintf("service-%d", i))
}

// announcement announces one backend server's start.
func announcement(s size, i int, start core.StartID) state.Command {
	host := netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)})
	return state.Command{At: epoch, Announce: &state.Announce{
		Instance:   core.InstanceID(fmt.Sprintf("instance-%d", i)),
		DataCentre: dataCentre(i / s.services),
		Service:    service(i % s.services),
		StartID:    start,
		Packets:    netip.AddrPortFrom(host, 6081),
		RPC:        netip.AddrPortFrom(host, 7004),
		Capacity:   core.Capacity{Connections: 4000, Slots: 8},
		State:      core.BackendServing,
	}}
}
