// Package fabric is a stand-in for the fabric: it sprays callers' packets at
// random over entry instances, as Geneve over UDP, and delivers the packets that
// return to callers. It works on loopback only.
//
// Its random choices come from a seed. They apply to packets in the order of arrival
// at the fabric, which a seed does not determine.
package fabric

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"

	"github.com/juju/errors"
	"zinniapulley.dev/core"
	"zinniapulley.dev/wire/geneve"
)

// Faults sets the share of callers' packets, from 0 to 1, that each fault affects on
// the way to an entry instance.
type Faults struct {
	Lose      float64
	Duplicate float64
	// Delay holds a packet back until after the next one, which reorders them.
	Delay float64
}

// Stats counts packets.
type Stats struct {
	// Sprayed counts the datagrams sent to entry instances, Lost the packets dropped
	// by a fault, a cut or an error, Unroutable those sent while there was no entry
	// instance.
	Sprayed    int64
	Lost       int64
	Unroutable int64
	// Answers counts the returned packets delivered to a caller.
	Answers int64
	// Malformed counts the invalid datagrams returned, Unknown those for an address
	// without a caller.
	Malformed int64
	Unknown   int64
	// WrongService counts the returned packets whose virtual network identifier is
	// not the service of their source address.
	WrongService int64
}

// Options configures a Fabric.
type Options struct {
	// Entries are the UDP addresses of the entry instances.
	Entries []netip.AddrPort
	// Return is the UDP address, on loopback, that receives the packets for callers.
	// The zero value is any free port of 127.0.0.1.
	Return netip.AddrPort
	// Seed seeds the random choices.
	Seed uint64
	// Network is the virtual network identifier of the datagrams sent.
	Network uint32
	// Services, if not empty, lets the fabric detect wrong-service packets.
	Services []core.Service
}

// Fabric is a running stand-in.
type Fabric struct {
	socket   *net.UDPConn
	network  uint32
	services map[netip.AddrPort]core.ServiceID
	done     chan struct{}

	mu      sync.Mutex
	random  *rand.Rand
	encoder *geneve.Encoder
	entries []entry
	callers map[netip.Addr]func(packet []byte)
	faults  Faults
	held    []byte
	stats   Stats
}

// entry is an entry instance as the fabric sees it.
type entry struct {
	address netip.AddrPort
	cut     bool
}

// New starts a fabric. Its errors are those of the UDP socket.
func New(options Options) (*Fabric, error) {
	address := options.Return
	if !address.IsValid() {
		address = netip.MustParseAddrPort("127.0.0.1:0")
	}
	if !address.Addr().IsLoopback() {
		return nil, errors.NotValidf("fabric's return address %v", address)
	}
	socket, err := geneve.Listen(address)
	if err != nil {
		return nil, err
	}
	f := &Fabric{
		socket:   socket,
		network:  options.Network,
		services: make(map[netip.AddrPort]core.ServiceID),
		done:     make(chan struct{}),
		random:   rand.New(rand.NewPCG(options.Seed, 0)),
		encoder:  geneve.NewEncoder(),
		callers:  make(map[netip.Addr]func(packet []byte)),
	}
	for _, service := range options.Services {
		f.services[service.Address] = service.ID
	}
	for _, address := range options.Entries {
		f.AddEntry(address)
	}
	go f.receive()
	return f, nil
}

// Return returns the UDP address that receives the packets for callers.
func (f *Fabric) Return() netip.AddrPort {
	return f.socket.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Attach registers the function that receives the packets for a caller's address.
// The packet is valid during the call.
func (f *Fabric) Attach(caller netip.Addr, deliver func(packet []byte)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.callers[caller] = deliver
}

// AddEntry adds an entry instance to those that receive packets.
func (f *Fabric) AddEntry(address netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries = append(f.entries, entry{address: address})
}

// RemoveEntry stops sending packets to an entry instance.
func (f *Fabric) RemoveEntry(address netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries = slices.DeleteFunc(f.entries, func(e entry) bool { return e.address == address })
}

// Cut starts or stops dropping the packets for an entry instance, which is still
// chosen.
func (f *Fabric) Cut(address netip.AddrPort, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.entries {
		if f.entries[i].address == address {
			f.entries[i].cut = cut
		}
	}
}

// SetFaults sets the faults for all later packets.
func (f *Fabric) SetFaults(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

// Stats returns the counts so far.
func (f *Fabric) Stats() Stats {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stats
}

// Close stops the fabric.
func (f *Fabric) Close() error {
	err := f.socket.Close()
	<-f.done
	return errors.Trace(err)
}

// Send sends a caller's IPv4 packet to an entry instance, subject to the faults. It
// does not keep the packet.
func (f *Fabric) Send(packet []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.random.Float64() < f.faults.Lose {
		f.stats.Lost++
		return
	}
	if f.held == nil && f.random.Float64() < f.faults.Delay {
		f.held = slices.Clone(packet)
		return
	}
	f.spray(packet)
	if f.random.Float64() < f.faults.Duplicate {
		f.spray(packet)
	}
	if f.held != nil {
		f.spray(f.held)
		f.held = nil
	}
}

// spray sends a packet to an entry instance chosen at random.
func (f *Fabric) spray(packet []byte) {
	if len(f.entries) == 0 {
		f.stats.Unroutable++
		return
	}
	chosen := f.entries[f.random.IntN(len(f.entries))]
	if chosen.cut {
		f.stats.Lost++
		return
	}
	datagram, err := f.encoder.EncodeFabric(f.network, packet)
	if err != nil {
		f.stats.Lost++
		return
	}
	_, err = f.socket.WriteToUDPAddrPort(datagram, chosen.address)
	if err != nil {
		f.stats.Lost++
		return
	}
	f.stats.Sprayed++
}

// receive delivers the packets that return to their callers.
func (f *Fabric) receive() {
	defer close(f.done)
	var decoder geneve.Decoder
	buffer := make([]byte, geneve.MaxDatagram)
	for {
		n, _, err := f.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		deliver, packet := f.route(&decoder, buffer[:n])
		if deliver != nil {
			deliver(packet)
		}
	}
}

// route counts a returned datagram and returns its packet and the caller's deliver
// function, or nil.
func (f *Fabric) route(decoder *geneve.Decoder, datagram []byte) (func(packet []byte), []byte) {
	answer, err := decoder.DecodeAnswer(datagram)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.stats.Malformed++
		return nil, nil
	}
	service, known := f.services[answer.Inner.Key.Service]
	if known && uint32(service) != answer.Network {
		f.stats.WrongService++
	}
	deliver := f.callers[answer.Inner.Key.Caller.Addr()]
	if deliver == nil {
		f.stats.Unknown++
		return nil, nil
	}
	f.stats.Answers++
	return deliver, answer.Inner.Packet
}
