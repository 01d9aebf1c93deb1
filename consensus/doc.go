// Package consensus is the core of the replicated log that the control
// instances agree on. It does no I/O and reads no clock: its driver hands it
// typed events with the time in them and carries out the actions it returns.
//
// # Driving a core
//
// The driver builds a core from what its folder holds (Stored), then calls
// Handle for every event: a message came in, a Persist is on disk, an operator
// proposes, and so on. It calls Handle with DeadlineReached when the time that
// Deadline returns has come. Handle is not safe for concurrent use.
//
// # What must be on disk before what
//
// Persist actions carry rising sequence numbers. The driver stores them in that
// order, syncs, and reports the highest synced one with Persisted. Several may
// be outstanding and one sync may cover many of them. A crash may lose any
// suffix of the Persist actions that were not reported.
//
// All other actions may be carried out at once. The core itself keeps back each
// answer that depends on stored state (a vote, the acknowledgement of entries, a
// snapshot's acknowledgement) until the Persist it depends on is reported, so a
// driver can't send it too early.
//
// # Identity
//
// A member is an instance with an incarnation. An instance whose folder is empty
// or damaged comes back under a new incarnation with an empty Stored: it has no
// membership, so it can't campaign, and nobody counts its votes or
// acknowledgements until a leader has made it a learner (AddMember), brought it
// up to date and promoted it. Promotion of an incarnation that replaces an older
// one of the same instance takes two committed changes, each by one member: the
// old incarnation leaves, then the new one becomes a voter. One change that swaps
// both would allow two quorums that share no member.
//
// # Membership
//
// A membership is in force as soon as it is in the log. Changes go one at a
// time: the next one waits until the last is committed, and a new leader makes
// none before it has committed an entry of its own term. Learners that have
// caught up are promoted by the leader.
package consensus
