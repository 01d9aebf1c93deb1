// Package tools pins the versions of the programs that CI runs. Its module
// also holds checks over the whole workspace.
package tools
