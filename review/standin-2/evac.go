package main

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"syscall"
	"time"
)

const (
	// evacuated is the zone that the operator empties.
	evacuated = "sul-a"
	// suspension is how long a control instance's machine is suspended, and
	// evacuatedAgainAfter when the operator empties the zone again, from its begin.
	suspension          = 2900 * time.Millisecond
	evacuatedAgainAfter = 2400 * time.Millisecond
)

// operator calls the control instances over links, with connections that stay open.
type operator struct {
	deployment *deployment
	links      []*link
	addresses  []netip.AddrPort
	client     *http.Client
}

func newOperator(d *deployment) (*operator, error) {
	o := &operator{deployment: d, client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{}}}
	for i, n := range d.controls {
		at := netip.AddrPortFrom(d.address(byte(61+i)), d.port+offsetControl)
		l, err := newLink(at, n.control)
		if err != nil {
			return nil, err
		}
		o.links, o.addresses = append(o.links, l), append(o.addresses, at)
	}
	return o, nil
}

// call makes one call at a control instance.
func (o *operator) call(ctx context.Context, method string, at int, path string) bool {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+o.addresses[at].String()+path, nil)
	if err != nil {
		return false
	}
	response, err := o.client.Do(request)
	status := 0
	if err == nil {
		status = response.StatusCode
		_ = response.Body.Close()
	}
	o.deployment.record.add("operator: %s %s at %s -> %d %v", method, path, o.deployment.controls[at].name, status, err)
	return status/100 == 2
}

// order sends an order about the zone to control instances, the given one first, until one
// acknowledges it.
func (o *operator) order(ctx context.Context, method string, first int) error {
	for i := range 12 {
		if o.call(ctx, method, (first+i)%len(o.links), names.Evacuations+evacuated) {
			return nil
		}
		sleep(ctx, 100*time.Millisecond)
	}
	return fmt.Errorf("%s %s was not acknowledged", method, evacuated)
}

// staleOrder suspends the machine of a control instance while the operator takes back an
// evacuation. The operator moves on to another instance, and evacuates the zone again.
func staleOrder(ctx context.Context, r *record, folder string, trouble bool) (bool, error) {
	d, err := newDeployment(r, folder, shape{controls: 3, entries: 2, sides: 3})
	if err != nil {
		return false, err
	}
	defer d.stopAll()
	err = d.begin(ctx, d.sides...)
	if err != nil {
		return false, err
	}
	o, err := newOperator(d)
	if err != nil {
		return false, err
	}
	err = o.order(ctx, http.MethodPost, 1)
	if err != nil {
		return false, err
	}
	sleep(ctx, 6*time.Second)
	// The operator reads the configuration, and its connection stays open.
	if !o.call(ctx, http.MethodGet, 0, names.Configuration) {
		return false, fmt.Errorf("the configuration was not read")
	}
	if trouble {
		o.links[0].suspend(true)
		d.signal(d.controls[0], syscall.SIGSTOP)
	}
	began := time.Now()
	sleep(ctx, 50*time.Millisecond)
	err = o.order(ctx, http.MethodDelete, 0)
	if err == nil {
		sleep(ctx, time.Until(began.Add(evacuatedAgainAfter)))
		err = o.order(ctx, http.MethodPost, 1)
	}
	acknowledged := time.Now()
	if err != nil {
		return false, err
	}
	sleep(ctx, time.Until(began.Add(suspension)))
	if trouble {
		d.signal(d.controls[0], syscall.SIGCONT)
		o.links[0].suspend(false)
	}
	// evacuateMs after the acknowledgement and contactMs after the wake-up have passed.
	sleep(ctx, time.Until(acknowledged.Add(9*time.Second)))
	broken := false
	answered := 0
	for i := range 12 {
		f, err := d.client.open(d.route)
		if err != nil || f.request(fmt.Sprintf("late-%d", i), requestDeadline) != nil {
			continue
		}
		answered++
		if f.target == "i-1" {
			r.add("EVAC: %s in %s took %v, %v after the evacuation was acknowledged", f.target, evacuated, f.key, time.Since(acknowledged))
			broken = true
		}
	}
	if answered == 0 {
		return false, fmt.Errorf("no request was answered")
	}
	return broken, nil
}
