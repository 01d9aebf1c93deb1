package hop_test

import (
	"net/netip"
	"testing"

	"github.com/onsi/gomega"
	"zinniapulley.dev/core"
	"zinniapulley.dev/passthrough"
	"zinniapulley.dev/wire/hop"
)

func key() core.FlowKey {
	return core.FlowKey{Caller: netip.MustParseAddrPort("100.64.0.7:40001"), Service: netip.MustParseAddrPort("198.18.0.1:443")}
}

func addresses() []netip.AddrPort {
	return []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:8000"), netip.MustParseAddrPort("10.0.1.2:9000")}
}

func TestSurveyMessagesRoundTrip(t *testing.T) {
	g := gomega.NewWithT(t)
	survey := passthrough.Survey{Number: 7, Key: key(), Ask: addresses()}
	g.Expect(hop.DecodeSurvey(hop.EncodeSurvey(survey))).To(gomega.Equal(survey))
	query := passthrough.SurveyQuery{Number: 8, Key: key(), Entry: addresses()[0]}
	g.Expect(hop.DecodeSurveyQuery(hop.EncodeSurveyQuery(query))).To(gomega.Equal(query))
	g.Expect(hop.DecodeSurveyAnswer(hop.EncodeSurveyAnswer(9))).To(gomega.Equal(uint32(9)))
	result := passthrough.SurveyResult{Number: 7, Key: key(), NotHeld: addresses()}
	g.Expect(hop.DecodeSurveyResult(hop.EncodeSurveyResult(result))).To(gomega.Equal(result))
	load := passthrough.Load{Digest: 5, Running: 3, Flows: 70000}
	decoded, err := hop.DecodeLoad(hop.AppendLoad(nil, load))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(decoded).To(gomega.Equal(passthrough.Load{Digest: 5, Running: 3, Flows: 65535}), "the counts end at 16 bits")
}

func FuzzDecode(f *testing.F) {
	f.Add(hop.EncodeSurvey(passthrough.Survey{Number: 7, Key: key(), Ask: addresses()}))
	f.Add(hop.EncodeSurveyQuery(passthrough.SurveyQuery{Number: 8, Key: key(), Entry: addresses()[0]}))
	f.Add(hop.EncodeSurveyAnswer(9))
	f.Add(hop.AppendLoad(nil, passthrough.Load{Digest: 5}))
	f.Fuzz(func(t *testing.T, datagram []byte) {
		g := gomega.NewWithT(t)
		survey, err := hop.DecodeSurvey(datagram)
		if err == nil {
			g.Expect(hop.EncodeSurvey(survey)[1:]).To(gomega.Equal(datagram[1:]))
		}
		query, err := hop.DecodeSurveyQuery(datagram)
		if err == nil {
			g.Expect(hop.EncodeSurveyQuery(query)[1:]).To(gomega.Equal(datagram[1:]))
		}
		_, _ = hop.DecodeSurveyAnswer(datagram)
		_, _ = hop.DecodeLoad(datagram)
	})
}
