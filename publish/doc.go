// Package publish decides which update brings each subscribed process to the
// newest view, and which updates a subscriber accepts.
//
// A Source holds the newest view and the deltas that led to it; control
// instances and relays each have one. It answers a subscriber with the merged
// delta from the revision that the subscriber has, or with the whole view when
// that is shorter or the subscriber is too far behind. A Follower, which is not
// a Raft follower, is the subscriber's side: it applies answers, checks digests,
// and never goes back to an older revision. A Tracker records which revision
// each subscriber has in force. Relays chooses the relays of each data centre:
// subscribers that forward views from control to the others. They have nothing to
// do with package relay, which relays the bytes of flows.
//
// The package does no I/O and reads no clock.
package publish
