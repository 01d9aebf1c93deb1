package capacity

import (
	"time"

	"zinniapulley.dev/core"
)

// Site is the state of a service's backend servers in one data centre.
type Site struct {
	Service    core.ServiceName
	DataCentre core.DataCentre
	// Servers is how many backend servers are counted: those that admit flows and whose
	// last report is recent. Silent is how many others admitted flows by their last report.
	Servers, Silent         int
	Slots, Running, Waiting int
	// Rate is how many requests a second the servers can answer, zero if it is unknown.
	Rate float64
	// Expected is the expected time of one more request, the mean over the servers by
	// their rates; zero if it is unknown.
	Expected time.Duration
	// Way is the measured network delay to a companion there and back, zero if unknown.
	Way time.Duration
	// Age is the age of the oldest report used.
	Age time.Duration
	// expectedSum is the sum of expected time, in nanoseconds, times rate.
	expectedSum float64
}

// Add counts a server whose last report has the given age. extra requests were sent there
// since.
func (s *Site) Add(server Server, extra int, age time.Duration) {
	s.Servers++
	s.Slots += server.Slots
	s.Running += server.Running + extra
	s.Waiting += server.Waiting
	s.Age = max(s.Age, age)
	rate := server.Rate()
	s.Rate += rate
	s.expectedSum += rate * float64(server.ExpectedTime(extra))
	if s.Rate > 0 {
		s.Expected = time.Duration(s.expectedSum / s.Rate)
	}
}
