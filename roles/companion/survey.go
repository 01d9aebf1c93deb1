package companion

import (
	"net/netip"
	"time"

	"zinniapulley.dev/passthrough"
	"zinniapulley.dev/passthrough/gate"
	"zinniapulley.dev/roles/traffic"
	"zinniapulley.dev/wire/hop"
)

// fromSurvey processes a datagram of a survey: the request of an entry instance, the
// query of the companion that conducts it, or the answer to one.
func (path *packetPath) fromSurvey(now time.Time, d traffic.Datagram) error {
	switch hop.KindOf(d.Data) {
	case hop.KindSurvey:
		survey, err := hop.DecodeSurvey(d.Data)
		if err != nil {
			return err
		}
		path.conduct(now, d.From, survey, hop.EncodeSurveyQuery)
	case hop.KindSurveyQuery:
		query, err := hop.DecodeSurveyQuery(d.Data)
		if err != nil {
			return err
		}
		path.execute(now, path.gate.HandleSurveyQuery(now, d.From, query))
	case hop.KindSurveyAnswer:
		number, err := hop.DecodeSurveyAnswer(d.Data)
		if err != nil {
			return err
		}
		finished, done := path.surveys.NotHeld(d.From, number)
		if done {
			path.sendResult(finished)
		}
	default:
	}
	return nil
}

// conduct begins a survey for an entry instance and sends each companion to ask the message
// that encode returns for the survey's query.
func (path *packetPath) conduct(now time.Time, entry netip.AddrPort, survey passthrough.Survey, encode func(passthrough.SurveyQuery) []byte) {
	query, begun := path.surveys.Begin(now, entry, survey)
	if !begun {
		path.log.Warn("survey not conducted, too many under way", "flow", survey.Key, "entry", entry)
		return
	}
	datagram := encode(query)
	for _, at := range survey.Ask {
		path.meter.Send(path.companion.peers, datagram, at)
	}
}

func (path *packetPath) sendResult(finished gate.FinishedSurvey) {
	datagram, err := hop.EncodeSurveyResult(finished.Result)
	if err != nil {
		path.log.Error("result of a survey not encoded", "flow", finished.Result.Key, "error", err)
		return
	}
	path.sendToEntry(datagram, finished.Entry)
}
