package passthrough

import (
	"net/netip"

	"zinniapulley.dev/core"
)

// Survey has a companion query others of its data centre whether they hold a flow. An
// entry instance that has lost its cache looks up flows at all companions of a service,
// and its network has no room for an answer of each.
type Survey struct {
	// Number identifies the lookup at the entry instance.
	Number uint32
	Key    core.FlowKey
	Ask    []netip.AddrPort
}

// SurveyQuery is a query of a survey. A companion that doesn't hold the flow answers to
// the one that conducts the survey, any other with a note to the entry instance.
type SurveyQuery struct {
	// Number identifies the survey at the companion that conducts it.
	Number uint32
	Key    core.FlowKey
	Entry  netip.AddrPort
}

// SurveyResult lists the companions of a survey that don't hold the flow.
type SurveyResult struct {
	// Number is that of the Survey.
	Number uint32
	Key    core.FlowKey
	// NotHeld is empty if none of the companions asked holds the flow.
	NotHeld []netip.AddrPort
}
