package traffic

import (
	"context"
	"time"
)

// Parts are the goroutines of an instance that moves packets. Each runs until its
// context is done.
type Parts struct {
	// Feed keeps the instance current, Control is its control goroutine, Packets its
	// packet path.
	Feed, Control, Packets func(context.Context)
	// OnShutdown is called when the instance is to stop, Leave before it does.
	OnShutdown    func()
	ShutdownDelay time.Duration
}

// Serve runs the parts until ctx is done, and then for as long as the instance takes
// to leave.
func Serve(ctx context.Context, parts Parts) {
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go parts.Feed(serving)
	go parts.Control(serving)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		parts.Packets(serving)
	}()
	<-ctx.Done()
	parts.OnShutdown()
	time.Sleep(parts.ShutdownDelay)
	stop()
	<-ended
}
