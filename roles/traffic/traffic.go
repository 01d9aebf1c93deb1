// Package traffic runs the goroutines that move packets of one process: a reader
// for each socket, which blocks in the kernel, and one owner, which alone has the
// state of the flows. The owner sleeps until a datagram or a tick comes.
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
	// bufferBytes is the most bytes of one datagram.
	bufferBytes = 2048
	// queueLength is how many datagrams may wait for the owner. More stay in the
	// sockets' buffers.
	queueLength = 256
)

// Datagram is one datagram that came in. Data is valid until Handle returns.
type Datagram struct {
	// Socket is the index of the socket that it came in at.
	Socket int
	From   netip.AddrPort
	Data   []byte
}

// Owner has the state of the flows. Its methods are called by one goroutine.
type Owner interface {
	// Handle takes one datagram.
	Handle(now time.Time, d Datagram)
	// Tick is called at every interval.
	Tick(now time.Time)
}

// Listen opens a UDP socket.
func Listen(address netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	return conn, core.At("listen for datagrams", core.Peer(address.String()), err)
}

// Run hands what the sockets receive to the owner until ctx is done, and closes
// the sockets.
func Run(ctx context.Context, owner Owner, interval time.Duration, sockets ...*net.UDPConn) {
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
	for {
		select {
		case <-ctx.Done():
			return
		case d := <-queue:
			owner.Handle(time.Now(), d)
			release(free, d.Data)
		case now := <-ticker.C:
			owner.Tick(now)
		}
	}
}

// read takes datagrams off one socket until it is closed.
func read(ctx context.Context, index int, socket *net.UDPConn, queue chan<- Datagram, free <-chan []byte) {
	for {
		buffer := acquire(free)
		n, from, err := socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// A receiver that is gone shows here as a refused earlier send.
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
		return make([]byte, bufferBytes)
	}
}

func release(free chan<- []byte, buffer []byte) {
	select {
	case free <- buffer[:bufferBytes]:
	default:
	}
}
