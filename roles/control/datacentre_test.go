package control_test

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/onsi/gomega"
	"zinniapulley.dev/core"
	"zinniapulley.dev/loop"
	"zinniapulley.dev/route"
	"zinniapulley.dev/wire"
)

const dataCentre core.DataCentre = "gent"

// out returns the data centres that are out of service in an instance's view.
func (g *group) out(i int) []core.DataCentre {
	g.t.Helper()
	view, err := g.view(i)
	if err != nil || view == nil {
		g.t.Fatalf("instance %d has no view: %v", i, err)
	}
	return view.Out
}

// order has an instance carry out an order on the data centre.
func (g *group) order(i int, out bool) route.Result {
	g.t.Helper()
	var result route.Result
	eventually(g.t, func() (err error) {
		result, err = g.servers[i].SetDataCentre(context.Background(), route.SetDataCentre{Name: dataCentre, Out: out})
		return err
	})
	return result
}

// evacuated starts a group that has taken the data centre out of service.
func evacuated(t *testing.T) *group {
	t.Helper()
	group := startGroup(t, 3)
	eventually(t, func() error {
		_, err := group.servers[0].Configure(context.Background(), configuration(1))
		return err
	})
	group.order(1, true)
	group.awaitOut(dataCentre)
	return group
}

// awaitOut waits until every instance's view has the given data centres out of service.
func (g *group) awaitOut(names ...core.DataCentre) {
	g.t.Helper()
	for i := range g.servers {
		gomega.NewWithT(g.t).Eventually(func() []core.DataCentre { return g.out(i) }, 20*time.Second, 20*time.Millisecond).
			Should(gomega.ConsistOf(names))
	}
}

// Each cause that delays an order on its way, such as a suspended machine or a link that
// was cut, delivers it after its sender has given up, and the end of the connection up to
// a round trip later. The order undid a newer one that another instance had acknowledged.
func TestOrderOfASenderThatHasGivenUpIsNotCarriedOut(t *testing.T) {
	for _, roundTrip := range []time.Duration{0, 6 * time.Millisecond, 60 * time.Millisecond} {
		t.Run(roundTrip.String(), func(t *testing.T) {
			g := gomega.NewWithT(t)
			group := evacuated(t)
			for _, server := range group.servers {
				sender, giveUp := context.WithTimeout(context.Background(), roundTrip)
				defer giveUp()
				_, err := server.SetDataCentre(sender, route.SetDataCentre{Name: dataCentre})
				g.Expect(errors.Is(err, loop.ErrAbandoned)).To(gomega.BeTrue())
			}
			g.Consistently(func() []core.DataCentre { return group.out(0) }, time.Second, 50*time.Millisecond).
				Should(gomega.Equal([]core.DataCentre{dataCentre}))
		})
	}
}

// Operators' clients wait for a second. One that is 300 ms away leaves 400 ms of it to an
// order, the confirmation included.
func TestOrderOfADistantOperatorIsAnsweredInTime(t *testing.T) {
	const left = time.Second - 2*300*time.Millisecond
	group := evacuated(t)
	for _, server := range group.servers {
		for _, out := range []bool{false, true} {
			eventually(t, func() error {
				sender, giveUp := context.WithTimeout(context.Background(), left)
				defer giveUp()
				_, err := server.SetDataCentre(sender, route.SetDataCentre{Name: dataCentre, Out: out})
				return err
			})
		}
	}
}

// submit sends an order with a number to every instance, as an instance forwards it to the
// leader, and returns the leader's reply.
func (g *group) submit(order route.SetDataCentre) wire.SubmitReply {
	g.t.Helper()
	var encoded bytes.Buffer
	err := gob.NewEncoder(&encoded).Encode(route.Command{DataCentre: &order})
	if err != nil {
		g.t.Fatal(err)
	}
	var reply wire.SubmitReply
	eventually(g.t, func() error {
		for _, seed := range g.seeds {
			client := wire.NewClient(seed)
			defer client.Close()
			reply = wire.SubmitReply{}
			err := client.Call(context.Background(), wire.MethodSubmit, wire.SubmitRequest{Command: encoded.Bytes()}, &reply)
			if err == nil && !reply.NotLeader && reply.Failure == "" {
				return nil
			}
		}
		return fmt.Errorf("no instance leads: %+v", reply)
	})
	return reply
}

// A forwarded order reaches the leader late if the leader's machine was suspended or the
// link to it cut. It undid a newer order, although the instance that forwarded it was
// healthy and its sender had still waited when it was forwarded.
func TestForwardedOrderThatArrivesLateIsNotCarriedOut(t *testing.T) {
	g := gomega.NewWithT(t)
	group := evacuated(t)
	last := group.order(0, true).Orders
	late := route.SetDataCentre{Name: dataCentre, Number: last + 1}
	group.order(1, false)
	newest := group.order(2, true)
	reply := group.submit(late)
	g.Expect(reply.Result.Overtaken).To(gomega.BeTrue())
	g.Expect(reply.Result.Orders).To(gomega.Equal(newest.Orders))
	group.awaitOut(dataCentre)
	// An order that another one has overtaken is still acknowledged if it has its effect.
	late.Out = true
	g.Expect(group.submit(late).Result.Overtaken).To(gomega.BeFalse())
}

// An order whose number another one has taken meanwhile is carried out while its sender
// waits: an accepted order is never refused.
func TestOvertakenOrderIsCarriedOutWhileItsSenderWaits(t *testing.T) {
	g := gomega.NewWithT(t)
	group := evacuated(t)
	results := make(chan error, 1)
	go func() {
		_, err := group.servers[0].SetDataCentre(context.Background(), route.SetDataCentre{Name: dataCentre})
		results <- err
	}()
	// Takes the number while the first order waits for its sender's confirmation.
	time.Sleep(30 * time.Millisecond)
	group.order(1, true)
	var err error
	g.Eventually(results, 5*time.Second).Should(gomega.Receive(&err))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	group.awaitOut()
}
