// Package publish decides what each subscribed instance is sent to bring it
// to the newest view: a delta from the revision it has, or the whole view.
// It does no I/O and reads no clock.
package publish
