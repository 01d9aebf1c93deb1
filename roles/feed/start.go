package feed

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"zinniapulley.dev/wire"
)

// firstAnswer is a seed's first usable reply, with its connection.
type firstAnswer struct {
	at     netip.AddrPort
	client *wire.Client
	reply  wire.SyncReply
}

// seedDelay is the time between the first polls of two seeds. After an outage all
// instances start at once, and each needs the view of one seed only.
const seedDelay = 60 * time.Millisecond

// start polls all seeds, one after the other in random order, until one returns a view,
// or one that isn't behind reports that there is none yet.
func (f *feed) start(ctx context.Context) {
	f.unreachable = true
	polling, stop := context.WithCancel(ctx)
	defer stop()
	answers := make(chan firstAnswer)
	var pollers sync.WaitGroup
	for position, i := range f.config.Random.Perm(len(f.controls)) {
		pollers.Go(func() {
			select {
			case <-polling.Done():
			case <-time.After(time.Duration(position) * seedDelay):
				f.pollSeed(polling, i, f.controls[i], answers)
			}
		})
	}
	go func() {
		pollers.Wait()
		close(answers)
	}()
	first, ok := <-answers
	stop()
	for other := range answers {
		other.client.Close()
	}
	if !ok {
		return
	}
	f.current, f.client, f.selectedAt = first.at, first.client, time.Now()
	err := f.apply(ctx, first.reply)
	f.report(err)
	if err != nil {
		f.disconnect()
	}
}

// pollSeed polls the seed with the given number until its reply is usable or ctx is
// done. Before each retry it rereads the seed's address from the settings.
func (f *feed) pollSeed(ctx context.Context, number int, at netip.AddrPort, answers chan<- firstAnswer) {
	client := wire.NewClient(at)
	logged := false
	for backoff := backoffMin; ; backoff = min(2*backoff, backoffMax) {
		reply, err := call(ctx, client, wire.SyncRequest{Instance: f.config.Instance})
		if err == nil && (len(reply.View) > 0 || !reply.Behind) {
			select {
			case answers <- firstAnswer{at: at, client: client, reply: reply}:
				return
			case <-ctx.Done():
			}
		}
		if ctx.Err() != nil {
			// Another seed has answered, or the instance stops.
			client.Close()
			return
		}
		if !logged {
			logged = true
			f.config.Log.Info("no view from seed, retrying", "at", at, "behind", reply.Behind, "error", err)
		}
		select {
		case <-ctx.Done():
			client.Close()
			return
		case <-time.After(backoff):
		}
		seeds := f.config.Seeds()
		if at != seeds[number%len(seeds)] {
			client.Close()
			at = seeds[number%len(seeds)]
			client = wire.NewClient(at)
		}
	}
}
