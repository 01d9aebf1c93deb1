package publish_test

import (
	"reflect"
	"slices"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
	"zinniapulley.dev/core"
	"zinniapulley.dev/publish"
)

// sortedView returns the view with its lists in ascending order of keys, as
// Apply returns them.
func sortedView(view *core.View) core.View {
	sorted := *view
	sorted.DataCentres = slices.SortedFunc(slices.Values(view.DataCentres), func(a, b core.DataCentreState) int {
		return compare(a.Name, b.Name)
	})
	sorted.Services = slices.SortedFunc(slices.Values(view.Services), func(a, b core.Service) int { return compare(a.ID, b.ID) })
	sorted.BackendServers = slices.SortedFunc(slices.Values(view.BackendServers), func(a, b core.BackendServer) int {
		return compare(a.ID, b.ID)
	})
	sorted.Tables = slices.SortedFunc(slices.Values(view.Tables), func(a, b core.Table) int { return compare(a.Service, b.Service) })
	return sorted
}

func compare[T ~string | ~uint32](a, b T) int {
	if a < b {
		return -1
	}
	if a > b {
		return 1
	}
	return 0
}

func sameView(a, b *core.View) bool {
	return reflect.DeepEqual(normalized(a), normalized(b))
}

// normalized is sortedView with empty lists in place of nil ones.
func normalized(view *core.View) core.View {
	sorted := sortedView(view)
	sorted.DataCentres = append([]core.DataCentreState{}, sorted.DataCentres...)
	sorted.Services = append([]core.Service{}, sorted.Services...)
	sorted.BackendServers = append([]core.BackendServer{}, sorted.BackendServers...)
	sorted.Tables = append([]core.Table{}, sorted.Tables...)
	return sorted
}

func TestAChainOfDeltasAndTheirMergeLeadToTheWholeView(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first := firstView()
		last, applied := first, first
		var deltas []*publish.Delta
		for range rapid.IntRange(1, 12).Draw(t, "revisions") {
			next := drawNext(t, last)
			delta := publish.Diff(last, next, publish.DigestOf(next))
			after, err := publish.Apply(applied, delta)
			if err != nil {
				t.Fatal(err)
			}
			if !sameView(after, next) {
				t.Fatalf("got %+v, want %+v", after, next)
			}
			deltas = append(deltas, delta)
			last, applied = next, after
		}
		merged, err := publish.Apply(first, publish.Merge(deltas))
		if err != nil {
			t.Fatal(err)
		}
		if !sameView(merged, last) {
			t.Fatalf("merged: got %+v, want %+v", merged, last)
		}
	})
}

func TestADeltaOfAnotherRevisionIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	_, err := publish.Apply(firstView(), &publish.Delta{From: 2, To: 3})
	g.Expect(err).To(gomega.Equal(&publish.BaseError{Have: 1, From: 2}))
}

// eachField zeroes each non-zero leaf and slice below value, one at a time,
// calls changed with its path, and restores it.
func eachField(value reflect.Value, path string, changed func(path string)) {
	switch value.Kind() {
	case reflect.Struct:
		if !value.Type().Field(0).IsExported() {
			zeroField(value, path, changed)
			return
		}
		for i := range value.NumField() {
			eachField(value.Field(i), path+"."+value.Type().Field(i).Name, changed)
		}
	case reflect.Slice:
		for i := range value.Len() {
			eachField(value.Index(i), path, changed)
		}
		zeroField(value, path, changed)
	default:
		zeroField(value, path, changed)
	}
}

func zeroField(value reflect.Value, path string, changed func(path string)) {
	original := reflect.New(value.Type()).Elem()
	original.Set(value)
	if value.IsZero() {
		return
	}
	value.SetZero()
	changed(path)
	value.Set(original)
}

func TestTheDigestCoversEveryFieldOfAView(t *testing.T) {
	g := gomega.NewWithT(t)
	view := firstView()
	view.Tables[0].Buckets[0], view.Tables[0].Buckets[1] = 1, 1
	want := publish.DigestOf(view)
	fields := 0
	eachField(reflect.ValueOf(view).Elem(), "view", func(path string) {
		fields++
		if path == "view.Revision" {
			return
		}
		g.Expect(publish.DigestOf(view)).NotTo(gomega.Equal(want), path)
	})
	g.Expect(fields).To(gomega.BeNumerically(">", 50))
	g.Expect(publish.DigestOf(view)).To(gomega.Equal(want))
}

func TestCorruptionOfADeltaIsCaught(t *testing.T) {
	g := gomega.NewWithT(t)
	from := firstView()
	to := firstView()
	to.Revision = 2
	to.DataCentres = append(to.DataCentres, core.DataCentreState{Name: "north-c", In: true})
	to.Services = append(to.Services, service(9))
	to.BackendServers = append(to.BackendServers, backendServer(9, 9))
	to.Tables[0].Buckets[5] = 0
	to.Tables[0].Chains[1] = core.Chain{2, 9}
	to.Tables = append(to.Tables, table(9, 9, 9))
	delta := publish.Diff(from, to, publish.DigestOf(to))
	_, err := publish.Apply(from, delta)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	fields := 0
	eachField(reflect.ValueOf(delta).Elem(), "delta", func(path string) {
		if path == "delta.From" || path == "delta.To" {
			return
		}
		fields++
		_, err := publish.Apply(from, delta)
		g.Expect(err).To(gomega.HaveOccurred(), path)
	})
	g.Expect(fields).To(gomega.BeNumerically(">", 25))
}
