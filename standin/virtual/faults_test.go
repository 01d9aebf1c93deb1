package virtual_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
	"zinniapulley.dev/request"
	"zinniapulley.dev/standin/virtual"
)

func backends(count, slots int) []virtual.BackendOptions {
	list := make([]virtual.BackendOptions, count)
	for i := range list {
		list[i] = virtual.BackendOptions{
			DataCentre: "gent",
			Slots:      slots,
			ColdSlots:  1,
			Warm:       8,
			Service:    20 * time.Millisecond,
			StopWithin: 50 * time.Millisecond,
		}
	}
	return list
}

func options(seed uint64, count, slots int) virtual.Options {
	return virtual.Options{
		Seed:     seed,
		Network:  virtual.Network{Latency: time.Millisecond, Jitter: time.Millisecond, Timeout: 100 * time.Millisecond},
		Commit:   2 * time.Millisecond,
		Backends: backends(count, slots),
		Requests: request.DefaultLimits(),
		Chooser:  request.PowerOfTwo{HopCost: 0.3},
	}
}

// check returns an error if the run log has violations or a backend server exceeded
// its slots.
func check(sim *virtual.Simulation, count, slots int) error {
	runLog := &sim.RunLog
	if runLog.Doubled+runLog.Crossed+runLog.Short+runLog.Untrue > 0 {
		return fmt.Errorf("doubled %d, crossed %d, short %d, untrue %d: %v",
			runLog.Doubled, runLog.Crossed, runLog.Short, runLog.Untrue, runLog.Violations)
	}
	for i := range count {
		if highest := sim.Companion(i).Backend.Highest; highest > slots {
			return fmt.Errorf("backend server %d ran %d requests with %d slots", i, highest, slots)
		}
	}
	return nil
}

// step takes one random step in a simulation.
func step(t *rapid.T, sim *virtual.Simulation, submitted *[]*virtual.Submission, count int) {
	c := sim.Companion(rapid.IntRange(0, count-1).Draw(t, "companion"))
	pick := rapid.IntRange(0, 39).Draw(t, "step")
	switch {
	case pick < 12:
		*submitted = append(*submitted, c.Submit("", "", pick < 6, time.Duration(rapid.IntRange(5, 300).Draw(t, "timeout"))*time.Millisecond))
	case pick < 20:
		key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
		body := rapid.SampledFrom([]string{"1", "1", "1", "2"}).Draw(t, "body")
		*submitted = append(*submitted, c.Submit(key, body, false, 300*time.Millisecond))
	case pick < 22 && len(*submitted) > 0:
		c.Disconnect(rapid.SampledFrom(*submitted).Draw(t, "leaves"))
	case pick == 22:
		c.Crash()
	case pick < 25:
		c.Restart()
	case pick == 25:
		c.RestartBackend()
	case pick == 26:
		c.Backend.ResetToCold()
	case pick == 27:
		c.Backend.Shedding = !c.Backend.Shedding
	case pick == 28:
		c.Backend.Unreachable = !c.Backend.Unreachable
	case pick == 29:
		c.SetInService(rapid.Bool().Draw(t, "in"))
	case pick == 30:
		c.SetDraining(rapid.Bool().Draw(t, "draining"))
	case pick == 31:
		sim.SetLeaderless(rapid.Bool().Draw(t, "leaderless"))
	default:
		sim.Run(time.Duration(rapid.IntRange(1, 40).Draw(t, "ms")) * time.Millisecond)
	}
}

// TestOutcomesAreTrueAtAnyInterleaving lets callers submit, resubmit and disconnect
// while messages are lost, delayed and repeated and while companions, backend servers
// and the control leader fail. It compares every outcome with the run log.
func TestOutcomesAreTrueAtAnyInterleaving(t *testing.T) {
	const count, slots = 3, 2
	rapid.Check(t, func(t *rapid.T) {
		o := options(rapid.Uint64().Draw(t, "seed"), count, slots)
		o.Network.Loss = rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "loss")
		o.Network.Repeat = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "repeat")
		o.Network.Jitter = time.Duration(rapid.IntRange(0, 30).Draw(t, "jitter")) * time.Millisecond
		for i := range o.Backends {
			o.Backends[i].Overruns = rapid.Bool().Draw(t, "overruns")
		}
		sim := virtual.New(o)
		sim.Run(time.Second)
		var submitted []*virtual.Submission
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			step(t, sim, &submitted, count)
		}
		sim.SetLeaderless(false)
		sim.Run(time.Minute)
		err := check(sim, count, slots)
		if err != nil {
			t.Fatal(err)
		}
		for _, s := range submitted {
			if s.Ended.IsZero() {
				t.Fatalf("submission %d has no outcome", s.Token.Submission)
			}
		}
		for i := range count {
			if c := sim.Companion(i); o.Network.Loss == 0 && !c.Down() && !c.Idle() {
				t.Fatalf("companion %d is not idle", i)
			}
		}
	})
}
