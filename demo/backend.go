package demo

import (
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"

	"zinniapulley.dev/core"
)

// backend is a small backend server: it greets each connection with its names,
// then sends back what it gets.
type backend struct {
	service    core.ServiceName
	dataCentre core.DataCentre
	instance   core.InstanceID
	listener   net.Listener
	// lastByte is when it last got a byte, in nanoseconds since 1970.
	lastByte atomic.Int64
}

func newBackend(service core.ServiceName, dataCentre core.DataCentre, instance core.InstanceID) (*backend, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, core.At("start backend server", core.Peer(instance), err)
	}
	b := &backend{service: service, dataCentre: dataCentre, instance: instance, listener: listener}
	go b.serve()
	return b, nil
}

func (b *backend) serve() {
	for {
		conn, err := b.listener.Accept()
		if err != nil {
			return
		}
		go b.answer(conn)
	}
}

func (b *backend) answer(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	_, err := fmt.Fprintf(conn, "%s %s %s\n", b.service, b.dataCentre, b.instance)
	if err != nil {
		return
	}
	_, _ = io.Copy(conn, &noted{reader: conn, last: &b.lastByte})
}

// noted notes when it last read a byte.
type noted struct {
	reader io.Reader
	last   *atomic.Int64
}

// Read reads and notes the time.
func (n *noted) Read(buffer []byte) (int, error) {
	count, err := n.reader.Read(buffer)
	if count > 0 {
		n.last.Store(time.Now().UnixNano())
	}
	return count, err
}
