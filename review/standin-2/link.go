package main

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	// clientDelay is the time of a packet between the operator and a machine, one way.
	clientDelay = 3 * time.Millisecond
	// firstResend is after what time TCP first sends again what isn't acknowledged. The time
	// doubles with each further try.
	firstResend = 200 * time.Millisecond
)

// link carries the operator's connections to one machine. While the machine is suspended,
// it acknowledges nothing, and the sender's TCP sends the bytes again.
type link struct {
	listener net.Listener
	server   netip.AddrPort
	lock     sync.Mutex
	// suspended is set while the machine is suspended.
	suspended bool
}

func newLink(at, server netip.AddrPort) (*link, error) {
	listener, err := net.Listen("tcp4", at.String())
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, server: server}
	go l.accept()
	return l, nil
}

func (l *link) suspend(suspended bool) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.suspended = suspended
}

func (l *link) isSuspended() bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.suspended
}

func (l *link) accept() {
	for {
		operator, err := l.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp4", l.server.String())
		if err != nil {
			_ = operator.Close()
			continue
		}
		go l.carry(operator, server)
		go l.carry(server, operator)
	}
}

// carry passes bytes, and then the end of the connection, which the sender's TCP sends
// once the bytes before it are acknowledged or half a round trip after them.
func (l *link) carry(from, to net.Conn) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			resent := l.awaitDelivery()
			_, _ = to.Write(buffer[:n])
			if resent {
				// What follows waits for the acknowledgement.
				time.Sleep(clientDelay)
			}
		}
		if err == io.EOF || err != nil {
			time.Sleep(clientDelay)
			return
		}
	}
}

// awaitDelivery waits until bytes that are sent now arrive. It reports whether they had to
// be sent again.
func (l *link) awaitDelivery() bool {
	resent := false
	for wait := firstResend; l.isSuspended(); wait *= 2 {
		resent = true
		time.Sleep(wait)
	}
	time.Sleep(clientDelay)
	return resent
}
