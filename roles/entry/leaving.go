package entry

import (
	"log/slog"
	"math"
	"time"

	"github.com/rcrowley/go-metrics"
	"zinniapulley.dev/locality"
)

// logPrecision is the precision of times in log lines.
const logPrecision = 100 * time.Microsecond

// reportPlans logs the changes of the plans which flows leave the data centre, and updates
// the gauges of their shares.
func (path *packetPath) reportPlans() {
	for _, c := range path.dispatcher.PlanChanges() {
		path.log.Info("share of flows that may leave the data centre changed", "service", c.Service,
			"from", hundredths(c.From), "to", hundredths(c.To), "planned", c.Planned, "load", hundredths(c.Load),
			slog.Group("own", siteFigures(&c.Own)...), slog.Group("best", siteFigures(&c.Best)...))
	}
	for service, share := range path.dispatcher.Shares() {
		metrics.GetOrRegisterGaugeFloat64("leaving.share."+string(service), path.entry.config.Metrics).Update(share)
	}
}

func hundredths(x float64) float64 { return math.Round(x*100) / 100 }

// siteFigures returns the figures of a data centre for a log line.
func siteFigures(s *locality.Site) []any {
	return []any{
		"dataCentre", s.DataCentre, "slots", s.Slots, "running", s.Running, "waiting", s.Waiting, "perSecond", math.Round(s.Rate),
		"expected", s.Expected.Round(logPrecision), "delay", s.Way.Round(logPrecision), "age", s.Age.Round(logPrecision),
	}
}
