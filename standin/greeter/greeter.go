// Package greeter is a stand-in for the backend server of a stream service: it
// greets each connection with its names, then sends back what it gets, and
// records both.
package greeter

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"zinniapulley.dev/core"
)

// Identity says which backend server answers.
type Identity struct {
	Service    core.ServiceName
	DataCentre core.DataCentre
	Instance   core.InstanceID
}

// Server is a running stand-in.
type Server struct {
	names    Identity
	listener net.Listener
	lastByte atomic.Int64
	open     atomic.Int64
	peak     atomic.Int64
}

// New starts a server on loopback, at a port of the kernel's choice.
func New(names Identity) (*Server, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, core.At("start backend server", core.Peer(names.Instance), err)
	}
	s := &Server{names: names, listener: listener}
	go s.serve()
	return s, nil
}

// Identity returns which backend server this is.
func (s *Server) Identity() Identity {
	return s.names
}

// Address returns the address at which the server listens.
func (s *Server) Address() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

// LastByte returns when the server last got a byte.
func (s *Server) LastByte() time.Time {
	return time.Unix(0, s.lastByte.Load())
}

// Open returns the number of open connections, and Peak the most there were.
func (s *Server) Open() int {
	return int(s.open.Load())
}

// Peak returns the most connections that were ever open at once.
func (s *Server) Peak() int {
	return int(s.peak.Load())
}

// Close takes no more connections. Open ones end when their callers end them.
func (s *Server) Close() {
	_ = s.listener.Close()
}

func (s *Server) serve() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.notePeak(s.open.Add(1))
		go s.answer(conn)
	}
}

func (s *Server) notePeak(open int64) {
	for peak := s.peak.Load(); open > peak; peak = s.peak.Load() {
		if s.peak.CompareAndSwap(peak, open) {
			return
		}
	}
}

func (s *Server) answer(conn net.Conn) {
	defer s.open.Add(-1)
	defer func() { _ = conn.Close() }()
	_, err := fmt.Fprintf(conn, "%s %s %s\n", s.names.Service, s.names.DataCentre, s.names.Instance)
	if err != nil {
		return
	}
	_, _ = io.Copy(conn, &noted{reader: conn, last: &s.lastByte})
}

// noted notes when it last read a byte.
type noted struct {
	reader io.Reader
	last   *atomic.Int64
}

// Read reads and notes the time.
func (n *noted) Read(buffer []byte) (int, error) {
	count, err := n.reader.Read(buffer)
	if count > 0 {
		n.last.Store(time.Now().UnixNano())
	}
	return count, err
}
