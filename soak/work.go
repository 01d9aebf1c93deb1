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
	// callTimeout is how long operators and backend servers wait for an answer.
	callTimeout = time.Second
	// drainBound is how long after its acknowledgement a draining backend server may
	// still get opening packets: those that were delivered before.
	drainBound = time.Second
	// slots is what each backend server says that it runs at once, bornFirst the time
	// of birth before its first start.
	slots     = 20
	bornFirst = 1_000_000
	// maxFlows is the most flows that a caller keeps open.
	maxFlows = 12
	// orderPause is the longest pause between two orders.
	orderPause = 600 * time.Millisecond
)

// opening checks an opening packet that a backend server took.
func (d *deployment) opening(b *backend, route netip.AddrPort) {
	if service := serviceAt(route); service != b.service {
		d.watch.violation("%s of service %s got a flow of service %q", b.server.Name, b.service, service)
	}
	drainedAt := b.drainedAt.Load()
	if drainedAt == 0 {
		return
	}
	since := time.Since(time.Unix(0, drainedAt))
	if since > drainBound {
		d.watch.violation("%s got a flow %v after it was acknowledged that it drains", b.server.Name, since)
	}
}

// announce has all backend servers announce themselves until ctx is done.
func (d *deployment) announce(ctx context.Context) {
	var speaking sync.WaitGroup
	for _, b := range d.backends {
		speaking.Go(func() {
			for ctx.Err() == nil {
				b.speak(ctx)
				wait(ctx, announceInterval)
			}
		})
	}
	speaking.Wait()
}

// speak makes one announcement.
func (b *backend) speak(ctx context.Context) {
	b.lock.Lock()
	b.number++
	start, draining := b.start, b.draining
	a := platformtest.Announcement{
		Server: fmt.Sprintf("%s-%d", b.server.Name, start), Service: b.service, DataCentre: b.zone, Draining: draining,
		Slots: slots, Number: b.number, Born: int64(bornFirst + start),
	}
	b.lock.Unlock()
	status, _, err := call(ctx, http.MethodPut, b.announce+a.Path(), a.Body())
	b.lock.Lock()
	defer b.lock.Unlock()
	if err == nil && status == http.StatusOK && draining && b.start == start && b.drainedAt.Load() == 0 {
		b.drainedAt.Store(time.Now().UnixNano())
	}
}

func call(ctx context.Context, method, url, body string) (int, []byte, error) {
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

// client makes a connection for each call: operators do.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// held is an open flow with where it lives.
type held struct {
	flow  *packets.Flow
	owner *backend
	start int
}

// call opens flows and uses them until ctx is done.
func (d *deployment) call(ctx context.Context, number byte) {
	c, err := packets.NewCaller(d.at(groupCaller, number+1, platformtest.PortPackets))
	if err != nil {
		d.watch.violation("%v", err)
		return
	}
	defer c.Close()
	random := rand.New(rand.NewPCG(d.options.Seed, 100+uint64(number)))
	var flows []held
	for ctx.Err() == nil {
		if len(flows) < maxFlows && random.IntN(3) == 0 {
			flows = append(flows, d.open(c, random)...)
			continue
		}
		if len(flows) == 0 {
			wait(ctx, announceInterval)
			continue
		}
		i := random.IntN(len(flows))
		if !d.use(flows[i]) || random.IntN(20) == 0 {
			flows = append(flows[:i], flows[i+1:]...)
		}
	}
}

// open opens a flow of a random route, and returns none if it doesn't open.
func (d *deployment) open(c *packets.Caller, random *rand.Rand) []held {
	route := routes[random.IntN(len(routes))].Address
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
			d.watch.count(&d.watch.report.Flows)
			return []held{{flow: f, owner: b, start: b.start}}
		}
	}
	return nil
}

// use sends a request on a flow and checks what becomes of it. It reports whether
// the flow is still of use.
func (d *deployment) use(h held) bool {
	name, err := h.flow.Request()
	h.owner.lock.Lock()
	lives := h.owner.start == h.start && h.owner.server.Holds(h.flow.Key.Caller)
	h.owner.lock.Unlock()
	switch {
	case err == nil && name != h.owner.server.Name:
		d.watch.violation("flow %v of %s was answered by %s", h.flow.Key, h.owner.server.Name, name)
		return false
	case errors.Is(err, packets.ErrReset) && lives:
		d.watch.violation("flow %v was reset while %s holds it", h.flow.Key, h.owner.server.Name)
		return false
	case err != nil:
		return false
	}
	d.watch.count(&d.watch.report.Requests)
	return true
}

// operator changes the configuration and reads it back.
type operator struct {
	deployment *deployment
	watch      *watch
	random     *rand.Rand
	version    int
	// acknowledged is the highest version that was acknowledged.
	acknowledged int
}

// url is the configuration's at one of the control instances.
func (o *operator) url() string {
	return "http://" + o.deployment.seeds[o.random.IntN(controls)].String() + platformtest.ConfigurationPath
}

func document(version int) string {
	return platformtest.Configuration{Version: version, Routes: routes}.Body()
}

// first puts the first configuration in force.
func (o *operator) first(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	o.version = 1
	for limited.Err() == nil {
		if o.put(limited, o.version) {
			return nil
		}
		wait(limited, announceInterval)
	}
	return errors.New("the first configuration was not accepted in time")
}

// put submits a version and reports whether it was acknowledged.
func (o *operator) put(ctx context.Context, version int) bool {
	status, answer, err := call(ctx, http.MethodPut, o.url(), document(version))
	if err == nil && status >= 400 && status < 500 {
		o.watch.violation("version %d was refused with %d: %s", version, status, bytes.TrimSpace(answer))
	}
	if err != nil || status != http.StatusOK {
		return false
	}
	o.acknowledged = max(o.acknowledged, version)
	o.watch.count(&o.watch.report.ConfigChanges)
	return true
}

// work submits and reads until ctx is done.
func (o *operator) work(ctx context.Context) {
	for ctx.Err() == nil {
		rest(ctx, o.random, orderPause)
		switch o.random.IntN(4) {
		case 0:
			o.version += 1 + o.random.IntN(3)
			o.put(ctx, o.version)
		case 1:
			o.put(ctx, 1+o.random.IntN(o.version))
		case 2:
			status, _, err := call(ctx, http.MethodPut, o.url(), document(o.version + 1)[:60])
			if err == nil && status == http.StatusOK {
				o.watch.violation("a configuration that was cut short was accepted")
			}
		case 3:
			o.read(ctx)
		}
	}
}

// read reads the configuration back and reports whether it was answered.
func (o *operator) read(ctx context.Context) bool {
	atLeast := o.acknowledged
	status, answer, err := call(ctx, http.MethodGet, o.url(), "")
	if err != nil || status != http.StatusOK {
		return false
	}
	version, err := platformtest.VersionOf(answer)
	if err != nil || version < atLeast || string(answer) != document(version) {
		o.watch.violation("version %d was read back after %d was acknowledged (%v)", version, atLeast, err)
	}
	return true
}

// readBack reads the configuration from every control process before ctx is done.
func (o *operator) readBack(ctx context.Context) bool {
	for done := 0; done < 2*controls; {
		if ctx.Err() != nil {
			return false
		}
		if o.read(ctx) {
			done++
			continue
		}
		wait(ctx, announceInterval)
	}
	return true
}

// later marks that a process is no longer at its first start.
func (d *deployment) later(p *process) {
	p.settings.First = false
	d.write(p)
}
