// Package operator is the operators' interface of a control instance: HTTP with
// JSON bodies. NewHandler serves any implementation of Control; Client calls it.
// Neither contains decision logic.
package operator
