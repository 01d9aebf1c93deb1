package hop_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/onsi/gomega"
	"zinniapulley.dev/core"
	"zinniapulley.dev/passthrough"
	"zinniapulley.dev/wire/hop"
)

func TestRelayMessagesRoundTrip(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, ask := range [][]netip.AddrPort{nil, addresses()} {
		relay := passthrough.Relay{Number: 7, Ask: ask, Packet: []byte("packet")}
		encoded, err := hop.AppendRelay(nil, relay)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(hop.KindOf(encoded)).To(gomega.Equal(hop.KindRelay))
		g.Expect(hop.DecodeRelay(encoded)).To(gomega.Equal(relay))
	}
	_, err := hop.AppendRelay(nil, passthrough.Relay{Ask: append(addresses(), netip.MustParseAddrPort("10.0.0.1:9000"))})
	g.Expect(err).To(gomega.HaveOccurred(), "companions with different ports")
	_, err = hop.AppendRelay(nil, passthrough.Relay{Ask: make([]netip.AddrPort, 256)})
	g.Expect(err).To(gomega.HaveOccurred(), "the count is one byte")
	relayed := passthrough.RelayedCopy{Number: 8, Entry: addresses()[0], Packet: []byte("packet")}
	encoded := hop.AppendRelayedCopy(nil, relayed)
	g.Expect(hop.KindOf(encoded)).To(gomega.Equal(hop.KindRelayedCopy))
	g.Expect(hop.DecodeRelayedCopy(encoded)).To(gomega.Equal(relayed))
}

// statusBefore is the status on the wire of the version before relayed lookups.
type statusBefore struct {
	Companion      netip.AddrPort   `cbor:"1,keyasint"`
	DataCentre     core.DataCentre  `cbor:"2,keyasint"`
	Service        core.ServiceName `cbor:"3,keyasint"`
	Server         string           `cbor:"4,keyasint"`
	Ready          bool             `cbor:"5,keyasint"`
	Departed       bool             `cbor:"6,keyasint"`
	Cold           bool             `cbor:"7,keyasint"`
	Failing        bool             `cbor:"11,keyasint"`
	Slots          int              `cbor:"8,keyasint"`
	Running        int              `cbor:"9,keyasint"`
	Flows          int              `cbor:"10,keyasint"`
	ReportInterval time.Duration    `cbor:"12,keyasint"`
}

// Old and new processes run side by side during an update. An old entry instance must
// read a new companion's status and accept its loads, and a new one must take an old
// companion for one that doesn't support relayed lookups.
func TestStatusIsReadByOldAndNewVersions(t *testing.T) {
	g := gomega.NewWithT(t)
	status := passthrough.Status{Companion: addresses()[0], Service: "feed", Server: "b1", Ready: true, Slots: 4, ReportInterval: time.Second}
	current := status
	current.Relays, current.Untracked, current.Born = true, true, 1781724590686
	g.Expect(current.Digest()).To(gomega.Equal(status.Digest()))
	encoded, err := hop.EncodeStatus(current)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(hop.DecodeStatus(encoded)).To(gomega.Equal(current))
	var before statusBefore
	g.Expect(cbor.Unmarshal(encoded[1:], &before)).To(gomega.Succeed())
	g.Expect(before.Server).To(gomega.Equal("b1"))
	old, err := cbor.Marshal(before)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(hop.DecodeStatus(append([]byte{byte(hop.KindStatus)}, old...))).To(gomega.Equal(status))
}
