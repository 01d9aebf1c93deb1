package control

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"zinniapulley.dev/core"
	"zinniapulley.dev/loop"
	"zinniapulley.dev/route"
)

// orderMetrics counts the orders on data centres that weren't carried out at once.
type orderMetrics struct {
	// abandoned counts orders whose sender gave up before they were proposed.
	abandoned metrics.Counter
	// overtaken counts proposals that newer orders had overtaken.
	overtaken metrics.Counter
}

func newOrderMetrics(registry metrics.Registry) orderMetrics {
	return orderMetrics{
		abandoned: metrics.GetOrRegisterCounter("orders.abandoned", registry),
		overtaken: metrics.GetOrRegisterCounter("orders.overtaken", registry),
	}
}

// SetDataCentre takes a data centre out of service or returns it to service. ctx is done
// once the sender has given up the order: the sender may then have had newer orders
// acknowledged by another instance, which this one must not undo.
//
// The order gets the number after the last one that this instance knows. Only then does
// the instance check that the sender still waits, so that an order which was given up
// later, while it is forwarded or proposed, has a number that the newer orders have taken.
func (s *Server) SetDataCentre(ctx context.Context, change route.SetDataCentre) (route.Result, error) {
	limited, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	log := s.config.Log.With("dataCentre", change.Name, "out", change.Out)
	known, err := loop.Ask(limited, s.loop, func(r loop.Reply[knownOrders]) event { return ordersQuery{name: change.Name, reply: r} })
	if err != nil {
		// The leader replies with the number of the last order.
		log.Warn("number of the last order on the data centre not known", "error", err)
	}
	for {
		if !known.inEffect(change.Out) {
			err = loop.Confirm(limited)
			if err != nil {
				s.orderMetrics.abandoned.Inc(1)
				log.Warn("order on the data centre not carried out", "lastOrder", known.last, "error", err)
				return route.Result{}, core.At("confirm order", core.Peer(s.config.Instance), err)
			}
		}
		change.Number = known.last + 1
		var result route.Result
		result, err = s.submit(limited, route.Command{DataCentre: &change})
		if err != nil || !result.Overtaken {
			return result, err
		}
		s.orderMetrics.overtaken.Inc(1)
		log.Info("order on the data centre overtaken, confirming it with its sender", "number", change.Number, "lastOrder", result.Orders)
		known = knownOrders{last: result.Orders}
	}
}

// knownOrders is what an instance knows of the orders on a data centre. It may lag behind
// the leader.
type knownOrders struct {
	// last is the number of the last order.
	last uint64
	// hasState is set if the instance has a state, of which out is part.
	hasState bool
	// out reports whether the data centre is out of service.
	out bool
}

// inEffect reports whether an order changes nothing, as far as the instance knows.
func (k knownOrders) inEffect(out bool) bool { return k.hasState && k.out == out }

// ordersQuery requests the knownOrders of a data centre.
type ordersQuery struct {
	name  core.DataCentre
	reply loop.Reply[knownOrders]
}

func (e ordersQuery) handle(h *handler, _ time.Time) {
	e.reply.Answer(knownOrders{last: h.state.Orders[e.name], hasState: h.state.Revision > 0, out: h.state.IsOut(e.name)})
}
