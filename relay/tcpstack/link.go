// Package tcpstack implements relay.Terminator with a TCP stack library. The
// stack has no device: a call delivers packets to it, and it sends them by a
// callback.
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
	// sendQueueLen is the capacity of the queue of outgoing packets. TCP retransmits
	// packets that find the queue full.
	sendQueueLen = 4096
	// bufferMin, bufferDefault and bufferMax bound a flow's send and receive
	// buffers, in bytes. Only buffered bytes use memory.
	bufferMin     = 4 << 10
	bufferDefault = 128 << 10
	bufferMax     = 1 << 20
	// timeWait is how long the key of a closed flow can't be reused.
	timeWait = 2 * time.Second
	// finWait is how long a flow that the companion has closed waits for the
	// caller to close too. The library also waits that long, in FIN-WAIT-2, if
	// it had to retransmit its FIN after it had received the caller's.
	finWait = 5 * time.Second
	// lossRecovery disables the library's tail loss probes (RFC 8985): once a probe that
	// repeats a FIN is lost, the library doesn't retransmit the FIN any more.
	lossRecovery tcpip.TCPRecovery = 0
	// maxRetries is how often a packet is retransmitted before the flow ends.
	maxRetries = 10
	// DefaultMTU is the default MTU in bytes. With the longest encapsulation, an
	// IPv4 packet of this size fits in an Ethernet frame's 1,500 bytes.
	DefaultMTU = 1336
)

// Link is a TCP stack with one network interface that accepts any address.
type Link struct {
	// Stack is the library's stack.
	Stack *stack.Stack

	endpoint *countingEndpoint
	stop     context.CancelFunc
	done     chan struct{}
}

// countingEndpoint counts the outgoing packets dropped because the queue is full.
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

// NewLink returns a stack that passes outgoing packets to send. One goroutine calls
// send, and the packet is valid during the call only. The MTU is in bytes.
func NewLink(mtu uint32, send func(packet []byte)) (*Link, error) {
	ctx, stop := context.WithCancel(context.Background())
	l := &Link{
		Stack: stack.New(stack.Options{
			NetworkProtocols:   []stack.NetworkProtocolFactory{ipv4.NewProtocol},
			TransportProtocols: []stack.TransportProtocolFactory{tcp.NewProtocol},
		}),
		endpoint: &countingEndpoint{Endpoint: channel.New(sendQueueLen, mtu, "")},
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
		ptr(lossRecovery),
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

// Deliver injects a copy of an IPv4 packet into the stack.
func (l *Link) Deliver(packet []byte) {
	p := stack.NewPacketBuffer(stack.PacketBufferOptions{Payload: buffer.MakeWithData(packet)})
	l.endpoint.InjectInbound(ipv4.ProtocolNumber, p)
	p.DecRef()
}

// Dropped returns how many outgoing packets were dropped because the queue was full.
func (l *Link) Dropped() int64 {
	return l.endpoint.dropped.Load()
}

// Close ends all connections without sending anything to their peers.
func (l *Link) Close() {
	l.stop()
	<-l.done
	l.Stack.Destroy()
	l.endpoint.Drain()
}

// sendAll passes outgoing packets to send until the context ends.
func (l *Link) sendAll(ctx context.Context, send func(packet []byte)) {
	defer close(l.done)
	var contiguous []byte
	for {
		p := l.endpoint.ReadContext(ctx)
		if p == nil {
			return
		}
		contiguous = contiguous[:0]
		for _, part := range p.AsSlices() {
			contiguous = append(contiguous, part...)
		}
		p.DecRef()
		send(contiguous)
	}
}

func ptr[T any](value T) *T {
	return &value
}
