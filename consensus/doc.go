// Package consensus is the Raft core of the log that the control instances
// replicate. It does no I/O and reads no clock: its driver passes in typed events,
// each with the current time, and carries out the actions it returns.
//
// # Driving a core
//
// The driver builds a core from the contents of its data folder (Stored), then
// calls Handle for every event: a message was received, a Persist is synced, a
// client proposes a command, and so on. When the time returned by Deadline is
// reached, it calls Handle with DeadlineReached. Handle is not safe for concurrent
// use.
//
// # Persistence
//
// Persist actions carry increasing sequence numbers. The driver stores them in that
// order, syncs, and reports the highest synced one with Persisted. Several may
// be outstanding and one sync may cover many of them. A crash may lose any
// suffix of the Persist actions that were not reported.
//
// All other actions may be carried out at once. The core itself withholds each
// reply that depends on stored state (a vote, the acknowledgement of entries or of
// a snapshot) until the Persist it depends on is reported, so a driver can't send
// it too early.
//
// # Identity
//
// A member is an instance with an incarnation. An instance whose folder is empty
// or damaged restarts under a new incarnation with an empty Stored. It has no
// membership, so it can't campaign, and its votes and acknowledgements don't count
// until a leader has added it as a learner (AddMember), brought it up to date and
// promoted it. Promoting an incarnation that replaces an older one of the same
// instance takes two committed changes of one member each: the old incarnation is
// removed, then the new one becomes a voter. A single change that swaps both would
// allow two quorums that share no member.
//
// # Membership
//
// A membership is in force as soon as it is in the log. Only one change may be
// uncommitted at a time, and a new leader makes none before it has committed an
// entry of its own term. The leader promotes learners that have caught up.
package consensus
