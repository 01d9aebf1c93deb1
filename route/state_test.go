package route_test

import (
	"net/netip"
	"slices"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
	"zinniapulley.dev/core"
	"zinniapulley.dev/route"
)

func configuration(version uint64, services ...core.ServiceName) route.Configuration {
	r := route.Route{Name: "r", Address: netip.MustParseAddrPort("198.18.0.1:443"), Timeout: 1}
	for _, service := range services {
		r.Shares = append(r.Shares, route.Share{Service: service, Weight: 1})
	}
	return route.Configuration{Version: version, Routes: []route.Route{r}, Source: []byte{byte(version), byte(len(services))}}
}

func configure(c route.Configuration) route.Command { return route.Command{Configure: &c} }

// Commands arrive in any order, repeated or with different content under an applied
// version: the first content of the highest version applies.
func TestHighestVersionApplies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var state route.State
		var highest uint64
		var applied []byte
		for _, version := range rapid.SliceOfN(rapid.Uint64Range(1, 9), 1, 30).Draw(t, "versions") {
			c := configuration(version)
			c.Source = append(c.Source, rapid.Byte().Draw(t, "content"))
			before := state.Revision
			result := state.Apply(configure(c))
			if version > highest {
				highest, applied = version, c.Source
			} else if result.Changed || state.Revision != before {
				t.Fatalf("version %d changed the state at version %d", version, highest)
			}
			if state.Configuration.Version != highest || !slices.Equal(state.Configuration.Source, applied) {
				t.Fatalf("version %d is in force, not %d", state.Configuration.Version, highest)
			}
		}
	})
}

// Services that a route no longer names may still hold its flows, but never one
// that it didn't name before.
func TestFormerServices(t *testing.T) {
	g := gomega.NewWithT(t)
	var state route.State
	state.Apply(configure(configuration(1, "a")))
	state.Apply(configure(configuration(2, "b")))
	state.Apply(configure(configuration(3, "c", "b")))
	r := &state.Configuration.Routes[0]
	g.Expect(r.Allows("a")).To(gomega.BeFalse())
	for service, may := range map[core.ServiceName]bool{"a": true, "b": true, "c": true, "d": false} {
		g.Expect(r.MayHold(service)).To(gomega.Equal(may), string(service))
	}
	state.Apply(configure(configuration(4, "a")))
	g.Expect(state.Configuration.Routes[0].Former).To(gomega.ConsistOf(core.ServiceName("b"), core.ServiceName("c")))
}

func TestDataCentres(t *testing.T) {
	g := gomega.NewWithT(t)
	var state route.State
	set := func(name core.DataCentre, out bool) bool {
		return state.Apply(route.Command{DataCentre: &route.SetDataCentre{Name: name, Out: out}}).Changed
	}
	g.Expect(set("b", true)).To(gomega.BeTrue())
	g.Expect(set("b", true)).To(gomega.BeFalse())
	earlier := state.View()
	g.Expect(set("a", true)).To(gomega.BeTrue())
	g.Expect(set("b", false)).To(gomega.BeTrue())
	g.Expect(state.Out).To(gomega.Equal([]core.DataCentre{"a"}))
	g.Expect(earlier.Out).To(gomega.Equal([]core.DataCentre{"b"}), "a view doesn't change")
}

func TestCompanions(t *testing.T) {
	g := gomega.NewWithT(t)
	var state route.State
	a := route.Companion{Address: netip.MustParseAddrPort("10.0.0.1:1")}
	b := route.Companion{Address: netip.MustParseAddrPort("10.0.0.2:1")}
	apply := func(change route.SetCompanions) bool {
		return state.Apply(route.Command{Companions: &change}).Changed
	}
	g.Expect(apply(route.SetCompanions{Set: []route.Companion{b, a}})).To(gomega.BeTrue())
	g.Expect(apply(route.SetCompanions{Set: []route.Companion{a}})).To(gomega.BeFalse())
	g.Expect(state.View().Companions).To(gomega.Equal([]route.Companion{a, b}))
	a.Draining = true
	g.Expect(apply(route.SetCompanions{Set: []route.Companion{a}})).To(gomega.BeTrue())
	listed, known := state.Companion(a.Address)
	g.Expect(known).To(gomega.BeTrue())
	g.Expect(listed).To(gomega.Equal(a))
	g.Expect(apply(route.SetCompanions{Remove: []netip.AddrPort{a.Address}})).To(gomega.BeTrue())
	g.Expect(state.Companions).To(gomega.Equal([]route.Companion{b}))
}

// A late order undid newer ones: orders on a data centre don't commute. Model: an order
// with an effect is carried out only right after the one that it was numbered by.
func TestOvertakenOrdersChangeNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var state route.State
		last := map[core.DataCentre]uint64{}
		out := map[core.DataCentre]bool{}
		for range rapid.IntRange(1, 30).Draw(t, "orders") {
			order := route.SetDataCentre{
				Name: rapid.SampledFrom([]core.DataCentre{"a", "b"}).Draw(t, "name"),
				Out:  rapid.Bool().Draw(t, "out"),
			}
			order.Number = 1 + rapid.Uint64Range(0, last[order.Name]+1).Draw(t, "number")
			next := order.Number == last[order.Name]+1
			overtaken := !next && out[order.Name] != order.Out
			changed := next && out[order.Name] != order.Out
			result := state.Apply(route.Command{DataCentre: &order})
			if !overtaken {
				last[order.Name]++
				out[order.Name] = order.Out
			}
			if result.Overtaken != overtaken || result.Changed != changed || result.Orders != last[order.Name] {
				t.Fatalf("%+v gave %+v", order, result)
			}
			if state.IsOut(order.Name) != out[order.Name] {
				t.Fatalf("after %+v the data centre is out: %v", order, state.IsOut(order.Name))
			}
		}
	})
}

// Orders of earlier program versions have no number. Members that read them from a
// snapshot and members that read them from the log must agree on all numbers.
func TestOrdersWithoutNumberAreCarriedOutAndNotCounted(t *testing.T) {
	g := gomega.NewWithT(t)
	var state route.State
	result := state.Apply(route.Command{DataCentre: &route.SetDataCentre{Name: "a", Out: true}})
	g.Expect(result.Changed).To(gomega.BeTrue())
	g.Expect(result.Orders).To(gomega.BeZero())
	result = state.Apply(route.Command{DataCentre: &route.SetDataCentre{Name: "a", Number: 1}})
	g.Expect(result.Changed).To(gomega.BeTrue())
}
