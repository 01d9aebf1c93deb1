package geneve_test

import (
	"net/netip"
	"testing"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/onsi/gomega"
	"zinniapulley.dev/core"
	"zinniapulley.dev/wire/geneve"
)

var (
	caller  = netip.MustParseAddrPort("10.1.2.3:40000")
	service = netip.MustParseAddrPort("192.0.2.1:443")
)

// callerPacket returns an IPv4 packet with TCP from caller to service.
func callerPacket(t testing.TB, change func(*layers.IPv4, *layers.TCP), payload string) []byte {
	t.Helper()
	ip := &layers.IPv4{
		Version: 4, IHL: 5, TTL: 64, Protocol: layers.IPProtocolTCP,
		SrcIP: caller.Addr().AsSlice(), DstIP: service.Addr().AsSlice(),
	}
	tcp := &layers.TCP{
		SrcPort: layers.TCPPort(caller.Port()), DstPort: layers.TCPPort(service.Port()),
		Seq: 7, Ack: 9, ACK: true, PSH: true, Window: 1000,
	}
	if change != nil {
		change(ip, tcp)
	}
	err := tcp.SetNetworkLayerForChecksum(ip)
	if err != nil {
		t.Fatal(err)
	}
	buffer := gopacket.NewSerializeBuffer()
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	err = gopacket.SerializeLayers(buffer, options, ip, tcp, gopacket.Payload(payload))
	if err != nil {
		t.Fatal(err)
	}
	return append([]byte(nil), buffer.Bytes()...)
}

func envelope(packet []byte) geneve.Envelope {
	return geneve.Envelope{
		Service:  7,
		Revision: 1 << 40,
		HopIndex: 1,
		HopCount: 2,
		Hops: [core.MaxHops]netip.AddrPort{
			netip.MustParseAddrPort("127.0.0.1:7001"),
			netip.MustParseAddrPort("127.0.0.2:7002"),
		},
		Entry: netip.MustParseAddrPort("127.0.0.3:6081"),
		Inner: geneve.Inner{
			Key:        core.FlowKey{Caller: caller, Service: service},
			Flags:      core.TCPAck | core.TCPPsh,
			Seq:        7,
			Ack:        9,
			PayloadLen: 5,
			Packet:     packet,
		},
	}
}

func TestPeerRoundTrip(t *testing.T) {
	g := gomega.NewWithT(t)
	want := envelope(callerPacket(t, nil, "hello"))
	datagram, err := geneve.NewEncoder().EncodePeer(&want)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var decoder geneve.Decoder
	got, err := decoder.DecodePeer(datagram)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(got).To(gomega.Equal(want))
}

func TestFabricRoundTrip(t *testing.T) {
	g := gomega.NewWithT(t)
	packet := callerPacket(t, nil, "hello")
	datagram, err := geneve.NewEncoder().EncodeFabric(3, packet)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var decoder geneve.Decoder
	got, err := decoder.DecodeFabric(datagram)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(got).To(gomega.Equal(geneve.Fabric{Network: 3, Inner: envelope(packet).Inner}))

	answer, err := decoder.DecodeAnswer(datagram)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(answer.Inner.Key).To(gomega.Equal(core.FlowKey{Caller: service, Service: caller}))
}
