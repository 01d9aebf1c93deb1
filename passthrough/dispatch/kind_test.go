package dispatch_test

import (
	"testing"

	"github.com/onsi/gomega"
	"zinniapulley.dev/passthrough/dispatch"
)

// The names of the kinds were a list by position that new kinds weren't added to: explain
// called a reset a drop, and failed for a packet that waits.
func TestEachKindHasItsOwnName(t *testing.T) {
	g := gomega.NewWithT(t)
	kinds := map[string]dispatch.Kind{}
	for kind := dispatch.Kind(0); kind <= dispatch.Drop; kind++ {
		name := kind.String()
		g.Expect(name).NotTo(gomega.BeEmpty())
		g.Expect(kinds).NotTo(gomega.HaveKey(name))
		kinds[name] = kind
	}
	g.Expect(kinds).To(gomega.HaveKeyWithValue("reset", dispatch.Reset))
	g.Expect(kinds).To(gomega.HaveKeyWithValue("wait", dispatch.Wait))
	g.Expect((dispatch.Drop + 1).String()).To(gomega.Equal("unknown"))
}
