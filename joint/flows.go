package joint

import (
	"context"
	"net"
	"sync"

	"zinniapulley.dev/config"
	"zinniapulley.dev/core"
	"zinniapulley.dev/standin/deployment"
	"zinniapulley.dev/standin/session"
)

// maxConcurrentOpens limits the flows that are being opened at the same time.
const maxConcurrentOpens = 32

// flows holds the callers' long-lived flows.
type flows struct {
	sessions []*session.Session
}

// openFlows opens FlowsPerTarget flows for each backend server of a stream service.
func (r *run) openFlows(ctx context.Context) {
	var mu sync.Mutex
	var opening sync.WaitGroup
	semaphore := make(chan struct{}, maxConcurrentOpens)
	for _, server := range r.deployed.Backends {
		service := server.Identity().Service
		if r.deployed.Configuration.Services[service].Kind != config.Stream {
			continue
		}
		for range r.options.FlowsPerTarget {
			semaphore <- struct{}{}
			opening.Go(func() {
				opened := r.openFlow(ctx, service)
				mu.Lock()
				r.flows.sessions = append(r.flows.sessions, opened)
				mu.Unlock()
				<-semaphore
			})
		}
	}
	opening.Wait()
	r.logf("%d flows open", len(r.flows.sessions))
}

func (r *run) openFlow(ctx context.Context, service core.ServiceName) *session.Session {
	address := r.deployed.Configuration.Services[service].Address
	return session.Open(ctx, service, func(ctx context.Context) (net.Conn, error) {
		return r.deployed.Callers.Dial(ctx, deployment.Caller, address)
	})
}
