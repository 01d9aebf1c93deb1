// Package control assembles a control instance: the replicated state of
// configuration, membership and placement, its publication to other
// processes, and the operators' interface.
package control
