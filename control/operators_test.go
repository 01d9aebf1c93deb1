package control_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"zinniapulley.dev/config"
	"zinniapulley.dev/control"
	"zinniapulley.dev/control/operator"
	"zinniapulley.dev/core"
	"zinniapulley.dev/wire"
)

const operatorToken = "operator-token"

// startServer runs a control instance and returns it with a client of its operators.
func startServer(t *testing.T) (*control.Server, *operator.Client) {
	t.Helper()
	document, err := os.ReadFile("state/testdata/configuration.json")
	if err != nil {
		t.Fatal(err)
	}
	parsed, err := config.Parse(document)
	if err != nil {
		t.Fatal(err)
	}
	owner, _ := parsed.Owner(config.SectionDataCentres)
	parsed.Teams[owner].Tokens[0] = config.HashToken(operatorToken)
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	server, err := control.New(control.Config{
		Instance: "control-1", RPC: loopback, Operators: loopback, InitialConfiguration: parsed.JSON(),
		Log: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return server, operator.NewClient([]netip.AddrPort{server.Operators()}, operatorToken)
}

// post sends a request on a connection of its own.
func post(t *testing.T, server *control.Server, path string, request any) net.Conn {
	t.Helper()
	body, err := json.Marshal(request)
	if err != nil {
		t.Fatal(err)
	}
	conn, err := net.Dial("tcp4", server.Operators().String())
	if err != nil {
		t.Fatal(err)
	}
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: control\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n", path, operatorToken, len(body))
	_, err = io.WriteString(conn, head+string(body))
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

// A request that was delayed on its way arrives after its sender has given up, and the end
// of the connection up to a round trip later. It undid a newer request that had been
// accepted.
func TestRequestOfASenderThatHasGivenUpIsNotCarriedOut(t *testing.T) {
	const name core.DataCentre = "north-a"
	const instance core.InstanceID = "b1"
	g := gomega.NewWithT(t)
	server, client := startServer(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	_, err := client.SetDataCentre(ctx, operator.SetDataCentre{Name: name, State: config.Out, RequestID: "newest"})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	rpc := wire.NewClient(server.RPC())
	defer rpc.Close()
	announcement := wire.AnnounceRequest{
		Instance: instance, DataCentre: name, Service: "feed", StartID: 1,
		Packets: netip.MustParseAddrPort("192.0.2.1:6081"), RPC: netip.MustParseAddrPort("192.0.2.1:7000"),
		Capacity: core.Capacity{Connections: 2000, Slots: 5}, State: core.BackendServing,
	}
	g.Expect(rpc.Call(ctx, wire.MethodAnnounce, announcement, new(wire.AnnounceReply))).To(gomega.Succeed())
	before, err := client.Status(ctx)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	late := []net.Conn{
		post(t, server, "/v1/datacentre", operator.SetDataCentre{Name: name, State: config.In, RequestID: "late"}),
		post(t, server, "/v1/drain", operator.Drain{Instance: instance, Drain: true}),
	}
	time.Sleep(6 * time.Millisecond)
	for _, conn := range late {
		g.Expect(conn.Close()).To(gomega.Succeed())
	}
	g.Consistently(func() (operator.Status, error) { return client.Status(ctx) }, 500*time.Millisecond).Should(gomega.And(
		gomega.HaveField("DataCentres", gomega.Equal(before.DataCentres)),
		gomega.HaveField("Draining", gomega.BeEmpty()),
	))
}
