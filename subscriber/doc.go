// Package subscriber keeps a process's view current. It long-polls a relay of its
// data centre (see publish.Relays), or the leading control instance, over net/rpc, and
// may act as a relay itself: it then forwards views to other processes of its data
// centre, and their reports and heartbeats to control.
//
// A Subscription is part of a process's control state: the process's control loop
// owns it, passes it every Event, and is called with each newer view. The blocking
// calls run in a separate goroutine, which sends their results as events and receives
// the next step in reply. Package publish decides which views are accepted and sent.
package subscriber
