// Package echo is a stand-in for a backend server that echoes and records the bytes
// of each connection. It works on loopback only.
package echo

import (
	"bytes"
	"net"
	"net/netip"
	"sync"

	"github.com/juju/errors"
	"zinniapulley.dev/core"
)

// bufferLen is the size in bytes of a connection's buffer.
const bufferLen = 16 << 10

// Options configures a Server.
type Options struct {
	// Address is the loopback address to listen on. The zero value is any free port
	// of 127.0.0.1.
	Address netip.AddrPort
	// Prefix, if not empty, is what every caller of the service sends first.
	// A connection that begins differently was meant for another service.
	Prefix string
	// MaxRecorded bounds the recorded bytes of each connection.
	MaxRecorded int
}

// Record describes what the server received over one connection.
type Record struct {
	// Bytes is the number of bytes received, Head the first of them.
	Bytes int64
	Head  []byte
	// Open reports whether the connection is open.
	Open bool
}

// Server is a running stand-in.
type Server struct {
	options  Options
	listener *net.TCPListener
	running  sync.WaitGroup

	mu      sync.Mutex
	conns   map[*net.TCPConn]bool
	records []Record
	peak    int
	closed  bool
}

// New starts a server. Its errors are those of the TCP socket.
func New(options Options) (*Server, error) {
	if !options.Address.IsValid() {
		options.Address = netip.MustParseAddrPort("127.0.0.1:0")
	}
	if !options.Address.Addr().IsLoopback() {
		return nil, errors.NotValidf("backend server's address %v", options.Address)
	}
	listener, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(options.Address))
	if err != nil {
		return nil, core.At("listen", core.Peer(options.Address.String()), err)
	}
	s := &Server{options: options, listener: listener, conns: make(map[*net.TCPConn]bool)}
	s.running.Go(s.accept)
	return s, nil
}

// Address returns the address at which the server listens.
func (s *Server) Address() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Records returns the records of all connections in the order of their arrival.
func (s *Server) Records() []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	records := make([]Record, len(s.records))
	for i, record := range s.records {
		records[i] = record
		records[i].Head = bytes.Clone(record.Head)
	}
	return records
}

// Open returns the number of open connections.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Peak returns the highest number of connections that were open at once.
func (s *Server) Peak() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peak
}

// WrongService returns the number of connections that did not begin with the
// prefix.
func (s *Server) WrongService() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	wrong := 0
	for _, record := range s.records {
		length := min(len(record.Head), len(s.options.Prefix))
		if string(record.Head[:length]) != s.options.Prefix[:length] {
			wrong++
		}
	}
	return wrong
}

// Close stops the server and resets its connections.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	s.closed = true
	for conn := range s.conns {
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.running.Wait()
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.AcceptTCP()
		if err != nil {
			return
		}
		index, ok := s.begin(conn)
		if !ok {
			_ = conn.Close()
			return
		}
		s.running.Go(func() { s.serve(conn, index) })
	}
}

// begin registers a connection and returns the index of its record, or false if the
// server is closed.
func (s *Server) begin(conn *net.TCPConn) (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return 0, false
	}
	s.conns[conn] = true
	s.peak = max(s.peak, len(s.conns))
	s.records = append(s.records, Record{Open: true})
	return len(s.records) - 1, true
}

// serve echoes a connection's bytes until the connection ends.
func (s *Server) serve(conn *net.TCPConn, index int) {
	defer s.end(conn, index)
	buffer := make([]byte, bufferLen)
	for {
		n, err := conn.Read(buffer)
		s.recordBytes(index, buffer[:n])
		_, writeErr := conn.Write(buffer[:n])
		if err != nil || writeErr != nil {
			return
		}
	}
}

// recordBytes counts a connection's bytes and records them up to the limit.
func (s *Server) recordBytes(index int, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := &s.records[index]
	record.Bytes += int64(len(data))
	keep := max(s.options.MaxRecorded, len(s.options.Prefix))
	room := min(max(keep-len(record.Head), 0), len(data))
	record.Head = append(record.Head, data[:room]...)
}

func (s *Server) end(conn *net.TCPConn, index int) {
	_ = conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
	s.records[index].Open = false
}
