package companion

import (
	"time"

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
			path.sendResult(finished)
		}
	default:
	}
	return nil
}

func (path *packetPath) sendResult(finished gate.FinishedSurvey) {
	datagram, err := hop.EncodeSurveyResult(finished.Result)
	if err != nil {
		path.log.Error("result of a survey not encoded", "flow", finished.Result.Key, "error", err)
		return
	}
	path.sendToEntry(datagram, finished.Entry)
}
