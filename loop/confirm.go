package loop

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// ErrAbandoned reports that the sender of an order no longer waits for its outcome.
const ErrAbandoned = errors.ConstError("the sender has given up the order")

// ConfirmDelay is how long Confirm waits for the end of a sender's connection. An order
// that was delayed on its way arrives up to a round trip before that end. The delay leaves
// most of the second after which operators' clients switch to another instance.
const ConfirmDelay = 100 * time.Millisecond

// Confirm checks that the sender of an order still waits, so that an order which arrives
// late doesn't undo a newer one. ctx must be done once the sender has given up, as the
// context of an HTTP request is when its connection ends. Confirm returns nil after
// ConfirmDelay, or ErrAbandoned if ctx is done by then.
func Confirm(ctx context.Context) error {
	timer := time.NewTimer(ConfirmDelay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ErrAbandoned
	case <-timer.C:
	}
	// A process that stood still finds both ready.
	if ctx.Err() != nil {
		return ErrAbandoned
	}
	return nil
}
