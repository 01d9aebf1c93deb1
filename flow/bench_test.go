package flow_test

import (
	"testing"

	"zinniapulley.dev/core"
	"zinniapulley.dev/flow"
)

const benchBuckets = 4096

func BenchmarkLookup(b *testing.B) {
	v := view(1, 1, 2, 3)
	v.Tables[0].Buckets = make([]uint16, benchBuckets)
	v.Tables[0].Chains = nil
	for id := core.BackendServerID(1); id <= 6; id++ {
		v.Tables[0].Chains = append(v.Tables[0].Chains, core.Chain{id, id%6 + 1, (id+1)%6 + 1})
	}
	for i := range v.Tables[0].Buckets {
		v.Tables[0].Buckets[i] = uint16(i % 6)
	}
	f := flow.Compile(v)
	keys := make([]core.FlowKey, benchBuckets)
	for i := range keys {
		keys[i] = caller(uint16(i))
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		_, reason := f.Lookup(keys[i%benchBuckets])
		if reason != flow.DropNone {
			b.Fatal(reason)
		}
	}
}

func BenchmarkOwnerDeliver(b *testing.B) {
	v := view(1, 1, 2, 3)
	n := newGroup(v, 1, 2, 3)
	key := caller(1)
	n.open(v, key)
	p := arrivingPacket(key, flow.FlagACK, 1, 0, 1, 2, 3)
	b.ReportAllocs()
	for b.Loop() {
		action := n.owners[1].Handle(start, p)
		if action.Kind != flow.ActionDeliver {
			b.Fatal(action.Kind)
		}
	}
}
