package geneve_test

import (
	"net/netip"
	"testing"

	"github.com/onsi/gomega"
	"zinniapulley.dev/core"
	"zinniapulley.dev/wire/geneve"
)

func TestResetIsAcceptableToTheCaller(t *testing.T) {
	key := core.FlowKey{
		Caller:  netip.MustParseAddrPort("127.0.1.1:4000"),
		Service: netip.MustParseAddrPort("127.0.2.1:80"),
	}
	cases := map[string]struct {
		inner geneve.Inner
		flags core.TCPFlags
		seq   uint32
		ack   uint32
	}{
		"syn":           {geneve.Inner{Key: key, Flags: core.TCPSyn, Seq: 7}, core.TCPRst | core.TCPAck, 0, 8},
		"data with ack": {geneve.Inner{Key: key, Flags: core.TCPAck, Seq: 7, Ack: 9, PayloadLen: 3}, core.TCPRst, 9, 0},
		"fin alone":     {geneve.Inner{Key: key, Flags: core.TCPFin, Seq: 7, PayloadLen: 3}, core.TCPRst | core.TCPAck, 0, 11},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			packet, err := geneve.Reset(c.inner)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			var decoder geneve.Decoder
			reset, err := decoder.DecodePacket(packet)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(reset.Key).To(gomega.Equal(core.FlowKey{Caller: key.Service, Service: key.Caller}))
			g.Expect(reset.Flags).To(gomega.Equal(c.flags))
			g.Expect(reset.Seq).To(gomega.Equal(c.seq))
			g.Expect(reset.Ack).To(gomega.Equal(c.ack))
		})
	}
	packet, err := geneve.Reset(geneve.Inner{Key: key, Flags: core.TCPRst})
	gomega.NewWithT(t).Expect(packet, err).To(gomega.BeNil())
}
