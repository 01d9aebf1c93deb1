package main

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"time"
)

const (
	// frozenFor is how long the machine of a control instance stands still, and repeatedAt
	// when the operator's TCP sends the bytes of an order for the last time, both from when
	// the order was sent first. They were sent again 0.2, 0.6 and 1.4 s after that, too.
	frozenFor  = 2900 * time.Millisecond
	repeatedAt = 3 * time.Second
	// endRepeated is how long after these bytes the end of the connection comes: the packet
	// with it was lost once and is sent again after the shortest time that TCP waits.
	endRepeated = 210 * time.Millisecond
	// roundTrip is when it comes if it isn't lost.
	roundTrip = 6 * time.Millisecond
	// operatorWait is how long the operator waits for an answer.
	operatorWait = time.Second
	// judgedAfter is how long after the last acknowledgement requests count: longer than
	// an evacuation takes, and than machines aren't in touch after the freeze.
	judgedAfter = 9 * time.Second
)

// lateOrder has an operator empty a zone, take it back and empty it again. The machine of one
// control instance stands still meanwhile, so that an order that the operator has given up
// arrives there after the newest one was acknowledged. With trouble, the end of the
// operator's connection is lost once. The zone's server may get no new flow.
func lateOrder(root string, r *record, trouble bool) int {
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Second)
	defer cancel()
	f, err := startFlows(ctx, root, r, manyFlows, 30*time.Millisecond, 0)
	if f != nil {
		defer f.end()
	}
	if err != nil {
		r.say("%v", err)
		return notRun
	}
	acknowledged, err := f.giveOrders(ctx, trouble)
	if err != nil {
		r.say("%v", err)
		return notRun
	}
	time.Sleep(time.Until(acknowledged.Add(judgedAfter + 6*time.Second)))
	late, others := 0, 0
	for _, s := range f.servers {
		for _, t := range s.taken() {
			switch {
			case t.request == "" || t.at.Before(acknowledged.Add(judgedAfter)):
			case s.machine.zone == f.zones[0]:
				late++
			default:
				others++
			}
		}
	}
	f.record.say("flows ended: %v", f.flows.end())
	f.record.say("requests on new flows more than %v after the acknowledgement: %d in the empty zone, %d elsewhere", judgedAfter, late, others)
	if late > 0 {
		return broken
	}
	return held
}

// giveOrders gives the orders and returns when the last one was acknowledged.
func (f *flowDeployment) giveOrders(ctx context.Context, trouble bool) (time.Time, error) {
	path := names["out"] + f.zones[0]
	frozen := f.core()[0]
	others := &deployment{ports: f.ports, client: f.client, record: f.record, machines: f.core()[1:]}
	if _, err := others.order(ctx, "POST", path, ""); err != nil {
		return time.Time{}, err
	}
	time.Sleep(3 * time.Second)
	address := f.at(frozen.ip, f.ports.Control).String()
	connection, err := net.Dial("tcp4", address)
	if err != nil {
		return time.Time{}, err
	}
	frozen.signal(syscall.SIGSTOP)
	sent := time.Now()
	f.record.add("operator: DELETE %s sent to %s", path, frozen.name)
	time.Sleep(operatorWait)
	f.record.add("operator: no answer, hangs up")
	if _, err := others.order(ctx, "DELETE", path, ""); err != nil {
		return time.Time{}, err
	}
	time.Sleep(500 * time.Millisecond)
	acknowledged, err := others.order(ctx, "POST", path, "")
	if err != nil {
		return time.Time{}, err
	}
	time.Sleep(time.Until(sent.Add(frozenFor)))
	frozen.signal(syscall.SIGCONT)
	time.Sleep(time.Until(sent.Add(repeatedAt)))
	f.record.add("the bytes of DELETE %s arrive at %s", path, frozen.name)
	if _, err := fmt.Fprintf(connection, "DELETE %s HTTP/1.1\r\nHost: %s\r\n\r\n", path, address); err != nil {
		return time.Time{}, err
	}
	if trouble {
		time.Sleep(endRepeated)
	} else {
		time.Sleep(roundTrip)
	}
	f.record.add("the end of that connection arrives at %s", frozen.name)
	return acknowledged, connection.Close()
}
