package geneve_test

import (
	"bytes"
	"encoding/binary"
	"net/netip"
	"testing"

	"github.com/gopacket/gopacket/layers"
	"github.com/onsi/gomega"
	"zinniapulley.dev/core"
	"zinniapulley.dev/wire/geneve"
)

// Offsets of bytes in a datagram.
const (
	versionAt  = 0
	flagsAt    = 1
	protocolAt = 2
	networkAt  = 4
	optionsAt  = 8
	routeAt    = optionsAt + 4
)

// peerDatagram returns a valid datagram between instances.
func peerDatagram(t testing.TB, packet []byte) []byte {
	t.Helper()
	e := envelope(packet)
	datagram, err := geneve.NewEncoder().EncodePeer(&e)
	if err != nil {
		t.Fatal(err)
	}
	return bytes.Clone(datagram)
}

// fabricDatagram returns a datagram with the given options, as raw bytes.
func fabricDatagram(packet []byte, options ...byte) []byte {
	datagram := make([]byte, optionsAt, optionsAt+len(options)+len(packet))
	datagram[versionAt] = byte(len(options) / 4)
	binary.BigEndian.PutUint16(datagram[protocolAt:], uint16(layers.EthernetTypeIPv4))
	datagram = append(datagram, options...)
	return append(datagram, packet...)
}

func TestMalformedPeerDatagram(t *testing.T) {
	change := func(at int, value byte) func([]byte) []byte {
		return func(d []byte) []byte {
			d[at] = value
			return d
		}
	}
	cases := map[string]struct {
		change func([]byte) []byte
		want   geneve.Drop
	}{
		"empty":                    {func([]byte) []byte { return nil }, geneve.DropTruncated},
		"half a header":            {func(d []byte) []byte { return d[:5] }, geneve.DropTruncated},
		"half the options":         {func(d []byte) []byte { return d[:20] }, geneve.DropTruncated},
		"option past the datagram": {change(optionsAt+3, 0x1f), geneve.DropTruncated},
		"version 1":                {func(d []byte) []byte { d[versionAt] |= 0x40; return d }, geneve.DropGeneveVersion},
		"options too long":         {func(d []byte) []byte { d[versionAt] = 0x3f; return d }, geneve.DropOptionsLength},
		"option past the options":  {change(optionsAt+3, 0x0a), geneve.DropOptionsLength},
		"option too short":         {change(optionsAt+3, 0x01), geneve.DropOptionsLength},
		"control message":          {func(d []byte) []byte { d[flagsAt] |= 0x80; return d }, geneve.DropProtocol},
		"ethernet inside":          {change(protocolAt, 0x65), geneve.DropProtocol},
		"no network identifier":    {change(networkAt+2, 0), geneve.DropNetwork},
		"unknown critical option":  {change(optionsAt, 0x01), geneve.DropCriticalOption},
		"unknown plain option":     {change(optionsAt+2, 0x01), geneve.DropRouteOption},
		"hop index past the hops":  {change(routeAt+8, 2), geneve.DropRouteOption},
		"too many hops":            {change(routeAt+9, core.MaxChain+1), geneve.DropRouteOption},
		"fewer hops than stated":   {change(routeAt+9, 3), geneve.DropRouteOption},
		"hop without a port":       {func(d []byte) []byte { d[routeAt+24], d[routeAt+25] = 0, 0; return d }, geneve.DropRouteOption},
		"no inner packet":          {func(d []byte) []byte { return d[:routeAt+36] }, geneve.DropTruncated},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			datagram := c.change(peerDatagram(t, callerPacket(t, nil, "hello")))
			var decoder geneve.Decoder
			_, err := decoder.DecodePeer(datagram)
			g.Expect(err).To(gomega.MatchError(c.want))
		})
	}
}

func TestMalformedInnerPacket(t *testing.T) {
	cases := map[string]struct {
		packet []byte
		want   geneve.Drop
	}{
		"empty":            {nil, geneve.DropTruncated},
		"half an address":  {callerPacket(t, nil, "")[:14], geneve.DropTruncated},
		"cut in TCP":       {callerPacket(t, nil, "")[:30], geneve.DropTruncated},
		"cut in bytes":     {callerPacket(t, nil, "hello")[:42], geneve.DropTruncated},
		"IPv6":             {patched(callerPacket(t, nil, ""), 0, 0x65), geneve.DropIPv4Header},
		"header too short": {patched(callerPacket(t, nil, ""), 0, 0x44), geneve.DropIPv4Header},
		"zero length":      {patched(patched(callerPacket(t, nil, ""), 2, 0), 3, 0), geneve.DropIPv4Header},
		"length too short": {patched(callerPacket(t, nil, ""), 3, 12), geneve.DropIPv4Header},
		"wrong checksum":   {patched(callerPacket(t, nil, ""), 8, 1), geneve.DropIPv4Checksum},
		"first fragment": {callerPacket(t, func(ip *layers.IPv4, _ *layers.TCP) {
			ip.Flags = layers.IPv4MoreFragments
		}, ""), geneve.DropFragment},
		"later fragment": {callerPacket(t, func(ip *layers.IPv4, _ *layers.TCP) {
			ip.FragOffset = 8
		}, ""), geneve.DropFragment},
		"UDP": {callerPacket(t, func(ip *layers.IPv4, _ *layers.TCP) {
			ip.Protocol = layers.IPProtocolUDP
		}, ""), geneve.DropNotTCP},
		"TCP header too short": {patched(callerPacket(t, nil, ""), 32, 0x40), geneve.DropTCPHeader},
		"TCP header too long":  {patched(callerPacket(t, nil, ""), 32, 0xf0), geneve.DropTruncated},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var decoder geneve.Decoder
			_, err := decoder.DecodeFabric(fabricDatagram(c.packet))
			g.Expect(err).To(gomega.MatchError(c.want))
			_, err = decoder.DecodePeer(peerDatagram(t, c.packet))
			g.Expect(err).To(gomega.MatchError(c.want))
		})
	}
}

func patched(packet []byte, at int, value byte) []byte {
	packet[at] = value
	return packet
}

func TestUnknownOptionIsRejectedOnlyIfCritical(t *testing.T) {
	g := gomega.NewWithT(t)
	packet := callerPacket(t, nil, "hello")
	var decoder geneve.Decoder
	plain := []byte{0x01, 0x02, 0x03, 0x01, 1, 2, 3, 4}
	got, err := decoder.DecodeFabric(fabricDatagram(packet, plain...))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(got.Inner.Packet).To(gomega.Equal(packet))

	critical := []byte{0x01, 0x02, 0x83, 0x01, 1, 2, 3, 4}
	_, err = decoder.DecodeFabric(fabricDatagram(packet, critical...))
	g.Expect(err).To(gomega.MatchError(geneve.DropCriticalOption))

	long := bytes.Repeat([]byte{0x01, 0x02, 0x03, 0x00}, geneve.MaxOptionsLen/4)
	_, err = decoder.DecodeFabric(fabricDatagram(packet, long...))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = decoder.DecodeFabric(fabricDatagram(packet, append(long, 0x01, 0x02, 0x03, 0x00)...))
	g.Expect(err).To(gomega.MatchError(geneve.DropOptionsLength))
}

func TestBytesAfterThePacketAreIgnored(t *testing.T) {
	g := gomega.NewWithT(t)
	packet := callerPacket(t, nil, "hello")
	var decoder geneve.Decoder
	got, err := decoder.DecodeFabric(append(fabricDatagram(packet), "padding"...))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(got.Inner.Packet).To(gomega.Equal(packet))
	g.Expect(got.Inner.PayloadLen).To(gomega.Equal(5))
}

// A Decoder keeps no state of a rejected datagram.
func TestDecoderWorksAfterADrop(t *testing.T) {
	g := gomega.NewWithT(t)
	var decoder geneve.Decoder
	whole := peerDatagram(t, callerPacket(t, nil, "hello"))
	want, err := decoder.DecodePeer(whole)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for length := range whole {
		_, err := decoder.DecodePeer(whole[:length])
		g.Expect(err).To(gomega.HaveOccurred())
		got, err := decoder.DecodePeer(whole)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(got).To(gomega.Equal(want))
	}
}

func TestEncoderRejectsInvalidInput(t *testing.T) {
	g := gomega.NewWithT(t)
	encoder := geneve.NewEncoder()
	_, err := encoder.EncodeFabric(1<<24, nil)
	g.Expect(err).To(gomega.MatchError(geneve.ErrNetwork))
	_, err = encoder.EncodeFabric(1, make([]byte, geneve.MaxDatagram))
	g.Expect(err).To(gomega.MatchError(geneve.ErrTooLong))

	cases := map[string]struct {
		change func(*geneve.Envelope)
		want   error
	}{
		"no service":       {func(e *geneve.Envelope) { e.Service = 0 }, geneve.ErrNetwork},
		"large service":    {func(e *geneve.Envelope) { e.Service = core.MaxServiceID + 1 }, geneve.ErrNetwork},
		"no hops":          {func(e *geneve.Envelope) { e.HopCount, e.HopIndex = 0, 0 }, geneve.ErrHops},
		"index past hops":  {func(e *geneve.Envelope) { e.HopIndex = 2 }, geneve.ErrHops},
		"too many hops":    {func(e *geneve.Envelope) { e.HopCount = core.MaxChain + 1 }, geneve.ErrHops},
		"hop not set":      {func(e *geneve.Envelope) { e.Hops[0] = netip.AddrPort{} }, geneve.ErrHops},
		"hop is IPv6":      {func(e *geneve.Envelope) { e.Hops[1] = netip.MustParseAddrPort("[::1]:1") }, geneve.ErrHops},
		"entry is IPv6":    {func(e *geneve.Envelope) { e.Entry = netip.MustParseAddrPort("[::1]:1") }, geneve.ErrHops},
		"packet too large": {func(e *geneve.Envelope) { e.Inner.Packet = make([]byte, geneve.MaxDatagram) }, geneve.ErrTooLong},
	}
	for name, c := range cases {
		e := envelope(callerPacket(t, nil, ""))
		c.change(&e)
		_, err := encoder.EncodePeer(&e)
		g.Expect(err).To(gomega.MatchError(c.want), name)
	}
}
