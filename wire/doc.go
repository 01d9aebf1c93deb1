// Package wire holds the encodings of everything that processes of the system
// exchange: packets between the fabric, entry instances and companions, and
// messages over net/rpc. It makes no decisions.
package wire
