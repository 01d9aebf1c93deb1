package virtual

import (
	"time"

	"zinniapulley.dev/claim"
	"zinniapulley.dev/core"
	"zinniapulley.dev/relay/dispatch"
	"zinniapulley.dev/request"
)

// perform carries out the dispatcher's actions.
func (c *Companion) perform(actions []dispatch.Action) {
	for _, action := range actions {
		c.performOne(action)
	}
	c.arm()
}

func (c *Companion) performOne(action dispatch.Action) {
	switch a := action.(type) {
	case dispatch.CallerAction:
		c.performForCaller(a.Action)
	case dispatch.SendReserve:
		c.send(a.Peer, true, dispatch.ReserveRequested{Attempt: a.Attempt, Requester: c.id},
			dispatch.RequestEvent{Event: request.ReserveLost{Attempt: a.Attempt}})
	case dispatch.SendRun:
		c.sendRun(a)
	case dispatch.SendCancel:
		c.send(a.Peer, true, dispatch.CancelRequested{Attempt: a.Attempt}, nil)
	case dispatch.SendReserveReply:
		c.sendReserveReply(a)
	case dispatch.SendRunResult:
		c.sendRunResult(a)
	case dispatch.Execute:
		c.execute(a)
	case dispatch.StopExecution:
		c.Backend.cancel(a.Attempt)
	case dispatch.Replay:
		c.replay(a)
	case dispatch.Propose:
		c.propose(a.Command)
	case dispatch.QueryHolder:
		c.send(a.Holder.Companion, true,
			dispatch.ClaimEvent{Event: claim.HolderQueried{Requester: c.id, Attempt: a.Attempt, Holder: a.Holder}},
			dispatch.ClaimEvent{Event: claim.HolderAnswered{Attempt: a.Attempt, Status: claim.HolderUnreachable}})
	case dispatch.SendHolderStatus:
		c.send(a.Requester, true, dispatch.ClaimEvent{Event: claim.HolderAnswered{Attempt: a.Attempt, Status: a.Status}}, nil)
	}
}

// ifCurrent returns a function that calls do unless the companion has crashed or
// restarted since.
func (c *Companion) ifCurrent(do func()) func() {
	dispatcher := c.dispatcher
	return func() {
		if !c.down && c.dispatcher == dispatcher {
			do()
		}
	}
}

// send delivers an event to a peer. If the peer can't be reached, the companion itself
// handles lost, which may be nil.
func (c *Companion) send(to core.InstanceID, repeatable bool, event, lost dispatch.Event) {
	peer := c.sim.companion(to)
	failed := func() {}
	if lost != nil {
		failed = c.ifCurrent(func() { c.handle(lost) })
	}
	deliver := func() {
		if peer.down {
			c.sim.After(c.sim.options.Network.Timeout, failed)
			return
		}
		peer.handle(event)
	}
	c.sim.send(repeatable, deliver, failed)
}

func (c *Companion) sendRun(a dispatch.SendRun) {
	peer := c.sim.companion(a.Peer)
	broken := c.ifCurrent(func() {
		c.handle(dispatch.RequestEvent{Event: request.RunEnded{Attempt: a.Attempt, Result: request.RunBroken}})
	})
	token := c.requests[a.Attempt.Request]
	deliver := func() {
		if peer.down {
			broken()
			return
		}
		peer.tokens[a.Attempt] = token
		deadline := c.sim.now.Add(a.Timeout)
		peer.handle(dispatch.RunRequested{Attempt: a.Attempt, Requester: c.id, Deadline: deadline, Keyed: a.Keyed})
	}
	c.sim.send(false, deliver, broken)
}

func (c *Companion) sendReserveReply(a dispatch.SendReserveReply) {
	answered := request.ReserveAnswered{Attempt: a.Attempt, Peer: c.id, Granted: a.Granted, Load: a.Load}
	lost := dispatch.RequestEvent{Event: request.ReserveLost{Attempt: a.Attempt}}
	c.reply(a.Requester, true, a.Attempt, dispatch.RequestEvent{Event: answered}, lost)
}

// reply sends a reply to the requester of an attempt. If the reply is lost, the
// requester handles lost instead.
func (c *Companion) reply(to core.InstanceID, repeatable bool, attempt core.AttemptID, event, lost dispatch.Event) {
	requester := c.sim.companion(to)
	ifSameIncarnation := func(event dispatch.Event) func() {
		return func() {
			if requester.incarnation == attempt.Request.Incarnation {
				requester.handle(event)
			}
		}
	}
	c.sim.send(repeatable, ifSameIncarnation(event), ifSameIncarnation(lost))
}

func (c *Companion) sendRunResult(a dispatch.SendRunResult) {
	load := a.Load
	ended := dispatch.RequestEvent{Event: request.RunEnded{Attempt: a.Attempt, Result: a.Result, Load: &load}}
	broken := dispatch.RequestEvent{Event: request.RunEnded{Attempt: a.Attempt, Result: request.RunBroken}}
	answer := c.answers[a.Attempt]
	c.discardAttempt(a.Attempt)
	requester := c.sim.companion(a.Requester)
	if answer != nil && a.Result == request.RunAnswered {
		answer.complete = true
	}
	// The end of an answer follows its head on the same connection.
	c.sim.After(c.sim.options.Network.Jitter, func() {
		if !requester.down {
			c.reply(a.Requester, true, a.Attempt, ended, broken)
		}
	})
}

func (c *Companion) discardAttempt(attempt core.AttemptID) {
	delete(c.tokens, attempt)
	delete(c.answers, attempt)
}

// startAnswer sends the head of an answer to the requester.
func (c *Companion) startAnswer(attempt core.AttemptID, to core.InstanceID, token Token) *Answer {
	answer := &Answer{token: token}
	c.answers[attempt] = answer
	started := dispatch.RequestEvent{Event: request.AnswerStarted{Attempt: attempt}}
	if to == c.id {
		c.handle(started)
		return answer
	}
	requester := c.sim.companion(to)
	broken := dispatch.RequestEvent{Event: request.RunEnded{Attempt: attempt, Result: request.RunBroken}}
	c.sim.send(false, func() {
		if requester.incarnation == attempt.Request.Incarnation && !requester.down {
			requester.answers[attempt] = answer
			requester.handle(started)
		}
	}, func() { requester.handle(broken) })
	return answer
}

func (c *Companion) execute(a dispatch.Execute) {
	token, ok := c.tokens[a.Attempt]
	if !ok {
		token = c.requests[a.Attempt.Request]
	}
	c.recordFirstRun(token)
	head := c.ifCurrent(func() { c.startAnswer(a.Attempt, a.Requester, token) })
	report := func(result request.RunResult) {
		c.ifCurrent(func() { c.executed(a, token, result) })()
	}
	// Connecting to the backend server takes time.
	c.sim.After(100*time.Microsecond, c.ifCurrent(func() {
		c.Backend.execute(a.Attempt, token, a.Timeout, head, report)
	}))
}

func (c *Companion) recordFirstRun(token Token) {
	s := c.sim.RunLog.Submissions[token.Submission]
	if s.FirstRun.IsZero() {
		s.FirstRun = c.sim.now
	}
}

func (c *Companion) executed(a dispatch.Execute, token Token, result request.RunResult) {
	if answer := c.answers[a.Attempt]; answer != nil && result == request.RunAnswered {
		answer.complete = true
	}
	recorded := a.Record != nil && result == request.RunAnswered
	if recorded {
		c.recorded[*a.Record] = token
	}
	c.handle(dispatch.Executed{Attempt: a.Attempt, Result: result, Recorded: recorded})
	if a.Requester == c.id {
		c.discardAttempt(a.Attempt)
	}
}

// replay fetches a recorded answer from its holder and sends it to the requester.
func (c *Companion) replay(a dispatch.Replay) {
	holder := c.sim.companion(a.Holder.Companion)
	failed := c.ifCurrent(func() { c.handle(dispatch.Replayed{Attempt: a.Attempt}) })
	c.sim.send(false, func() {
		token, ok := holder.recorded[a.Holder]
		if holder.down || !ok {
			failed()
			return
		}
		c.sim.send(false, c.ifCurrent(func() {
			c.startAnswer(a.Attempt, a.Requester, token).complete = true
			c.handle(dispatch.Replayed{Attempt: a.Attempt, Complete: true, Started: true})
		}), failed)
	}, failed)
}

func (c *Companion) propose(command claim.Command) {
	dispatcher := c.dispatcher
	handle := func(event claim.Event) {
		if !c.down && c.dispatcher == dispatcher {
			c.handle(dispatch.ClaimEvent{Event: event})
		}
	}
	c.sim.commit(command,
		func(result claim.Result) { handle(claim.Resolved{Command: command, Result: result}) },
		func() { handle(claim.Unresolved{Command: command}) })
}

// performForCaller delivers an outcome to a caller and records it in the run log.
func (c *Companion) performForCaller(action request.Action) {
	runLog := &c.sim.RunLog
	now := c.sim.now
	switch a := action.(type) {
	case request.Deliver:
		c.delivered[a.Attempt.Request] = a.Attempt
	case request.Discard:
		delete(c.answers, a.Attempt)
	case request.Finish:
		runLog.served(c.takeWaiting(a.ID), c.answers[c.delivered[a.ID]], now)
		c.discardAttempt(c.delivered[a.ID])
		delete(c.delivered, a.ID)
	case request.Abort:
		s := c.takeWaiting(a.ID)
		s.Aborted = true
		s.Ended = now
		delete(c.delivered, a.ID)
	case request.Refuse:
		runLog.refused(c.takeWaiting(a.ID), a.Outcome, now)
	}
}

// takeWaiting removes and returns a waiting submission.
func (c *Companion) takeWaiting(id core.RequestID) *Submission {
	s := c.waiting[id]
	delete(c.waiting, id)
	return s
}
