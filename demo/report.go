package demo

import (
	"fmt"
	"io"
	"slices"
	"time"

	"zinniapulley.dev/core"
	"zinniapulley.dev/standin/session"
)

// Report is the result of a run, as callers and backend servers observed it.
type Report struct {
	Example string `json:"example"`
	// Opened counts the flows that callers tried to open, Refused those that were
	// not opened.
	Opened  int `json:"flowsOpened"`
	Refused int `json:"flowsRefused"`
	// Kept counts the flows that still answered at the end.
	Kept int `json:"flowsKept"`
	// GivenUp counts the flows that ended in the data centre taken out of service.
	GivenUp int `json:"flowsGivenUp"`
	// Broken counts the other flows that ended, by cause.
	Broken []BrokenFlows `json:"flowsBroken"`
	// WrongService counts flows that another service answered.
	WrongService int `json:"wrongServicePackets"`
	// Imbalance is, before the change, the highest number of flows over the
	// mean of its service's backend servers, relative to their capacity.
	Imbalance float64 `json:"imbalance"`
	// DataCentre is the one taken out of service, LastPacketSeconds the time from
	// that change to its last packet.
	DataCentre        core.DataCentre `json:"dataCentreOut"`
	LastPacketSeconds float64         `json:"lastPacketSeconds"`
	// Returned counts the flows opened in the data centre after its return.
	Returned int `json:"flowsAfterReturn"`
}

// BrokenFlows counts broken flows of one cause.
type BrokenFlows struct {
	Cause session.Cause `json:"cause"`
	Flows int           `json:"flows"`
}

// BrokenTotal returns the number of broken flows of all causes.
func (r Report) BrokenTotal() int {
	total := 0
	for _, broken := range r.Broken {
		total += broken.Flows
	}
	return total
}

// Print writes the report as text.
func (r Report) Print(out io.Writer) {
	line := func(name string, value any) { _, _ = fmt.Fprintf(out, "%-34s %v\n", name, value) }
	line("example", r.Example)
	line("flows opened", r.Opened)
	line("flows kept", r.Kept)
	line("flows refused", r.Refused)
	line("flows given up with "+string(r.DataCentre), r.GivenUp)
	line("flows broken", r.BrokenTotal())
	for _, broken := range r.Broken {
		line("  by "+string(broken.Cause), broken.Flows)
	}
	line("wrong-service packets", r.WrongService)
	line("imbalance (max over mean)", fmt.Sprintf("%.2f", r.Imbalance))
	line("seconds to the last packet at "+string(r.DataCentre), fmt.Sprintf("%.2f", r.LastPacketSeconds))
	line("flows in "+string(r.DataCentre)+" after its return", r.Returned)
}

func (b *testbed) report(out core.DataCentre, lastPacket time.Duration, imbalance float64, groups ...[]*session.Session) Report {
	r := Report{
		Example:           b.options.Example,
		Imbalance:         imbalance,
		DataCentre:        out,
		LastPacketSeconds: max(0, lastPacket.Seconds()),
		Broken:            []BrokenFlows{},
	}
	causes := make(map[session.Cause]int)
	for i, sessions := range groups {
		for _, s := range sessions {
			end := s.Close()
			r.count(end, out, causes)
			if i == len(groups)-1 && end.Identity.DataCentre == out {
				r.Returned++
			}
		}
	}
	for cause, flows := range causes {
		r.Broken = append(r.Broken, BrokenFlows{Cause: cause, Flows: flows})
	}
	slices.SortFunc(r.Broken, func(a, b BrokenFlows) int { return b.Flows - a.Flows })
	return r
}

// count adds the end of one flow to the report.
func (r *Report) count(end session.End, out core.DataCentre, causes map[session.Cause]int) {
	r.Opened++
	if end.WrongService {
		r.WrongService++
	}
	switch {
	case end.Cause == session.CauseNone:
		r.Kept++
	case end.Cause == session.CauseRefused:
		r.Refused++
	case end.Identity.DataCentre == out:
		r.GivenUp++
	default:
		causes[end.Cause]++
	}
}
