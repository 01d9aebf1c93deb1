package control

import (
	"context"

	"zinniapulley.dev/loop"
	"zinniapulley.dev/wire"
)

// service answers net/rpc calls by sending events to the control loop.
type service struct {
	loop     *loop.Loop[event]
	lifetime context.Context
}

// Watch answers wire.MethodWatch.
func (s *service) Watch(request wire.WatchRequest, reply *wire.WatchReply) error {
	answer, err := loop.Ask(s.lifetime, s.loop, func(r loop.Reply[watchAnswer]) event {
		return watchEvent{request: request, reply: r}
	})
	*reply = answer.reply
	return firstError(err, answer.err)
}

// Floor answers wire.MethodFloor.
func (s *service) Floor(_ wire.FloorRequest, reply *wire.FloorReply) error {
	answer, err := loop.Ask(s.lifetime, s.loop, func(r loop.Reply[floorAnswer]) event {
		return floorEvent{reply: r}
	})
	*reply = answer.reply
	return firstError(err, answer.err)
}

// Report answers wire.MethodReport.
func (s *service) Report(request wire.ReportRequest, _ *wire.ReportReply) error {
	answer, err := loop.Ask(s.lifetime, s.loop, func(r loop.Reply[error]) event {
		return reportEvent{reports: request.Reports, reply: r}
	})
	return firstError(err, answer)
}

// Announce answers wire.MethodAnnounce.
func (s *service) Announce(request wire.AnnounceRequest, reply *wire.AnnounceReply) error {
	answer, err := loop.Ask(s.lifetime, s.loop, func(r loop.Reply[announceAnswer]) event {
		return announceEvent{request: request, reply: r}
	})
	*reply = answer.reply
	return firstError(err, answer.err)
}

// Heartbeat answers wire.MethodHeartbeat.
func (s *service) Heartbeat(request wire.HeartbeatRequest, reply *wire.HeartbeatReply) error {
	answer, err := loop.Ask(s.lifetime, s.loop, func(r loop.Reply[heartbeatAnswer]) event {
		return heartbeatEvent{heartbeats: request.Beats, reply: r}
	})
	*reply = answer.reply
	return firstError(err, answer.err)
}

// Depart answers wire.MethodDepart.
func (s *service) Depart(request wire.DepartRequest, _ *wire.DepartReply) error {
	answer, err := loop.Ask(s.lifetime, s.loop, func(r loop.Reply[error]) event {
		return departEvent{departure: request.Departure, reply: r}
	})
	return firstError(err, answer)
}

// Emptied answers wire.MethodEmptied.
func (s *service) Emptied(request wire.EmptiedRequest, _ *wire.EmptiedReply) error {
	answer, err := loop.Ask(s.lifetime, s.loop, func(r loop.Reply[error]) event {
		return emptiedEvent{backendServer: request.BackendServer, revision: request.Revision, buckets: request.Buckets, reply: r}
	})
	return firstError(err, answer)
}

func firstError(first, second error) error {
	if first != nil {
		return first
	}
	return second
}
