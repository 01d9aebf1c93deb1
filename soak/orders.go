package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"zinniapulley.dev/core"
	"zinniapulley.dev/platform/platformtest"
	"zinniapulley.dev/wire"
)

const (
	// ordersDataCentre has no instances, so that orders on it disturb no caller.
	ordersDataCentre core.DataCentre = "east"
	// maxPatience is the longest time after which the sender of an order tries another
	// control instance, and maxRoundTrip the longest time from the arrival of a delayed
	// order to that of the end of its connection.
	maxPatience  = callTimeout
	maxRoundTrip = 50 * time.Millisecond
)

// orders takes a data centre out of service and back. Some orders arrive only after a newer
// one has been acknowledged, and must not undo it.
type orders struct {
	deployment *deployment
	recorder   *recorder
	random     *rand.Rand
	// out is set if the newest order takes the data centre out of service, acknowledged once
	// a control instance has acknowledged that order.
	out, acknowledged bool
}

// methodOf returns the HTTP method of an order.
func methodOf(out bool) string {
	if out {
		return http.MethodPost
	}
	return http.MethodDelete
}

func (o *orders) control() netip.Addr { return o.deployment.seeds[o.random.IntN(controls)].Addr() }

// run sends orders until ctx is done.
func (o *orders) run(ctx context.Context) {
	for ctx.Err() == nil {
		randomPause(ctx, o.random, maxChangePause)
		o.out, o.acknowledged = !o.out, false
		delayed := o.delay(ctx, !o.out)
		for ctx.Err() == nil && !o.acknowledged {
			o.acknowledged = o.send(ctx)
		}
		revision, seen := o.await(ctx)
		delayed.arrive(ctx, o.random)
		sleep(ctx, announceInterval)
		if seen {
			o.check(ctx, revision)
		}
	}
}

// send sends the newest order to a control instance, for a random time at most.
func (o *orders) send(ctx context.Context) bool {
	limited, cancel := context.WithTimeout(ctx, time.Duration(o.random.Int64N(int64(maxPatience))))
	defer cancel()
	url := fmt.Sprintf("http://%v%s", netip.AddrPortFrom(o.control(), platformtest.PortControl), platformtest.OutPath(ordersDataCentre))
	status, _, err := doHTTP(limited, methodOf(o.out), url, "")
	if err == nil && status >= 400 && status < 500 {
		o.recorder.violation("order %s %s was refused with %d", methodOf(o.out), ordersDataCentre, status)
	}
	if err != nil || status != http.StatusOK {
		return false
	}
	o.recorder.increment(&o.recorder.report.Orders)
	return true
}

// delayedOrder is an order whose last byte is still on its way. A nil one couldn't be sent.
type delayedOrder struct{ conn net.Conn }

// delay sends all but the last byte of an order to a control instance.
func (o *orders) delay(ctx context.Context, out bool) *delayedOrder {
	address := netip.AddrPortFrom(o.control(), platformtest.PortControl)
	dialer := net.Dialer{Timeout: callTimeout}
	conn, err := dialer.DialContext(ctx, "tcp4", address.String())
	if err != nil {
		return nil
	}
	_, err = io.WriteString(conn, fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %v\r\n\r", methodOf(out), platformtest.OutPath(ordersDataCentre), address))
	if err != nil {
		_ = conn.Close()
		return nil
	}
	return &delayedOrder{conn: conn}
}

// arrive delivers the order, and the end of its sender's connection up to a round trip later.
func (d *delayedOrder) arrive(ctx context.Context, random *rand.Rand) {
	if d == nil {
		return
	}
	// The instance may have been restarted meanwhile.
	_, _ = io.WriteString(d.conn, "\n")
	randomPause(ctx, random, maxRoundTrip)
	_ = d.conn.Close()
}

// view returns a control instance's revision and whether the data centre is out of
// service there. It returns false if the instance can't tell.
func (o *orders) view(ctx context.Context, control netip.Addr) (revision core.Revision, out, ok bool) {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client := wire.NewClient(netip.AddrPortFrom(control, platformtest.PortInternal))
	defer client.Close()
	var reply wire.SyncReply
	err := client.Call(limited, wire.MethodSync, wire.SyncRequest{Instance: "soak"}, &reply)
	if err != nil || reply.Behind {
		return 0, false, false
	}
	decoded, err := reply.View.Decode()
	if err != nil || decoded == nil {
		return 0, false, false
	}
	return decoded.Revision, slices.Contains(decoded.Out, ordersDataCentre), true
}

// await returns a revision at which the newest order is in effect, and false if ctx is done
// first or the order wasn't acknowledged.
func (o *orders) await(ctx context.Context) (core.Revision, bool) {
	for o.acknowledged && ctx.Err() == nil {
		revision, out, ok := o.view(ctx, o.control())
		if ok && out == o.out {
			return revision, true
		}
		sleep(ctx, announceInterval/10)
	}
	return 0, false
}

// check requires that no later state has undone the newest order.
func (o *orders) check(ctx context.Context, since core.Revision) {
	for _, seed := range o.deployment.seeds {
		revision, out, ok := o.view(ctx, seed.Addr())
		if ok && revision > since && out != o.out {
			o.recorder.violation("order %s %s, in effect at revision %v, is undone at %v", methodOf(o.out), ordersDataCentre, since, revision)
		}
	}
}

// checkLast requires that the newest order, if it was acknowledged, is in effect at all
// control instances before ctx is done.
func (o *orders) checkLast(ctx context.Context) {
	if !o.acknowledged {
		return
	}
	for _, seed := range o.deployment.seeds {
		out, ok := !o.out, false
		for ctx.Err() == nil && (!ok || out != o.out) {
			sleep(ctx, announceInterval/10)
			_, out, ok = o.view(ctx, seed.Addr())
		}
		if !ok || out != o.out {
			o.recorder.violation("order %s %s was acknowledged but is not in effect at %v after the last fault", methodOf(o.out), ordersDataCentre, seed.Addr())
		}
	}
}
