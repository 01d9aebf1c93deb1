// Package demo runs all roles in one process on loopback, with small
// backend servers and callers.
package demo
