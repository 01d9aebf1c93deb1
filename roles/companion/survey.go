package companion

import (
	"time"

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
		query, begun := path.surveys.Begin(now, d.From, survey)
		if !begun {
			path.log.Warn("survey not conducted, too many under way", "flow", survey.Key, "entry", d.From)
			return nil
		}
		datagram := hop.EncodeSurveyQuery(query)
		for _, at := range survey.Ask {
			path.meter.Send(path.companion.peers, datagram, at)
		}
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
			path.sendToEntry(hop.EncodeSurveyResult(finished.Result), finished.Entry)
		}
	default:
	}
	return nil
}
