// Package session is a stand-in for a caller that holds one long flow to a
// stream service: it sends a message now and then, checks that each comes back
// whole, and records how the flow ended.
package session

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/juju/errors"
	"zinniapulley.dev/core"
	"zinniapulley.dev/standin/greeter"
)

const (
	// openTimeout bounds the opening of a flow, greeting included.
	openTimeout = 5 * time.Second
	// sayEvery is the time between two messages on a flow.
	sayEvery = 200 * time.Millisecond
	// answerTimeout bounds the wait for the answer to one message.
	answerTimeout = 8 * time.Second
)

// ErrWrongAnswer reports an answer that differs from what was sent.
const ErrWrongAnswer = errors.ConstError("wrong answer")

// Cause says how a flow ended.
type Cause string

const (
	// CauseNone marks a flow that still answered when the caller closed it.
	CauseNone Cause = ""
	// CauseRefused marks a flow that was not opened.
	CauseRefused Cause = "refused"
	// CauseReset marks a flow that was reset.
	CauseReset Cause = "reset"
	// CauseClosed marks a flow that the other side closed.
	CauseClosed Cause = "closed early"
	// CauseNoAnswer marks a flow whose message got no answer in time.
	CauseNoAnswer Cause = "no answer"
	// CauseWrongAnswer marks a flow that got an answer to something else.
	CauseWrongAnswer Cause = "wrong answer"
)

// End is what became of a flow.
type End struct {
	// Identity says which backend server greeted the caller.
	Identity greeter.Identity
	// WrongService is whether that was another service's.
	WrongService bool
	Cause        Cause
	// Err is nil for CauseNone.
	Err error
	// At is when the flow ended.
	At time.Time
}

// Session is one caller's flow.
type Session struct {
	service core.ServiceName
	conn    net.Conn
	reader  *bufio.Reader
	stop    chan struct{}
	ended   chan struct{}
	end     End
}

// Open opens a flow, by dial, and starts the session.
func Open(ctx context.Context, service core.ServiceName, dial func(context.Context) (net.Conn, error)) *Session {
	s := &Session{service: service, stop: make(chan struct{}), ended: make(chan struct{})}
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	conn, err := dial(ctx)
	if err != nil {
		s.finish(CauseRefused, err)
		return s
	}
	s.conn = conn
	s.reader = bufio.NewReader(conn)
	err = s.greet()
	if err != nil {
		s.finish(causeOf(err), errors.Annotate(err, "greeting"))
		return s
	}
	go s.talk()
	return s
}

// Service returns the service that the caller asked for.
func (s *Session) Service() core.ServiceName {
	return s.service
}

// Identity returns which backend server greeted the caller.
func (s *Session) Identity() greeter.Identity {
	return s.end.Identity
}

// Close ends the session and returns what became of its flow.
func (s *Session) Close() End {
	close(s.stop)
	<-s.ended
	if s.conn != nil {
		_ = s.conn.Close()
	}
	return s.end
}

func (s *Session) finish(cause Cause, err error) {
	s.end.Cause = cause
	s.end.Err = err
	s.end.At = time.Now()
	close(s.ended)
}

// greet reads which backend server answers.
func (s *Session) greet() error {
	err := s.conn.SetReadDeadline(time.Now().Add(openTimeout))
	if err != nil {
		return errors.Trace(err)
	}
	line, err := s.reader.ReadString('\n')
	if err != nil {
		return errors.Trace(err)
	}
	names := &s.end.Identity
	_, err = fmt.Sscanf(line, "%s %s %s\n", &names.Service, &names.DataCentre, &names.Instance)
	s.end.WrongService = names.Service != s.service
	return errors.Trace(err)
}

// talk sends messages until the session is stopped or the flow breaks.
func (s *Session) talk() {
	ticker := time.NewTicker(sayEvery)
	defer ticker.Stop()
	for turn := 0; ; turn++ {
		err := s.exchange(fmt.Sprintf("%s message %d\n", s.service, turn))
		if err != nil {
			s.finish(causeOf(err), err)
			return
		}
		select {
		case <-ticker.C:
		case <-s.stop:
			s.finish(CauseNone, nil)
			return
		}
	}
}

// exchange sends one message and checks that it comes back whole.
func (s *Session) exchange(message string) error {
	err := s.conn.SetDeadline(time.Now().Add(answerTimeout))
	if err != nil {
		return errors.Trace(err)
	}
	_, err = s.conn.Write([]byte(message))
	if err != nil {
		return errors.Trace(err)
	}
	answer, err := s.reader.ReadString('\n')
	if err != nil {
		return errors.Trace(err)
	}
	if answer != message {
		return errors.Annotatef(ErrWrongAnswer, "sent %q, got back %q", message, answer)
	}
	return nil
}

// causeOf names the error that ended a flow.
func causeOf(err error) Cause {
	var timeout net.Error
	switch {
	case errors.Is(err, ErrWrongAnswer):
		return CauseWrongAnswer
	case errors.Is(err, io.EOF):
		return CauseClosed
	case errors.As(err, &timeout) && timeout.Timeout():
		return CauseNoAnswer
	default:
		return CauseReset
	}
}
