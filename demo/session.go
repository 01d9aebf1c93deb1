package demo

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"time"

	"github.com/juju/errors"
	"zinniapulley.dev/core"
)

const (
	// openTimeout bounds the opening of a flow, greeting included.
	openTimeout = 5 * time.Second
	// sayEvery is the time between two messages on a flow.
	sayEvery = 200 * time.Millisecond
	// answerTimeout bounds the wait for the answer to one message.
	answerTimeout = 8 * time.Second
)

// errAnswer reports an answer that differs from what was sent.
const errAnswer = errors.ConstError("wrong answer")

// sessionEnd is what became of a flow.
type sessionEnd struct {
	dataCentre   core.DataCentre
	instance     core.InstanceID
	refused      bool
	wrongService bool
	// err is nil if the flow still answered at the end.
	err error
}

// session is one caller's flow: it sends a message now and then and checks the
// answer.
type session struct {
	service core.ServiceName
	conn    net.Conn
	reader  *bufio.Reader
	stop    chan struct{}
	ended   chan struct{}
	end     sessionEnd
}

// open starts a session over a new flow. dial opens the flow.
func open(ctx context.Context, service core.ServiceName, dial func(context.Context) (net.Conn, error)) *session {
	s := &session{service: service, stop: make(chan struct{}), ended: make(chan struct{})}
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	conn, err := dial(ctx)
	if err != nil {
		s.end.refused = true
		s.end.err = errors.Trace(err)
		close(s.ended)
		return s
	}
	s.conn = conn
	s.reader = bufio.NewReader(conn)
	err = s.greet()
	if err != nil {
		s.end.err = errors.Annotate(err, "greeting")
		close(s.ended)
		return s
	}
	go s.talk()
	return s
}

// greet reads which backend server answers.
func (s *session) greet() error {
	err := s.conn.SetReadDeadline(time.Now().Add(openTimeout))
	if err != nil {
		return errors.Trace(err)
	}
	line, err := s.reader.ReadString('\n')
	if err != nil {
		return errors.Trace(err)
	}
	var service core.ServiceName
	_, err = fmt.Sscanf(line, "%s %s %s\n", &service, &s.end.dataCentre, &s.end.instance)
	s.end.wrongService = service != s.service
	return errors.Trace(err)
}

// talk sends messages until the session is stopped or the flow breaks.
func (s *session) talk() {
	defer close(s.ended)
	ticker := time.NewTicker(sayEvery)
	defer ticker.Stop()
	for turn := 0; ; turn++ {
		s.end.err = s.exchange(fmt.Sprintf("%s message %d\n", s.service, turn))
		if s.end.err != nil {
			return
		}
		select {
		case <-ticker.C:
		case <-s.stop:
			return
		}
	}
}

// exchange sends one message and checks that it comes back whole.
func (s *session) exchange(message string) error {
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
		return errors.Annotatef(errAnswer, "sent %q, got back %q", message, answer)
	}
	return nil
}

// close ends the session and returns what became of its flow.
func (s *session) close() sessionEnd {
	close(s.stop)
	<-s.ended
	if s.conn != nil {
		_ = s.conn.Close()
	}
	return s.end
}
