package wire_test

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/onsi/gomega"
	"zinniapulley.dev/core"
	"zinniapulley.dev/route"
	"zinniapulley.dev/wire"
)

// largeView has as many routes as the largest deployment has addresses.
func largeView() *route.View {
	view := &route.View{Revision: 7, Version: 9, Out: []core.DataCentre{"gent"}}
	for n := range 610 {
		view.Routes = append(view.Routes, route.Route{
			Name:    fmt.Sprintf("route-%d", n),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(n >> 8), byte(n)}), 443),
			Kind:    route.KindOnce,
			Shares:  []route.Share{{Service: "matcher", Weight: 9}, {Service: "catalogue", Weight: 1}},
		})
	}
	return view
}

func TestViewRoundTrip(t *testing.T) {
	g := gomega.NewWithT(t)
	encoded, err := wire.EncodeView(largeView())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	view, err := encoded.Decode()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(view).To(gomega.Equal(largeView()))
	none, err := wire.EncodedView(nil).Decode()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(none).To(gomega.BeNil())
	_, err = encoded[:len(encoded)/2].Decode()
	g.Expect(err).To(gomega.HaveOccurred())
}

func BenchmarkEncodeView(b *testing.B) {
	view := largeView()
	for b.Loop() {
		encoded, err := wire.EncodeView(view)
		if err != nil {
			b.Fatal(err)
		}
		b.SetBytes(int64(len(encoded)))
	}
}

func BenchmarkDecodeView(b *testing.B) {
	encoded, err := wire.EncodeView(largeView())
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		_, err := encoded.Decode()
		if err != nil {
			b.Fatal(err)
		}
	}
}
