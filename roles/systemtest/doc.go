// Package systemtest tests the roles of pass-through forwarding together, each
// with its own sockets and files, between callers and backend servers that speak
// the platform's packets.
package systemtest
