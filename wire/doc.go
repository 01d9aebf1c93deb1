// Package wire holds all encodings of the system: Geneve packets between
// the fabric, entry instances and companions, and the messages that its
// processes exchange over net/rpc. It takes no decisions.
package wire
