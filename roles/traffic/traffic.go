// Package traffic runs the goroutines of a process that forward packets: a reader for
// each socket, which blocks in the kernel, and one goroutine that alone owns the flow
// state. The latter sleeps until a datagram or a tick arrives.
package traffic

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/juju/errors"
	"zinniapulley.dev/core"
)

const (
	// maxDatagramBytes is the maximum size of a datagram.
	maxDatagramBytes = 2048
	// queueLength is the maximum number of datagrams that wait for the Handler. Further
	// ones stay in the sockets' buffers.
	queueLength = 256
)

// Datagram is a received datagram. Data is valid until Handle returns.
type Datagram struct {
	// Socket is the index of the socket that received it.
	Socket int
	From   netip.AddrPort
	Data   []byte
}

// Handler handles the datagrams of a process and owns its flow state. One goroutine
// calls its methods.
type Handler interface {
	// Handle processes one datagram.
	Handle(now time.Time, d Datagram)
	// Tick is called at every interval.
	Tick(now time.Time)
}

// TickAdjuster is implemented by a Handler that needs another tick interval at times.
type TickAdjuster interface {
	// TickInterval returns the interval that is needed now.
	TickInterval() time.Duration
}

// Listen opens a UDP socket.
func Listen(address netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	return conn, core.At("listen for datagrams", core.Peer(address.String()), err)
}

// Run passes the datagrams that the sockets receive to the handler until ctx is done,
// and then closes the sockets.
func Run(ctx context.Context, handler Handler, interval time.Duration, sockets ...*net.UDPConn) {
	queue := make(chan Datagram, queueLength)
	free := make(chan []byte, queueLength)
	for i, socket := range sockets {
		go read(ctx, i, socket, queue, free)
	}
	defer func() {
		for _, socket := range sockets {
			_ = socket.Close()
		}
	}()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	adjuster, adjusts := handler.(TickAdjuster)
	for {
		if adjusts && adjuster.TickInterval() != interval {
			interval = adjuster.TickInterval()
			ticker.Reset(interval)
		}
		select {
		case <-ctx.Done():
			return
		case d := <-queue:
			handler.Handle(time.Now(), d)
			release(free, d.Data)
		case now := <-ticker.C:
			handler.Tick(now)
		}
	}
}

// read queues the datagrams of one socket until it is closed.
func read(ctx context.Context, index int, socket *net.UDPConn, queue chan<- Datagram, free <-chan []byte) {
	for {
		buffer := acquire(free)
		n, from, err := socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// An earlier send to a closed port is reported here as a refused connection.
			continue
		}
		select {
		case queue <- Datagram{Socket: index, From: netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), Data: buffer[:n]}:
		case <-ctx.Done():
			return
		}
	}
}

func acquire(free <-chan []byte) []byte {
	select {
	case buffer := <-free:
		return buffer
	default:
		return make([]byte, maxDatagramBytes)
	}
}

func release(free chan<- []byte, buffer []byte) {
	select {
	case free <- buffer[:maxDatagramBytes]:
	default:
	}
}
