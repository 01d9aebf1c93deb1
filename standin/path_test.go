package standin_test

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"zinniapulley.dev/core"
	"zinniapulley.dev/relay"
	"zinniapulley.dev/relay/tcpstack"
	"zinniapulley.dev/standin/caller"
	"zinniapulley.dev/standin/echo"
	"zinniapulley.dev/standin/fabric"
	"zinniapulley.dev/wire/geneve"
)

const serviceID core.ServiceID = 7

// waitTimeout bounds the wait for an expected event.
const waitTimeout = 30 * time.Second

var (
	serviceAddress = netip.MustParseAddrPort("192.0.2.1:443")
	callerAddress  = netip.MustParseAddr("10.1.2.3")
)

// path connects a caller, a fabric, one terminator in place of the system, and an
// echo server.
type path struct {
	callers    *caller.Stack
	fabric     *fabric.Fabric
	echo       *echo.Server
	terminator *tcpstack.Terminator
	sockets    []*net.UDPConn
	reply      *net.UDPConn
	encoder    *geneve.Encoder
	readers    sync.WaitGroup

	mu     sync.Mutex
	ends   []relay.End
	closed map[core.FlowKey]int
	cut    context.Context
}

// newPath starts a path with the given number of entry sockets.
func newPath(t testing.TB, options tcpstack.Options, entries int) *path {
	t.Helper()
	g := gomega.NewWithT(t)
	p := &path{encoder: geneve.NewEncoder(), closed: make(map[core.FlowKey]int), cut: context.Background()}
	var addresses []netip.AddrPort
	for range entries {
		socket := listen(t)
		p.sockets = append(p.sockets, socket)
		addresses = append(addresses, socket.LocalAddr().(*net.UDPAddr).AddrPort())
	}
	p.reply = listen(t)
	var err error
	p.fabric, err = fabric.New(fabric.Options{
		Entries:  addresses,
		Seed:     1,
		Services: []core.Service{{ID: serviceID, Address: serviceAddress}},
	})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	p.callers, err = caller.New(p.fabric.Send)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	p.fabric.Attach(callerAddress, p.callers.Deliver)
	p.echo, err = echo.New(echo.Options{Prefix: "lid", MaxRecorded: 64})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	p.terminator, err = tcpstack.New(options, p)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for _, socket := range p.sockets {
		p.readers.Go(func() { p.read(socket) })
	}
	t.Cleanup(p.close)
	return p
}

func listen(t testing.TB) *net.UDPConn {
	t.Helper()
	socket, err := geneve.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	return socket
}

func (p *path) close() {
	p.terminator.Close()
	for _, socket := range p.sockets {
		_ = socket.Close()
	}
	p.readers.Wait()
	p.callers.Close()
	_ = p.fabric.Close()
	p.echo.Close()
	_ = p.reply.Close()
}

func (p *path) read(socket *net.UDPConn) {
	var decoder geneve.Decoder
	buffer := make([]byte, geneve.MaxDatagram)
	for {
		n, _, err := socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		got, err := decoder.DecodeFabric(buffer[:n])
		if err == nil {
			_ = p.terminator.Deliver(got.Inner.Packet)
		}
	}
}

// Send implements relay.Handler.
func (p *path) Send(segment relay.Segment) {
	datagram, err := p.encoder.EncodeFabric(uint32(serviceID), segment.Packet)
	if err == nil {
		_, _ = p.reply.WriteToUDPAddrPort(datagram, p.fabric.Return())
	}
}

// Accept implements relay.Handler.
func (p *path) Accept(flow relay.Flow) {
	backend, err := net.DialTCP("tcp4", nil, net.TCPAddrFromAddrPort(p.echo.Address()))
	if err != nil {
		flow.Abort()
		return
	}
	end := relay.Splice(p.cut, flow, backend)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ends = append(p.ends, end)
}

// Closed implements relay.Handler.
func (p *path) Closed(key core.FlowKey) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed[key]++
}

func (p *path) causes() []relay.Cause {
	p.mu.Lock()
	defer p.mu.Unlock()
	var causes []relay.Cause
	for _, end := range p.ends {
		causes = append(causes, end.Cause)
	}
	return causes
}

func (p *path) closedTimes(key core.FlowKey) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closed[key]
}

func (p *path) dial(t testing.TB) *caller.Conn {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	conn, err := p.callers.Dial(ctx, callerAddress, serviceAddress)
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

// exchange sends length bytes, closes the caller's half and returns the bytes sent
// and received.
func exchange(t testing.TB, conn *caller.Conn, length int) (sent, got []byte) {
	t.Helper()
	sent = make([]byte, length)
	copy(sent, "lid")
	random := rand.New(rand.NewPCG(2, 0))
	for i := range sent[3:] {
		sent[3+i] = byte(random.Uint32())
	}
	var writer sync.WaitGroup
	writer.Go(func() {
		_, _ = conn.Write(sent)
		_ = conn.CloseWrite()
	})
	got, err := io.ReadAll(conn)
	writer.Wait()
	if err != nil {
		t.Error(err)
	}
	return sent, got
}

func TestBytesAreEchoedUnchanged(t *testing.T) {
	cases := map[string]fabric.Faults{
		"no faults":  {},
		"lost":       {Lose: 0.02},
		"duplicated": {Duplicate: 0.2},
		"reordered":  {Delay: 0.2},
		"all":        {Lose: 0.01, Duplicate: 0.1, Delay: 0.1},
	}
	for name, faults := range cases {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			p := newPath(t, tcpstack.Options{}, 3)
			p.fabric.SetFaults(faults)
			conn := p.dial(t)
			sent, got := exchange(t, conn, 200_000)
			g.Expect(bytes.Equal(got, sent)).To(gomega.BeTrue())
			g.Eventually(p.causes, waitTimeout).Should(gomega.Equal([]relay.Cause{relay.CauseClosed}))
			g.Expect(p.echo.WrongService()).To(gomega.BeZero())
			g.Expect(p.fabric.Stats().WrongService).To(gomega.BeZero())
			_ = conn.Close()
			g.Eventually(p.terminator.Flows, waitTimeout).Should(gomega.BeZero())
		})
	}
}

func TestNothingIsFragmented(t *testing.T) {
	const ethernet, outerHeaders = 1500, 20 + 8
	g := gomega.NewWithT(t)
	g.Expect(tcpstack.DefaultMTU + geneve.MaxOverhead + outerHeaders).To(gomega.BeNumerically("<=", ethernet))
}

func TestCallerResetReachesTheBackendServer(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newPath(t, tcpstack.Options{}, 1)
	conn := p.dial(t)
	_, err := conn.Write([]byte("lid"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = io.ReadFull(conn, make([]byte, 3))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	conn.Abort()
	g.Eventually(p.causes, waitTimeout).Should(gomega.Equal([]relay.Cause{relay.CauseCallerReset}))
	g.Eventually(p.echo.Open, waitTimeout).Should(gomega.BeZero())
	g.Eventually(p.terminator.Flows, waitTimeout).Should(gomega.BeZero())
	g.Eventually(func() int { return p.closedTimes(conn.Key()) }, waitTimeout).Should(gomega.Equal(1))
}

func TestBackendResetReachesTheCaller(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newPath(t, tcpstack.Options{}, 1)
	conn := p.dial(t)
	_, err := conn.Write([]byte("lid"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = io.ReadFull(conn, make([]byte, 3))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	p.echo.Close()
	_, err = conn.Read(make([]byte, 1))
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("reset")))
	g.Eventually(p.causes, waitTimeout).Should(gomega.Equal([]relay.Cause{relay.CauseBackendReset}))
	g.Eventually(p.terminator.Flows, waitTimeout).Should(gomega.BeZero())
}

func TestMissingBackendServerIsAReset(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newPath(t, tcpstack.Options{}, 1)
	p.echo.Close()
	conn := p.dial(t)
	_, err := conn.Read(make([]byte, 1))
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("reset")))
	g.Eventually(p.terminator.Flows, waitTimeout).Should(gomega.BeZero())
}

func TestContextCutsAFlow(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newPath(t, tcpstack.Options{}, 1)
	var cancel context.CancelFunc
	p.cut, cancel = context.WithCancel(context.Background())
	conn := p.dial(t)
	_, err := conn.Write([]byte("lid"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = io.ReadFull(conn, make([]byte, 3))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	cancel()
	_, err = conn.Read(make([]byte, 1))
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("reset")))
	g.Eventually(p.causes, waitTimeout).Should(gomega.Equal([]relay.Cause{relay.CauseAborted}))
}

// The caller closes its half before the answer has arrived. The echo server must see
// the end only after all bytes, and its answer must still arrive.
func TestHalfCloseIsKept(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newPath(t, tcpstack.Options{}, 1)
	conn := p.dial(t)
	_, err := conn.Write([]byte("lid"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(conn.CloseWrite()).To(gomega.Succeed())
	got, err := io.ReadAll(conn)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(got)).To(gomega.Equal("lid"))
	g.Eventually(p.causes, waitTimeout).Should(gomega.Equal([]relay.Cause{relay.CauseClosed}))
}

func TestKeyCanBeUsedAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newPath(t, tcpstack.Options{}, 1)
	from := netip.AddrPortFrom(callerAddress, 40_000)
	for range 2 {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		conn, err := p.callers.DialFrom(ctx, from, serviceAddress)
		cancel()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		sent, got := exchange(t, conn, 1000)
		g.Expect(bytes.Equal(got, sent)).To(gomega.BeTrue())
		_ = conn.Close()
		g.Eventually(p.terminator.Flows, waitTimeout).Should(gomega.BeZero())
		// The caller's stack still holds the key for some time after the close.
		g.Eventually(func() error { return p.callers.CheckReleased(conn.Key()) }, waitTimeout).Should(gomega.Succeed())
	}
	g.Expect(p.closedTimes(core.FlowKey{Caller: from, Service: serviceAddress})).To(gomega.Equal(2))
}

func TestManyFlowsAtOnce(t *testing.T) {
	const count = 200
	g := gomega.NewWithT(t)
	p := newPath(t, tcpstack.Options{}, 3)
	var flows sync.WaitGroup
	var intact atomic.Int64
	for range count {
		flows.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
			defer cancel()
			conn, err := p.callers.Dial(ctx, callerAddress, serviceAddress)
			if err != nil {
				t.Error(err)
				return
			}
			sent, got := exchange(t, conn, 5000)
			_ = conn.Close()
			if bytes.Equal(sent, got) {
				intact.Add(1)
			}
		})
	}
	flows.Wait()
	g.Expect(intact.Load()).To(gomega.BeEquivalentTo(count))
	g.Expect(p.echo.WrongService()).To(gomega.BeZero())
	g.Eventually(p.terminator.Flows, waitTimeout).Should(gomega.BeZero())
}
