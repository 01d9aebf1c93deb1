package loop_test

import (
	"context"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/onsi/gomega"
	"zinniapulley.dev/loop"
)

// The end of a sender's connection arrives up to a round trip after its order.
func TestConfirmWaitsForTheEndOfTheSender(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(loop.Confirm(context.Background())).To(gomega.Succeed())
	ended, end := context.WithCancel(context.Background())
	time.AfterFunc(loop.ConfirmDelay/4, end)
	g.Expect(errors.Is(loop.Confirm(ended), loop.ErrAbandoned)).To(gomega.BeTrue())
	g.Expect(errors.Is(loop.Confirm(ended), loop.ErrAbandoned)).To(gomega.BeTrue())
}
