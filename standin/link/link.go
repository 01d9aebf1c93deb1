// Package link is a stand-in for the network between two processes: it forwards
// TCP connections and can be cut in one direction or both. Like a network partition,
// a cut keeps connections open but stops their data. It works on loopback only.
package link

import (
	"context"
	"net"
	"net/netip"
	"sync"

	"zinniapulley.dev/core"
)

// Direction is the set of directions that a cut stops.
type Direction uint8

const (
	// ToServer stops data from the dialling side.
	ToServer Direction = 1 << iota
	// ToDialler stops data from the listening side.
	ToDialler
	// Both stops all data.
	Both = ToServer | ToDialler
)

// Link forwards connections to one address.
type Link struct {
	target   netip.AddrPort
	listener net.Listener

	// mu guards the fields below. cutChanged is closed and replaced when cut changes.
	mu         sync.Mutex
	cut        Direction
	cutChanged chan struct{}
}

// New starts a link to the target on a free loopback port.
func New(target netip.AddrPort) (*Link, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, core.At("start link", core.Peer(target.String()), err)
	}
	l := &Link{target: target, listener: listener, cutChanged: make(chan struct{})}
	go l.serve()
	return l, nil
}

// Address returns the address to dial instead of the target's.
func (l *Link) Address() netip.AddrPort {
	return l.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Cut sets the directions in which no data passes. Zero restores the link: data that
// was held back then passes, as when TCP retransmits after a partition.
func (l *Link) Cut(directions Direction) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = directions
	close(l.cutChanged)
	l.cutChanged = make(chan struct{})
}

// Close stops accepting connections.
func (l *Link) Close() {
	_ = l.listener.Close()
}

func (l *Link) serve() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.forward(conn)
	}
}

// forward forwards one connection until either side closes it.
func (l *Link) forward(near net.Conn) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer func() { _ = near.Close() }()
	l.await(ctx, ToServer)
	far, err := net.Dial("tcp4", l.target.String())
	if err != nil {
		return
	}
	defer func() { _ = far.Close() }()
	var copying sync.WaitGroup
	copying.Go(func() { l.carry(ctx, ToDialler, near, far) })
	l.carry(ctx, ToServer, far, near)
	_ = far.Close()
	copying.Wait()
}

// carry copies data in one direction and blocks while that is cut.
func (l *Link) carry(ctx context.Context, direction Direction, to, from net.Conn) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		l.await(ctx, direction)
		_, err = to.Write(buffer[:n])
		if err != nil {
			return
		}
	}
}

// await returns once the direction isn't cut.
func (l *Link) await(ctx context.Context, direction Direction) {
	for {
		l.mu.Lock()
		cut, cutChanged := l.cut, l.cutChanged
		l.mu.Unlock()
		if cut&direction == 0 {
			return
		}
		select {
		case <-cutChanged:
		case <-ctx.Done():
			return
		}
	}
}
