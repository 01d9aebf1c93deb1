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
		c.act(action)
	}
	c.arm()
}

func (c *Companion) act(action dispatch.Action) {
	switch a := action.(type) {
	case dispatch.CallerAction:
		c.forCaller(a.Action)
	case dispatch.SendReserve:
		c.send(a.Peer, true, dispatch.ReserveRequested{Attempt: a.Attempt, Requester: c.id},
			dispatch.RequestEvent{Event: request.ReserveLost{Attempt: a.Attempt}})
	case dispatch.SendRun:
		c.askRun(a)
	case dispatch.SendCancel:
		c.send(a.Peer, true, dispatch.CancelRequested{Attempt: a.Attempt}, nil)
	case dispatch.SendReserveReply:
		c.tellReserved(a)
	case dispatch.SendRunResult:
		c.tellRun(a)
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

// own returns a function that does nothing once the companion has restarted.
func (c *Companion) own(do func()) func() {
	dispatcher := c.dispatcher
	return func() {
		if !c.down && c.dispatcher == dispatcher {
			do()
		}
	}
}

// send delivers an event to a peer; lost, if not nil, comes back when the peer
// can't be reached.
func (c *Companion) send(to core.InstanceID, repeatable bool, event, lost dispatch.Event) {
	peer := c.world.find(to)
	failed := func() {}
	if lost != nil {
		failed = c.own(func() { c.handle(lost) })
	}
	deliver := func() {
		if peer.down {
			c.world.After(c.world.options.Network.Timeout, failed)
			return
		}
		peer.handle(event)
	}
	c.world.send(repeatable, deliver, failed)
}

func (c *Companion) askRun(a dispatch.SendRun) {
	peer := c.world.find(a.Peer)
	broken := c.own(func() {
		c.handle(dispatch.RequestEvent{Event: request.RunEnded{Attempt: a.Attempt, Result: request.RunBroken}})
	})
	token := c.requests[a.Attempt.Request]
	deliver := func() {
		if peer.down {
			broken()
			return
		}
		peer.tokens[a.Attempt] = token
		deadline := c.world.now.Add(a.Timeout)
		peer.handle(dispatch.RunRequested{Attempt: a.Attempt, Requester: c.id, Deadline: deadline, Keyed: a.Keyed})
	}
	c.world.send(false, deliver, broken)
}

func (c *Companion) tellReserved(a dispatch.SendReserveReply) {
	answered := request.ReserveAnswered{Attempt: a.Attempt, Peer: c.id, Granted: a.Granted, Load: a.Load}
	lost := dispatch.RequestEvent{Event: request.ReserveLost{Attempt: a.Attempt}}
	c.tell(a.Requester, true, a.Attempt, dispatch.RequestEvent{Event: answered}, lost)
}

// tell answers an asker, who sees a lost answer as a broken call.
func (c *Companion) tell(to core.InstanceID, repeatable bool, attempt core.AttemptID, event, lost dispatch.Event) {
	asker := c.world.find(to)
	same := func(event dispatch.Event) func() {
		return func() {
			if asker.incarnation == attempt.Request.Incarnation {
				asker.handle(event)
			}
		}
	}
	c.world.send(repeatable, same(event), same(lost))
}

func (c *Companion) tellRun(a dispatch.SendRunResult) {
	load := a.Load
	ended := dispatch.RequestEvent{Event: request.RunEnded{Attempt: a.Attempt, Result: a.Result, Load: &load}}
	broken := dispatch.RequestEvent{Event: request.RunEnded{Attempt: a.Attempt, Result: request.RunBroken}}
	answer := c.answers[a.Attempt]
	c.forget(a.Attempt)
	asker := c.world.find(a.Requester)
	if answer != nil && a.Result == request.RunAnswered {
		answer.whole = true
	}
	// The end of an answer follows its head on the same connection.
	c.world.After(c.world.options.Network.Jitter, func() {
		if !asker.down {
			c.tell(a.Requester, true, a.Attempt, ended, broken)
		}
	})
}

func (c *Companion) forget(attempt core.AttemptID) {
	delete(c.tokens, attempt)
	delete(c.answers, attempt)
}

// answer is the head of an answer, on its way to the asker.
func (c *Companion) answer(attempt core.AttemptID, to core.InstanceID, token Token) *Answer {
	answer := &Answer{token: token}
	c.answers[attempt] = answer
	started := dispatch.RequestEvent{Event: request.AnswerStarted{Attempt: attempt}}
	if to == c.id {
		c.handle(started)
		return answer
	}
	asker := c.world.find(to)
	broken := dispatch.RequestEvent{Event: request.RunEnded{Attempt: attempt, Result: request.RunBroken}}
	c.world.send(false, func() {
		if asker.incarnation == attempt.Request.Incarnation && !asker.down {
			asker.answers[attempt] = answer
			asker.handle(started)
		}
	}, func() { asker.handle(broken) })
	return answer
}

func (c *Companion) execute(a dispatch.Execute) {
	token, ok := c.tokens[a.Attempt]
	if !ok {
		token = c.requests[a.Attempt.Request]
	}
	c.noteRun(token)
	head := c.own(func() { c.answer(a.Attempt, a.Requester, token) })
	report := func(result request.RunResult) {
		c.own(func() { c.executed(a, token, result) })()
	}
	// The connection to the backend server takes a moment, as real ones do.
	c.world.After(100*time.Microsecond, c.own(func() {
		c.Backend.execute(a.Attempt, token, a.Timeout, head, report)
	}))
}

func (c *Companion) noteRun(token Token) {
	s := c.world.Ledger.Submissions[token.Submission]
	if s.FirstRun.IsZero() {
		s.FirstRun = c.world.now
	}
}

func (c *Companion) executed(a dispatch.Execute, token Token, result request.RunResult) {
	if answer := c.answers[a.Attempt]; answer != nil && result == request.RunAnswered {
		answer.whole = true
	}
	recorded := a.Record != nil && result == request.RunAnswered
	if recorded {
		c.recorded[*a.Record] = token
	}
	c.handle(dispatch.Executed{Attempt: a.Attempt, Result: result, Recorded: recorded})
	if a.Requester == c.id {
		c.forget(a.Attempt)
	}
}

// replay fetches a recorded answer from the companion that has it.
func (c *Companion) replay(a dispatch.Replay) {
	holder := c.world.find(a.Holder.Companion)
	failed := c.own(func() { c.handle(dispatch.Replayed{Attempt: a.Attempt}) })
	c.world.send(false, func() {
		token, ok := holder.recorded[a.Holder]
		if holder.down || !ok {
			failed()
			return
		}
		c.world.send(false, c.own(func() {
			c.answer(a.Attempt, a.Requester, token).whole = true
			c.handle(dispatch.Replayed{Attempt: a.Attempt, Complete: true, Started: true})
		}), failed)
	}, failed)
}

func (c *Companion) propose(command claim.Command) {
	dispatcher := c.dispatcher
	hear := func(event claim.Event) {
		if !c.down && c.dispatcher == dispatcher {
			c.handle(dispatch.ClaimEvent{Event: event})
		}
	}
	c.world.commit(command,
		func(result claim.Result) { hear(claim.Resolved{Command: command, Result: result}) },
		func() { hear(claim.Unresolved{Command: command}) })
}

// forCaller gives a caller its outcome and notes it in the ledger.
func (c *Companion) forCaller(action request.Action) {
	ledger := &c.world.Ledger
	now := c.world.now
	switch a := action.(type) {
	case request.Deliver:
		c.delivered[a.Attempt.Request] = a.Attempt
	case request.Discard:
		delete(c.answers, a.Attempt)
	case request.Finish:
		ledger.served(c.release(a.ID), c.answers[c.delivered[a.ID]], now)
		c.forget(c.delivered[a.ID])
		delete(c.delivered, a.ID)
	case request.Abort:
		s := c.release(a.ID)
		s.Aborted = true
		s.Ended = now
		delete(c.delivered, a.ID)
	case request.Refuse:
		ledger.refused(c.release(a.ID), a.Outcome, now)
	}
}

// release returns the caller's submission and ends its wait.
func (c *Companion) release(id core.RequestID) *Submission {
	s := c.waiting[id]
	delete(c.waiting, id)
	return s
}
