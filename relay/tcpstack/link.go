// Package tcpstack implements relay.Terminator with a TCP stack library. The
// stack has no device: packets go in by a call and come out by a callback.
package tcpstack

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"gvisor.dev/gvisor/pkg/buffer"
	"gvisor.dev/gvisor/pkg/tcpip"
	"gvisor.dev/gvisor/pkg/tcpip/header"
	"gvisor.dev/gvisor/pkg/tcpip/link/channel"
	"gvisor.dev/gvisor/pkg/tcpip/network/ipv4"
	"gvisor.dev/gvisor/pkg/tcpip/stack"
	"gvisor.dev/gvisor/pkg/tcpip/transport/tcp"
)

const (
	// NIC is the number of the stack's one network interface.
	NIC tcpip.NICID = 1
	// queueLen is the most packets that wait to leave. TCP sends those again
	// that find the queue full.
	queueLen = 4096
	// bufferMin, bufferDefault and bufferMax bound a flow's send and receive
	// buffers, in bytes. Memory is used only for bytes that wait.
	bufferMin     = 4 << 10
	bufferDefault = 128 << 10
	bufferMax     = 1 << 20
	// timeWait is how long a closed flow's key stays taken.
	timeWait = 2 * time.Second
	// finWait is how long a flow that the companion has closed waits for the
	// caller to close too. The library also waits that long, in FIN-WAIT-2, if
	// it had to send its FIN again after the caller's FIN had come.
	finWait = 5 * time.Second
	// maxRetries is how often a packet is sent again before the flow ends.
	maxRetries = 10
	// DefaultMTU is the default size in bytes of the largest IPv4 packet. With
	// the longest encapsulation it fits in an Ethernet frame's 1,500 bytes.
	DefaultMTU = 1336
)

// Link is a TCP stack with one network interface that takes any address.
type Link struct {
	// Stack is the library's stack.
	Stack *stack.Stack

	endpoint *countingEndpoint
	stop     context.CancelFunc
	done     chan struct{}
}

// countingEndpoint counts the packets that find the queue full.
type countingEndpoint struct {
	*channel.Endpoint
	dropped atomic.Int64
}

// WritePackets implements stack.LinkEndpoint.
func (e *countingEndpoint) WritePackets(packets stack.PacketBufferList) (int, tcpip.Error) {
	n, err := e.Endpoint.WritePackets(packets)
	e.dropped.Add(int64(packets.Len() - n))
	return n, err
}

// NewLink returns a stack whose outgoing packets go to send, called by one
// goroutine with a packet that is valid during the call. The MTU is in bytes.
func NewLink(mtu uint32, send func(packet []byte)) (*Link, error) {
	ctx, stop := context.WithCancel(context.Background())
	l := &Link{
		Stack: stack.New(stack.Options{
			NetworkProtocols:   []stack.NetworkProtocolFactory{ipv4.NewProtocol},
			TransportProtocols: []stack.TransportProtocolFactory{tcp.NewProtocol},
		}),
		endpoint: &countingEndpoint{Endpoint: channel.New(queueLen, mtu, "")},
		stop:     stop,
		done:     make(chan struct{}),
	}
	err := l.configure()
	if err != nil {
		stop()
		l.Stack.Destroy()
		return nil, err
	}
	go l.sendAll(ctx, send)
	return l, nil
}

// configure sets the interface, its route and TCP's options.
func (l *Link) configure() error {
	options := []tcpip.SettableTransportProtocolOption{
		ptr(tcpip.TCPSACKEnabled(true)),
		ptr(tcpip.TCPModerateReceiveBufferOption(true)),
		ptr(tcpip.TCPTimeWaitTimeoutOption(timeWait)),
		ptr(tcpip.TCPLingerTimeoutOption(finWait)),
		ptr(tcpip.TCPMaxRetriesOption(maxRetries)),
		&tcpip.TCPSendBufferSizeRangeOption{Min: bufferMin, Default: bufferDefault, Max: bufferMax},
		&tcpip.TCPReceiveBufferSizeRangeOption{Min: bufferMin, Default: bufferDefault, Max: bufferMax},
	}
	for _, option := range options {
		err := l.Stack.SetTransportProtocolOption(tcp.ProtocolNumber, option)
		if err != nil {
			return errors.Errorf("set TCP option %T: %v", option, err)
		}
	}
	steps := []func() tcpip.Error{
		func() tcpip.Error { return l.Stack.CreateNIC(NIC, l.endpoint) },
		func() tcpip.Error { return l.Stack.SetPromiscuousMode(NIC, true) },
		func() tcpip.Error { return l.Stack.SetSpoofing(NIC, true) },
	}
	for _, step := range steps {
		err := step()
		if err != nil {
			return errors.Errorf("set up the stack's interface: %v", err)
		}
	}
	l.Stack.SetRouteTable([]tcpip.Route{{Destination: header.IPv4EmptySubnet, NIC: NIC}})
	return nil
}

// Deliver gives the stack an IPv4 packet, which it copies.
func (l *Link) Deliver(packet []byte) {
	p := stack.NewPacketBuffer(stack.PacketBufferOptions{Payload: buffer.MakeWithData(packet)})
	l.endpoint.InjectInbound(ipv4.ProtocolNumber, p)
	p.DecRef()
}

// Dropped returns how many outgoing packets found the queue full.
func (l *Link) Dropped() int64 {
	return l.endpoint.dropped.Load()
}

// Close ends all connections without a word to their peers.
func (l *Link) Close() {
	l.stop()
	<-l.done
	l.Stack.Destroy()
	l.endpoint.Drain()
}

// sendAll gives out the packets that leave, until the context ends.
func (l *Link) sendAll(ctx context.Context, send func(packet []byte)) {
	defer close(l.done)
	var flat []byte
	for {
		p := l.endpoint.ReadContext(ctx)
		if p == nil {
			return
		}
		flat = flat[:0]
		for _, part := range p.AsSlices() {
			flat = append(flat, part...)
		}
		p.DecRef()
		send(flat)
	}
}

func ptr[T any](value T) *T {
	return &value
}
