package main

import (
	"errors"
	"net/http"
	"time"
)

func init() { cases["idle-timeout"] = idleTimeout }

// idleTimeout: a valid configuration with a very long idle timeout is acknowledged while
// flows are open.
func idleTimeout(d *deployment, trouble bool) (int, error) {
	err := d.startStandard(30 * time.Millisecond)
	if err != nil {
		return exitNotRun, err
	}
	idle := int64(60_000)
	if trouble {
		// The largest integer that JSON numbers hold exactly.
		idle = 1<<53 - 1
	}
	acknowledged := make(chan bool, 1)
	time.AfterFunc(8*time.Second, func() {
		acknowledged <- d.order(http.MethodPut, names.Configuration, configuration(2, idle, []string{"shop", "files"}, standardRoutes), 5*time.Second, 0)
	})
	lost, unanswered, err := d.longFlows(30, 2*time.Second, time.Now().Add(25*time.Second))
	if err != nil {
		return exitNotRun, err
	}
	if !<-acknowledged {
		return exitNotRun, errors.New("version 2 was not acknowledged")
	}
	d.record("FLOW: %d of 30 open flows were reset by the system while their targets held them; %d requests on them ran nowhere and got no answer", len(lost), len(unanswered))
	if len(lost) > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}
