// Package systemtest tests the roles of pass-through forwarding together, each with
// its own sockets and files, between callers and backend servers that exchange the
// platform's packets.
package systemtest
