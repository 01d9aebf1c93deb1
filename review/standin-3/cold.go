package main

import (
	"slices"
	"time"
)

const (
	// The service's cold servers bear coldRate requests a second; coldFactor and coldSlack
	// are those of the settings.
	coldRate   = 10
	coldFactor = 1.5
	coldSlack  = 5
	coldFor    = 2 * time.Second
)

// coldSpan is a time in which a server was cold.
type coldSpan struct {
	server *server
	from   time.Time
}

// judgeCold counts, for each time in which a server was cold, the requests that were sent
// and arrived within one second. A request counts with the opening packet of its flow, and
// only if it came to the server.
func judgeCold(r *record, spans []coldSpan, outcomes []outcome) int {
	sent := map[flowKey]time.Time{}
	for _, o := range outcomes {
		sent[o.flow] = o.sentAt
	}
	limit := int(coldRate*coldFactor + coldSlack)
	verdict := held
	for _, span := range spans {
		var takes []taken
		for _, t := range span.server.taken() {
			if t.request != "" && t.at.After(span.from) && t.at.Before(span.from.Add(coldFor)) && sent[t.flow].After(span.from) {
				takes = append(takes, t)
			}
		}
		most, from := 0, span.from
		for _, first := range takes {
			begin := sent[first.flow]
			inside := slices.DeleteFunc(slices.Clone(takes), func(t taken) bool {
				return sent[t.flow].Before(begin) || t.at.After(begin.Add(time.Second))
			})
			if len(inside) > most {
				most, from = len(inside), begin
			}
		}
		r.say("cold server %s: %d requests while it was cold, at most %d in a second (limit %d), from %.3f s after it became cold",
			span.server.id, len(takes), most, limit, from.Sub(span.from).Seconds())
		if most > limit {
			verdict = broken
		}
	}
	return verdict
}
