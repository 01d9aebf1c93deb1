// Package operator is the operators' interface of a control instance: HTTP with
// JSON bodies. Handler serves it in front of any implementation of Control;
// Client calls it. Neither takes decisions.
package operator
