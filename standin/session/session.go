// Package session is a stand-in for a caller with one long-lived flow to a stream
// service. It sends messages at intervals, checks that each is echoed unchanged, and
// records how the flow ended.
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
	// openTimeout bounds the dial and, separately, the wait for the greeting.
	openTimeout = 5 * time.Second
	// messageInterval is the time between two messages on a flow.
	messageInterval = 200 * time.Millisecond
	// answerTimeout bounds the exchange of one message.
	answerTimeout = 8 * time.Second
)

// ErrWrongAnswer reports an answer that differs from what was sent.
const ErrWrongAnswer = errors.ConstError("wrong answer")

// Cause is how a flow ended.
type Cause string

const (
	// CauseNone marks a flow that worked until the caller closed it.
	CauseNone Cause = ""
	// CauseRefused marks a flow that could not be opened.
	CauseRefused Cause = "refused"
	// CauseReset marks a flow that was reset.
	CauseReset Cause = "reset"
	// CauseClosed marks a flow that the other side closed.
	CauseClosed Cause = "closed early"
	// CauseNoAnswer marks a flow on which an answer timed out.
	CauseNoAnswer Cause = "no answer"
	// CauseWrongAnswer marks a flow on which an answer differed from the message.
	CauseWrongAnswer Cause = "wrong answer"
)

// End describes how a flow ended.
type End struct {
	// Identity is that of the backend server that greeted the caller.
	Identity greeter.Identity
	// WrongService reports whether that server is of another service.
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

// Open opens a flow with dial and starts the session. A failure is reported by Close.
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
	err = s.readGreeting()
	if err != nil {
		s.finish(causeOf(err), errors.Annotate(err, "greeting"))
		return s
	}
	go s.run()
	return s
}

// Service returns the service that the caller connected to.
func (s *Session) Service() core.ServiceName {
	return s.service
}

// Identity returns the identity of the backend server that greeted the caller.
func (s *Session) Identity() greeter.Identity {
	return s.end.Identity
}

// Close ends the session and returns how its flow ended.
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

// readGreeting reads the identity of the backend server.
func (s *Session) readGreeting() error {
	err := s.conn.SetReadDeadline(time.Now().Add(openTimeout))
	if err != nil {
		return errors.Trace(err)
	}
	line, err := s.reader.ReadString('\n')
	if err != nil {
		return errors.Trace(err)
	}
	identity := &s.end.Identity
	_, err = fmt.Sscanf(line, "%s %s %s\n", &identity.Service, &identity.DataCentre, &identity.Instance)
	s.end.WrongService = identity.Service != s.service
	return errors.Trace(err)
}

// run sends messages until the session is closed or the flow breaks.
func (s *Session) run() {
	ticker := time.NewTicker(messageInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		err := s.exchange(fmt.Sprintf("%s message %d\n", s.service, n))
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

// exchange sends one message and checks that it is echoed unchanged.
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

// causeOf returns the cause for an error that ended a flow.
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
