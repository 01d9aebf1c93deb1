// Package publish decides what each subscribed process is sent to bring it to
// the newest view, and what it accepts.
//
// A Source holds the newest view and the deltas that led to it; control
// instances and relays each have one. It answers a subscriber with the merged
// delta from the revision that the subscriber has, or with the whole view when
// that is shorter or the subscriber is too far behind. A Follower is the
// subscriber's side: it applies answers, checks digests, and never goes back to
// an older revision. A Tracker knows who has put which revision in force. Relays
// says which processes pass views on within their data centre.
//
// The package does no I/O and reads no clock.
package publish
