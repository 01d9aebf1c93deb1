// Package greeter is a stand-in for the backend server of a stream service. It
// greets each connection with its identity and then echoes what it receives. It
// counts connections and records when it last received a byte.
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

// Identity identifies a backend server.
type Identity struct {
	Service    core.ServiceName
	DataCentre core.DataCentre
	Instance   core.InstanceID
}

// Server is a running stand-in.
type Server struct {
	identity Identity
	listener net.Listener
	lastByte atomic.Int64
	open     atomic.Int64
	peak     atomic.Int64
}

// New starts a server on a free loopback port.
func New(identity Identity) (*Server, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, core.At("start backend server", core.Peer(identity.Instance), err)
	}
	s := &Server{identity: identity, listener: listener}
	go s.serve()
	return s, nil
}

// Identity returns the identity that the server greets with.
func (s *Server) Identity() Identity {
	return s.identity
}

// Address returns the address at which the server listens.
func (s *Server) Address() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

// LastByte returns when the server last received a byte.
func (s *Server) LastByte() time.Time {
	return time.Unix(0, s.lastByte.Load())
}

// Open returns the number of open connections.
func (s *Server) Open() int {
	return int(s.open.Load())
}

// Peak returns the highest number of connections that were open at once.
func (s *Server) Peak() int {
	return int(s.peak.Load())
}

// Close stops accepting connections. Open ones last until their callers close them.
func (s *Server) Close() {
	_ = s.listener.Close()
}

func (s *Server) serve() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.recordPeak(s.open.Add(1))
		go s.serveConn(conn)
	}
}

func (s *Server) recordPeak(open int64) {
	for peak := s.peak.Load(); open > peak; peak = s.peak.Load() {
		if s.peak.CompareAndSwap(peak, open) {
			return
		}
	}
}

func (s *Server) serveConn(conn net.Conn) {
	defer s.open.Add(-1)
	defer func() { _ = conn.Close() }()
	_, err := fmt.Fprintf(conn, "%s %s %s\n", s.identity.Service, s.identity.DataCentre, s.identity.Instance)
	if err != nil {
		return
	}
	_, _ = io.Copy(conn, &timedReader{reader: conn, last: &s.lastByte})
}

// timedReader records when it last read a byte.
type timedReader struct {
	reader io.Reader
	last   *atomic.Int64
}

// Read implements io.Reader.
func (r *timedReader) Read(buffer []byte) (int, error) {
	count, err := r.reader.Read(buffer)
	if count > 0 {
		r.last.Store(time.Now().UnixNano())
	}
	return count, err
}
