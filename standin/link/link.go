// Package link is a stand-in for the network between two processes: it forwards
// TCP connections and can be cut silently, in both directions or in one. A cut
// link keeps its connections open and carries nothing, as a network partition
// does. It works on loopback only.
package link

import (
	"context"
	"net"
	"net/netip"
	"sync"

	"zinniapulley.dev/core"
)

// Direction names the bytes that a cut stops.
type Direction uint8

const (
	// ToServer stops what the dialling side sends.
	ToServer Direction = 1 << iota
	// ToDialler stops what the listening side sends.
	ToDialler
	// Both stops everything.
	Both = ToServer | ToDialler
)

// Link forwards connections to one address.
type Link struct {
	target   netip.AddrPort
	listener net.Listener

	// mu guards the fields below. healed is closed when cut changes.
	mu     sync.Mutex
	cut    Direction
	healed chan struct{}
}

// New starts a link to the target, on a loopback port of the kernel's choice.
func New(target netip.AddrPort) (*Link, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, core.At("start link", core.Peer(target.String()), err)
	}
	l := &Link{target: target, listener: listener, healed: make(chan struct{})}
	go l.serve()
	return l, nil
}

// Address returns the address to dial in place of the target's.
func (l *Link) Address() netip.AddrPort {
	return l.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Cut sets which directions carry nothing. Zero heals the link: what was held
// back is then carried on, as a network does for a sender that retries.
func (l *Link) Cut(directions Direction) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = directions
	close(l.healed)
	l.healed = make(chan struct{})
}

// Close takes no more connections.
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

// forward carries one connection until either side ends it.
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

// carry copies bytes while the direction isn't cut.
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
		cut, healed := l.cut, l.healed
		l.mu.Unlock()
		if cut&direction == 0 {
			return
		}
		select {
		case <-healed:
		case <-ctx.Done():
			return
		}
	}
}
