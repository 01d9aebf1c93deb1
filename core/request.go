package core

import (
	"cmp"
	"strconv"
)

// RequestID identifies one request of one caller within the deployment. It is
// assigned by the companion that read the request from the caller's flow.
type RequestID struct {
	// Companion is the instance that read the request.
	Companion InstanceID
	// Incarnation distinguishes the starts of that companion.
	Incarnation uint64
	// Number counts the requests read since that start.
	Number uint64
}

// String returns "companion/incarnation/number".
func (id RequestID) String() string {
	return string(id.Companion) + "/" + strconv.FormatUint(id.Incarnation, 10) + "/" + strconv.FormatUint(id.Number, 10)
}

// AttemptID identifies one attempt to run a request on one backend server.
// Answers are matched by it, never by their order of arrival.
type AttemptID struct {
	Request RequestID
	// Number counts the attempts of this request, from 1.
	Number uint32
}

// String returns "request#number".
func (id AttemptID) String() string {
	return id.Request.String() + "#" + strconv.FormatUint(uint64(id.Number), 10)
}

// Compare orders attempts by companion, incarnation and number.
func (id AttemptID) Compare(other AttemptID) int {
	a, b := id.Request, other.Request
	return cmp.Or(
		cmp.Compare(a.Companion, b.Companion),
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.Number, b.Number),
		cmp.Compare(id.Number, other.Number),
	)
}
