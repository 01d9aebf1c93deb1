package feed

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"zinniapulley.dev/wire"
)

// firstAnswer is the first answer of use, with the connection that it came on.
type firstAnswer struct {
	at     netip.AddrPort
	client *wire.Client
	reply  wire.SyncReply
}

// start asks all seeds until one has a view, or is sure that there is none yet.
func (f *feed) start(ctx context.Context) {
	f.lost = true
	asking, stop := context.WithCancel(ctx)
	defer stop()
	answers := make(chan firstAnswer)
	var askers sync.WaitGroup
	for i, seed := range f.controls {
		askers.Go(func() { f.askSeed(asking, i, seed, answers) })
	}
	go func() {
		askers.Wait()
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
	f.at, f.client, f.since = first.at, first.client, time.Now()
	err := f.take(ctx, first.reply)
	f.report(err)
	if err != nil {
		f.moveOn()
	}
}

// askSeed asks the seed with the given number until it has an answer of use or ctx
// is done. After a pause it follows the settings of the moment.
func (f *feed) askSeed(ctx context.Context, number int, at netip.AddrPort, answers chan<- firstAnswer) {
	client := wire.NewClient(at)
	logged := false
	for pause := pauseMin; ; pause = min(2*pause, pauseMax) {
		reply, err := call(ctx, client, wire.SyncRequest{Instance: f.config.Instance})
		if err == nil && (len(reply.View) > 0 || !reply.Behind) {
			select {
			case answers <- firstAnswer{at: at, client: client, reply: reply}:
				return
			case <-ctx.Done():
			}
		}
		if !logged {
			logged = true
			f.config.Log.Info("seed without a view, asking again", "at", at, "behind", reply.Behind, "error", err)
		}
		select {
		case <-ctx.Done():
			client.Close()
			return
		case <-time.After(pause):
		}
		seeds := f.config.Seeds()
		if at != seeds[number%len(seeds)] {
			client.Close()
			at = seeds[number%len(seeds)]
			client = wire.NewClient(at)
		}
	}
}
