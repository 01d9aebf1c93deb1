package main

import (
	"time"
)

func init() { cases["other-writer"] = otherWriter }

// otherWriter: a heartbeat that names a service of no configuration arrives at a companion
// while its target holds flows.
func otherWriter(d *deployment, trouble bool) (int, error) {
	err := d.startStandard(30 * time.Millisecond)
	if err != nil {
		return exitNotRun, err
	}
	time.AfterFunc(9*time.Second, func() {
		m := d.of("side")[0]
		if !trouble {
			// Without the disruption the heartbeat is the target's own.
			d.targets[0].heartbeat()
			return
		}
		const id = "i-0ther"
		body := heartbeatBody{"no-such-service", d.at(m, portApp), m.zone, 4, "ready", 1, time.Now().UnixMilli()}
		status := d.put(d.at(m, portControl), names.Instances+id, body.String())
		d.record("another writer: PUT %s%s at %s: %s: %s", names.Instances, id, m.name, body, statusText(status))
	})
	lost, unanswered, err := d.longFlows(30, 2*time.Second, time.Now().Add(25*time.Second))
	if err != nil {
		return exitNotRun, err
	}
	d.record("FLOW: %d of 30 open flows were reset by the system while their targets held them; %d requests on them ran nowhere and got no answer", len(lost), len(unanswered))
	if len(lost) > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}
