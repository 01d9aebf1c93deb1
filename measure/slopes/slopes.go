// Package slopes measures how the cost of control grows with the size of a
// deployment: state, messages, processor time and memory of entry instances,
// companions and control instances, at several sizes, with a straight line
// fitted through them.
package slopes

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"io"
	"runtime"
	"time"

	"zinniapulley.dev/control/state"
	"zinniapulley.dev/core"
	"zinniapulley.dev/flow"
	"zinniapulley.dev/membership"
	"zinniapulley.dev/publish"
)

// sizePercents are the sizes measured, in percent of expectedSize.
var sizePercents = []int{25, 50, 75, 100}

// Row is one quantity at all sizes.
type Row struct {
	Name string `json:"name"`
	Unit string `json:"unit"`
	// Values holds one value for each size.
	Values []float64 `json:"values"`
	// Slope is the growth per 1,000 backend servers, Base the value without
	// any, of the line fitted by least squares.
	Slope float64 `json:"slopePer1000Targets"`
	Base  float64 `json:"base"`
}

// Report is the outcome of a run.
type Report struct {
	// Targets and Services give the sizes measured.
	Targets  []int `json:"targets"`
	Services []int `json:"services"`
	Rows     []Row `json:"rows"`
}

// Run measures all quantities at all sizes.
func Run(progress io.Writer) (Report, error) {
	var report Report
	for _, percent := range sizePercents {
		s := scaled(percent)
		_, _ = fmt.Fprintf(progress, "measuring %d services, %d backend servers\n", s.services, s.targets)
		report.Targets = append(report.Targets, s.targets)
		report.Services = append(report.Services, s.services)
		measured, err := measure(s)
		if err != nil {
			return Report{}, err
		}
		report.add(measured)
	}
	for i := range report.Rows {
		report.Rows[i].fit(report.Targets)
	}
	return report, nil
}

// quantity is one measured value.
type quantity struct {
	name  string
	unit  string
	value float64
}

// measure returns every quantity at one size.
func measure(s size) ([]quantity, error) {
	heapBefore := heapBytes()
	machine, err := build(s)
	if err != nil {
		return nil, err
	}
	stateBytes := heapBytes() - heapBefore
	quantities := []quantity{
		{"control: replicated state and view", "MB", megabytes(stateBytes)},
		{"control: snapshot encoded", "MB", megabytes(encodedBytes(machine.Snapshot()))},
	}
	quantities = append(quantities, measureNode(machine.View())...)
	quantities = append(quantities, measureChange(machine, s)...)
	quantities = append(quantities, measureHeartbeats(machine)...)
	return quantities, nil
}

// measureNode returns the cost of a view at an entry instance or a companion.
func measureNode(view *core.View) []quantity {
	before := heapBytes()
	forwarding := flow.Compile(view)
	compiled := heapBytes() - before
	compileTime := timeOf(func() { forwarding = flow.Compile(view) })
	runtime.KeepAlive(forwarding)
	digestTime := timeOf(func() { publish.DigestOf(view) })
	return []quantity{
		{"node: whole view encoded", "MB", megabytes(encodedBytes(view))},
		{"node: compiled view on the heap", "MB", megabytes(compiled)},
		{"node: compile a view", "ms", milliseconds(compileTime)},
		{"node: digest of a whole view", "ms", milliseconds(digestTime)},
	}
}

// measureChange returns the cost of a change at control and at each node: a backend
// server's restart, and a departure with the move of its buckets.
func measureChange(machine *state.Machine, s size) []quantity {
	before := machine.View()
	start := core.StartID(1)
	applyTime := timeOf(func() {
		start++
		machine.Apply(announcement(s, 0, start))
	})
	after := machine.View()
	digest := publish.DigestOf(after)
	delta := publish.Diff(before, after, digest)
	nodeTime := timeOf(func() { _, _ = publish.Apply(before, delta) })
	departTime, departDelta := departure(machine)
	return []quantity{
		{"control: apply a restart of a backend server", "ms", milliseconds(applyTime)},
		{"control: apply a departure, its buckets moved", "ms", milliseconds(departTime)},
		{"message: delta of a restart", "KB", kilobytes(encodedBytes(delta))},
		{"message: delta of a departure", "KB", kilobytes(encodedBytes(departDelta))},
		{"node: apply and check a delta", "ms", milliseconds(nodeTime)},
	}
}

// departure removes a backend server and returns the time and the delta.
func departure(machine *state.Machine) (time.Duration, *publish.Delta) {
	before := machine.View()
	server := before.BackendServers[0]
	command := state.Command{At: epoch.Add(time.Hour), Departures: []membership.Departure{
		{BackendServer: server.ID, StartID: server.StartID},
	}}
	started := time.Now()
	machine.Apply(command)
	took := time.Since(started)
	after := machine.View()
	return took, publish.Diff(before, after, publish.DigestOf(after))
}

// measureHeartbeats returns the cost of one heartbeat of every backend server.
func measureHeartbeats(machine *state.Machine) []quantity {
	leases := membership.NewLeases(membership.DefaultLease)
	servers := machine.Members().Servers()
	leases.StartTerm(epoch, servers)
	heartbeats := make([]membership.Heartbeat, len(servers))
	for i, server := range servers {
		heartbeats[i] = membership.Heartbeat{Report: membership.Report{
			BackendServer: server.ID, StartID: server.StartID, State: server.State, Capacity: server.Capacity,
		}}
	}
	now := epoch
	renewTime := timeOf(func() {
		now = now.Add(time.Second)
		for _, heartbeat := range heartbeats {
			_, _ = leases.Renew(now, machine.Members(), heartbeat)
		}
	})
	return []quantity{
		{"control: renew all leases once", "ms", milliseconds(renewTime)},
		{"message: heartbeats of all, batched", "KB", kilobytes(encodedBytes(heartbeats))},
	}
}

// timeOf returns the mean time of a call, over at least minDuration.
func timeOf(call func()) time.Duration {
	const minDuration = 100 * time.Millisecond
	calls := 0
	started := time.Now()
	for time.Since(started) < minDuration {
		call()
		calls++
	}
	return time.Since(started) / time.Duration(calls)
}

// heapBytes returns the size of the live objects.
func heapBytes() int {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int(stats.HeapAlloc)
}

// encodedBytes returns the length of a value as net/rpc sends it.
func encodedBytes(value any) int {
	var encoded bytes.Buffer
	err := gob.NewEncoder(&encoded).Encode(value)
	if err != nil {
		panic("slopes: a message can't be encoded: " + err.Error())
	}
	return encoded.Len()
}

func megabytes(n int) float64 { return float64(n) / (1 << 20) }

func kilobytes(n int) float64 { return float64(n) / (1 << 10) }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
