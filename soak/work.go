package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
	"zinniapulley.dev/platform/platformtest"
	"zinniapulley.dev/standin/packets"
)

const (
	// callTimeout bounds the HTTP calls of operators and backend servers.
	callTimeout = time.Second
	// drainBound is how long after the acknowledgement a draining backend server may
	// still receive opening packets that were forwarded before.
	drainBound = time.Second
	// slots is the concurrency that each backend server announces, jobSlots that of the
	// job servers, which run no more than that. bornBase plus the count of its starts is
	// the Born of its announcements.
	slots    = 20
	jobSlots = 8
	bornBase = 1_000_000
	// maxFlows bounds the open flows of a caller.
	maxFlows = 12
	// maxChangePause is the longest pause between two calls of the operator.
	maxChangePause = 600 * time.Millisecond
)

// checkOpening checks the opening packet of a flow that a backend server accepted.
func (d *deployment) checkOpening(b *backend, route netip.AddrPort) {
	if service := serviceAt(route); service != b.service {
		d.recorder.violation("%s of service %s received a flow of service %q", b.server.Name, b.service, service)
	}
	drainedAt := b.drainedAt.Load()
	if drainedAt == 0 {
		return
	}
	since := time.Since(time.Unix(0, drainedAt))
	if since > drainBound {
		d.recorder.violation("%s received a flow %v after its draining was acknowledged", b.server.Name, since)
	}
}

// announce sends the announcements of all backend servers until ctx is done.
func (d *deployment) announce(ctx context.Context) {
	var announcing sync.WaitGroup
	for _, b := range d.allBackends() {
		announcing.Go(func() {
			for ctx.Err() == nil {
				b.announceOnce(ctx)
				sleep(ctx, announceInterval)
			}
		})
	}
	announcing.Wait()
}

// announceOnce sends one announcement. It sets drainedAt when control first
// acknowledges the draining.
func (b *backend) announceOnce(ctx context.Context) {
	b.lock.Lock()
	b.number++
	start, draining := b.start, b.draining
	a := platformtest.Announcement{
		Server: fmt.Sprintf("%s-%d", b.server.Name, start), Service: b.service, Address: b.address, DataCentre: b.zone, Draining: draining,
		Slots: slots, Number: b.number, Born: int64(bornBase + start),
	}
	b.lock.Unlock()
	if b.service == jobsService {
		a.Slots = jobSlots
	}
	begin := time.Now()
	status, _, err := doHTTP(ctx, http.MethodPut, b.announceURL+a.Path(), a.Body())
	if err != nil || time.Since(begin) > stallTime {
		b.companion.disturbed.add()
	}
	b.lock.Lock()
	defer b.lock.Unlock()
	if err == nil && status == http.StatusOK && draining && b.start == start && b.drainedAt.Load() == 0 {
		b.drainedAt.Store(time.Now().UnixNano())
	}
}

// announceForeign announces an unknown service to random companions until ctx is done. It
// must not replace the backend servers there.
func (d *deployment) announceForeign(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		randomPause(ctx, random, maxFaultPause)
		b := d.backends[random.IntN(len(d.backends))]
		a := platformtest.Announcement{
			Server: "foreign", Service: "unknown", Address: b.address, DataCentre: b.zone, Slots: slots, Number: 1, Born: time.Now().UnixMilli(),
		}
		d.recorder.fault("an unknown service is announced at the companion of %s", b.server.Name)
		// A companion that is down or paused doesn't answer.
		_, _, _ = doHTTP(ctx, http.MethodPut, b.announceURL+a.Path(), a.Body())
	}
}

func doHTTP(ctx context.Context, method, url, body string) (int, []byte, error) {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(limited, method, url, strings.NewReader(body))
	if err != nil {
		return 0, nil, errors.Trace(err)
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, errors.Trace(err)
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	return response.StatusCode, answer, errors.Trace(err)
}

// client opens a connection for each call, as operators' tools do.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// heldFlow is an open flow, its backend server and that server's start number when the
// flow opened.
type heldFlow struct {
	flow  *packets.Flow
	owner *backend
	start int
}

// runCaller opens flows and uses them until ctx is done.
func (d *deployment) runCaller(ctx context.Context, number byte) {
	c, err := packets.NewCaller(d.address(groupCaller, number+1, platformtest.PortPackets))
	if err != nil {
		d.recorder.violation("%v", err)
		return
	}
	defer c.Close()
	random := rand.New(rand.NewPCG(d.options.Seed, 100+uint64(number)))
	var flows []heldFlow
	for ctx.Err() == nil {
		if len(flows) < maxFlows && random.IntN(3) == 0 {
			flows = append(flows, d.open(c, random)...)
			continue
		}
		if len(flows) == 0 {
			sleep(ctx, announceInterval)
			continue
		}
		i := random.IntN(len(flows))
		if !d.checkFlow(flows[i]) || random.IntN(20) == 0 {
			flows = append(flows[:i], flows[i+1:]...)
		}
	}
}

// open opens a flow of a random route. It returns nil if that fails.
func (d *deployment) open(c *packets.Caller, random *rand.Rand) []heldFlow {
	route := routes[random.IntN(flowRoutes)].Address
	addresses := d.entryAddresses()
	random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	f, err := c.Open(route, addresses...)
	if err != nil {
		return nil
	}
	name, err := f.Request()
	if err != nil {
		return nil
	}
	for _, b := range d.backends {
		if b.server.Name == name {
			b.lock.Lock()
			defer b.lock.Unlock()
			d.recorder.increment(&d.recorder.report.Flows)
			return []heldFlow{{flow: f, owner: b, start: b.start}}
		}
	}
	return nil
}

// checkFlow sends a request on a flow and checks the outcome. It reports whether the
// flow can be used again.
func (d *deployment) checkFlow(h heldFlow) bool {
	name, err := h.flow.Request()
	h.owner.lock.Lock()
	holds := h.owner.start == h.start && h.owner.server.Holds(h.flow.Key.Caller)
	h.owner.lock.Unlock()
	switch {
	case err == nil && name != h.owner.server.Name:
		d.recorder.violation("flow %v of %s was answered by %s", h.flow.Key, h.owner.server.Name, name)
		return false
	case errors.Is(err, packets.ErrReset) && holds:
		d.recorder.violation("flow %v was reset while %s holds it", h.flow.Key, h.owner.server.Name)
		return false
	case err != nil:
		return false
	}
	d.recorder.increment(&d.recorder.report.Requests)
	return true
}

// operator submits configurations and reads them back.
type operator struct {
	deployment *deployment
	recorder   *recorder
	random     *rand.Rand
	version    int
	// acknowledged is the highest acknowledged version.
	acknowledged int
}

// url returns the URL of the configuration at a random control instance.
func (o *operator) url() string {
	return "http://" + o.deployment.seeds[o.random.IntN(controls)].String() + platformtest.ConfigurationPath
}

// idleTimeouts are the idle timeouts of successive configurations, in milliseconds.
var idleTimeouts = []int{15_000, 15_000, 1<<53 - 1}

func document(version int) string {
	return platformtest.Configuration{Version: version, Routes: routes, IdleTimeoutMs: idleTimeouts[version%len(idleTimeouts)]}.Body()
}

// submitFirst submits the first configuration until it is acknowledged.
func (o *operator) submitFirst(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	o.version = 1
	for limited.Err() == nil {
		if o.submit(limited, o.version) {
			return nil
		}
		sleep(limited, announceInterval)
	}
	return errors.New("no control instance accepted the first configuration in time")
}

// submit submits a version and reports whether it was acknowledged.
func (o *operator) submit(ctx context.Context, version int) bool {
	status, answer, err := doHTTP(ctx, http.MethodPut, o.url(), document(version))
	if err == nil && status >= 400 && status < 500 {
		o.recorder.violation("version %d was refused with %d: %s", version, status, bytes.TrimSpace(answer))
	}
	if err != nil || status != http.StatusOK {
		return false
	}
	o.acknowledged = max(o.acknowledged, version)
	o.recorder.increment(&o.recorder.report.ConfigChanges)
	return true
}

// run submits newer, older and truncated configurations and reads them until ctx is
// done.
func (o *operator) run(ctx context.Context) {
	for ctx.Err() == nil {
		randomPause(ctx, o.random, maxChangePause)
		switch o.random.IntN(4) {
		case 0:
			o.version += 1 + o.random.IntN(3)
			o.submit(ctx, o.version)
		case 1:
			o.submit(ctx, 1+o.random.IntN(o.version))
		case 2:
			status, _, err := doHTTP(ctx, http.MethodPut, o.url(), document(o.version + 1)[:60])
			if err == nil && status == http.StatusOK {
				o.recorder.violation("a truncated configuration was accepted")
			}
		case 3:
			o.read(ctx)
		}
	}
}

// read reads the configuration, checks that no acknowledged version is lost, and
// reports whether the call succeeded.
func (o *operator) read(ctx context.Context) bool {
	atLeast := o.acknowledged
	status, answer, err := doHTTP(ctx, http.MethodGet, o.url(), "")
	if err != nil || status != http.StatusOK {
		return false
	}
	version, err := platformtest.VersionOf(answer)
	if err != nil || version < atLeast || string(answer) != document(version) {
		o.recorder.violation("version %d was read back after %d was acknowledged (%v)", version, atLeast, err)
	}
	return true
}

// readBack reads the configuration from random control instances until enough calls
// have succeeded. It returns false if ctx is done first.
func (o *operator) readBack(ctx context.Context) bool {
	for done := 0; done < 2*controls; {
		if ctx.Err() != nil {
			return false
		}
		if o.read(ctx) {
			done++
			continue
		}
		sleep(ctx, announceInterval)
	}
	return true
}

// markRestarted changes a process's settings from a first start to a later one.
func (d *deployment) markRestarted(p *process) {
	p.settings.First = false
	d.writeSettings(p)
}
