package traffic

import (
	"context"
	"time"
)

// Parts are the goroutines of an instance that forwards packets. Each runs until its
// context is done.
type Parts struct {
	// Feed keeps the view current, Control is the control goroutine, Packets the
	// packet path.
	Feed, Control, Packets func(context.Context)
	// OnShutdown is called when the shutdown begins. The parts run on for
	// ShutdownDelay.
	OnShutdown    func()
	ShutdownDelay time.Duration
}

// Serve runs the parts until ctx is done and the shutdown delay is over.
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
