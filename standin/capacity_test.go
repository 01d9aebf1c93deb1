package standin_test

import (
	"context"
	"net"
	"runtime"
	"sync"
	"testing"

	"github.com/onsi/gomega"
	"zinniapulley.dev/core"
	"zinniapulley.dev/relay"
	"zinniapulley.dev/relay/tcpstack"
	"zinniapulley.dev/standin/caller"
)

// direct connects a callers' stack and a terminator without sockets, in front of a
// backend server that only holds its connections.
type direct struct {
	callers    *caller.Stack
	terminator *tcpstack.Terminator
	backend    *net.TCPListener
	accepted   chan core.FlowKey

	mu   sync.Mutex
	held []net.Conn
}

func newDirect(t testing.TB) *direct {
	t.Helper()
	d := &direct{accepted: make(chan core.FlowKey, idleFlows)}
	var err error
	d.backend, err = net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	go d.hold()
	d.terminator, err = tcpstack.New(tcpstack.Options{MaxPending: idleFlows}, d)
	if err != nil {
		t.Fatal(err)
	}
	d.callers, err = caller.New(func(packet []byte) { _ = d.terminator.Deliver(packet) })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.close)
	return d
}

func (d *direct) hold() {
	for {
		conn, err := d.backend.Accept()
		if err != nil {
			return
		}
		d.mu.Lock()
		d.held = append(d.held, conn)
		d.mu.Unlock()
	}
}

func (d *direct) close() {
	d.terminator.Close()
	d.callers.Close()
	_ = d.backend.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, conn := range d.held {
		_ = conn.Close()
	}
}

// Send implements relay.Handler.
func (d *direct) Send(segment relay.Segment) {
	d.callers.Deliver(segment.Packet)
}

// Accept implements relay.Handler.
func (d *direct) Accept(flow relay.Flow) {
	conn, err := net.DialTCP("tcp4", nil, d.backend.Addr().(*net.TCPAddr))
	if err != nil {
		flow.Abort()
		return
	}
	d.accepted <- flow.Key()
	relay.Splice(context.Background(), flow, conn)
}

// Closed implements relay.Handler.
func (d *direct) Closed(core.FlowKey) {}

// open opens flows one after the other and waits until all are connected to the
// backend server.
func (d *direct) open(t testing.TB, count int) {
	t.Helper()
	for range count {
		_, err := d.callers.Dial(context.Background(), callerAddress, serviceAddress)
		if err != nil {
			t.Fatal(err)
		}
	}
	for range count {
		<-d.accepted
	}
}

const (
	// idleFlows is the flow capacity of one backend server.
	idleFlows = 2000
	// idleLimit bounds the memory of that many idle flows, in bytes.
	idleLimit = 64 << 20
)

// memoryInUse returns the memory in use for objects and goroutines' stacks, in bytes.
func memoryInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapInuse + stats.StackInuse)
}

// The measured memory includes the callers' side of the flows in the same process.
func TestIdleFlowsTakeLittleMemory(t *testing.T) {
	g := gomega.NewWithT(t)
	d := newDirect(t)
	d.open(t, 1)
	before := memoryInUse()
	d.open(t, idleFlows-1)
	taken := memoryInUse() - before
	t.Logf("%d idle flows: %d KiB, %d bytes each", idleFlows, taken>>10, taken/idleFlows)
	g.Expect(d.terminator.Flows()).To(gomega.Equal(idleFlows))
	g.Expect(taken).To(gomega.BeNumerically("<", idleLimit))
}

// BenchmarkNewFlow opens and resets a flow: the handshakes of both sides, the
// connection to the backend server, and the end.
func BenchmarkNewFlow(b *testing.B) {
	d := newDirect(b)
	b.ReportAllocs()
	for b.Loop() {
		conn, err := d.callers.Dial(context.Background(), callerAddress, serviceAddress)
		if err != nil {
			b.Fatal(err)
		}
		<-d.accepted
		conn.Abort()
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "flows/s")
}
