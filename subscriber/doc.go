// Package subscriber keeps one process's view current. It watches a relay of
// its data centre, or the leading control instance, by long poll over net/rpc,
// and may itself pass views on to others of its data centre.
//
// A Subscription is part of a process's control state: the process's control
// loop owns it, hands it every Event, and is told of each newer view. The
// blocking calls run in a goroutine of their own, which posts their results as
// events and is told what to do next. What is accepted and sent on is decided
// by package publish.
package subscriber
