// Package waitqueue orders the opening packets that wait for a place at a backend server,
// and shares the places among routes, origins and callers. It does no I/O and reads no
// clock.
//
// It addresses two load patterns. After an outage all callers return at once, and most
// attempts are late already: requests that can still be answered within their objective
// are started before late ones. When a service's capacity is short for long, urgent and
// ordinary requests compete for it: urgent ones are started first, requests without a
// chance are refused at once, and a floor keeps every route and origin served.
package waitqueue
