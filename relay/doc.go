// Package relay terminates callers' flows in a companion with a TCP stack
// library and relays them to the backend server.
package relay
