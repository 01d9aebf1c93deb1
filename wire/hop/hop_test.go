package hop_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"zinniapulley.dev/core"
	"zinniapulley.dev/passthrough"
	"zinniapulley.dev/wire/hop"
)

func key() core.FlowKey {
	return core.FlowKey{Caller: netip.MustParseAddrPort("100.64.0.7:40001"), Service: netip.MustParseAddrPort("198.18.0.1:443")}
}

func addresses() []netip.AddrPort {
	return []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:8000"), netip.MustParseAddrPort("10.0.1.2:8000")}
}

func TestSurveyMessagesRoundTrip(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, ask := range [][]netip.AddrPort{nil, addresses()} {
		survey := passthrough.Survey{Number: 7, Key: key(), Ask: ask}
		encoded, err := hop.EncodeSurvey(survey)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(hop.DecodeSurvey(encoded)).To(gomega.Equal(survey))
		result := passthrough.SurveyResult{Number: 7, Key: key(), NotHeld: ask}
		encoded, err = hop.EncodeSurveyResult(result)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(hop.DecodeSurveyResult(encoded)).To(gomega.Equal(result))
	}
	_, err := hop.EncodeSurvey(passthrough.Survey{Key: key(), Ask: append(addresses(), netip.MustParseAddrPort("10.0.0.1:9000"))})
	g.Expect(err).To(gomega.HaveOccurred())
	query := passthrough.SurveyQuery{Number: 8, Key: key(), Entry: addresses()[0]}
	g.Expect(hop.DecodeSurveyQuery(hop.EncodeSurveyQuery(query))).To(gomega.Equal(query))
	g.Expect(hop.DecodeSurveyAnswer(hop.EncodeSurveyAnswer(9))).To(gomega.Equal(uint32(9)))
	load := passthrough.Load{Digest: 5, Running: 3, Flows: 70000}
	decoded, err := hop.DecodeLoad(hop.AppendLoad(nil, load))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(decoded).To(gomega.Equal(passthrough.Load{Digest: 5, Running: 3, Flows: 65535}), "the counts end at 16 bits")
}

// A pace of a slow or unmeasured backend server must arrive as it was sent, and the counts
// must end at 16 bits instead of wrapping to a low one.
func TestPaceRoundTrips(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, pace := range []passthrough.Pace{{}, {Run: 34 * time.Millisecond, Interval: 8500 * time.Microsecond, Waiting: 3, Users: 12}, {Run: time.Minute}} {
		g.Expect(hop.DecodePace(hop.AppendPace(nil, pace))).To(gomega.Equal(pace))
	}
	wide, err := hop.DecodePace(hop.AppendPace(nil, passthrough.Pace{Waiting: 70000, Users: 70000}))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(wide).To(gomega.Equal(passthrough.Pace{Waiting: 65535, Users: 65535}))
	_, err = hop.DecodePace(hop.AppendPace(nil, wide)[1:])
	g.Expect(err).To(gomega.HaveOccurred())
}

func FuzzDecode(f *testing.F) {
	encoded, err := hop.EncodeSurvey(passthrough.Survey{Number: 7, Key: key(), Ask: addresses()})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(encoded)
	f.Add(hop.EncodeSurveyQuery(passthrough.SurveyQuery{Number: 8, Key: key(), Entry: addresses()[0]}))
	f.Add(hop.EncodeSurveyAnswer(9))
	f.Add(hop.AppendLoad(nil, passthrough.Load{Digest: 5}))
	encoded, err = hop.AppendRelay(nil, passthrough.Relay{Number: 7, Ask: addresses(), Packet: []byte("packet")})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(encoded)
	f.Add(hop.AppendRelayedCopy(nil, passthrough.RelayedCopy{Number: 8, Entry: addresses()[0], Packet: []byte("packet")}))
	f.Add(hop.AppendPace(nil, passthrough.Pace{Run: time.Millisecond}))
	f.Fuzz(func(t *testing.T, datagram []byte) {
		g := gomega.NewWithT(t)
		relay, err := hop.DecodeRelay(datagram)
		if err == nil {
			again, err := hop.AppendRelay(nil, relay)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(again[1:]).To(gomega.Equal(datagram[1:]))
		}
		relayed, err := hop.DecodeRelayedCopy(datagram)
		if err == nil {
			g.Expect(hop.AppendRelayedCopy(nil, relayed)[1:]).To(gomega.Equal(datagram[1:]))
		}
		survey, err := hop.DecodeSurvey(datagram)
		if err == nil {
			again, err := hop.EncodeSurvey(survey)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(again[1:]).To(gomega.Equal(datagram[1:]))
		}
		query, err := hop.DecodeSurveyQuery(datagram)
		if err == nil {
			g.Expect(hop.EncodeSurveyQuery(query)[1:]).To(gomega.Equal(datagram[1:]))
		}
		_, _ = hop.DecodeSurveyAnswer(datagram)
		_, _ = hop.DecodeLoad(datagram)
		pace, err := hop.DecodePace(datagram)
		if err == nil {
			g.Expect(hop.AppendPace(nil, pace)[1:]).To(gomega.Equal(datagram[1:]))
		}
	})
}
