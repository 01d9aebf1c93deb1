package relay

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/juju/errors"
)

// Cause says how a spliced flow ended.
type Cause uint8

const (
	// CauseClosed: both sides closed and all bytes were relayed.
	CauseClosed Cause = iota + 1
	// CauseCallerReset: the caller reset the flow.
	CauseCallerReset
	// CauseCallerTimeout: the caller left packets unacknowledged.
	CauseCallerTimeout
	// CauseBackendReset: the backend server reset or refused the connection.
	CauseBackendReset
	// CauseBackendClosed: the backend server closed before it had taken all of
	// the caller's bytes. All its own bytes were relayed.
	CauseBackendClosed
	// CauseAborted: the system cut the flow, by the context.
	CauseAborted
)

// String returns the cause's name.
func (c Cause) String() string {
	switch c {
	case CauseClosed:
		return "closed"
	case CauseCallerReset:
		return "caller reset"
	case CauseCallerTimeout:
		return "caller timeout"
	case CauseBackendReset:
		return "backend server reset"
	case CauseBackendClosed:
		return "backend server closed early"
	case CauseAborted:
		return "cut"
	default:
		return "unknown"
	}
}

// End is the outcome of a spliced flow.
type End struct {
	Cause Cause
	// FromCaller and ToCaller are the bytes relayed in each direction.
	FromCaller int64
	ToCaller   int64
	// Err is the error that ended the flow, nil for CauseClosed.
	Err error
}

// bufferLen is the size in bytes of a copy buffer.
const bufferLen = 32 << 10

// buffers holds copy buffers. A direction holds one only while bytes move.
var buffers = sync.Pool{New: func() any {
	buffer := make([]byte, bufferLen)
	return &buffer
}}

// Splice relays bytes between a flow and the connection to a backend server
// until both directions have ended, and closes both. A side that closes its
// half is passed on as such; a reset on one side becomes a reset on the other.
// The context's end resets both.
func Splice(ctx context.Context, flow Flow, backend *net.TCPConn) End {
	s := splice{flow: flow, backend: backend}
	stop := context.AfterFunc(ctx, func() { s.fail(CauseAborted, context.Cause(ctx)) })
	var up sync.WaitGroup
	up.Go(s.copyFromCaller)
	s.copyToCaller()
	up.Wait()
	stop()
	return s.end()
}

// splice is one relayed flow.
type splice struct {
	flow    Flow
	backend *net.TCPConn

	fromCaller atomic.Int64
	toCaller   atomic.Int64
	failure    atomic.Pointer[failure]
	// refused is the error by which the backend server took no more bytes. It
	// is written by copyFromCaller, and read after that has ended.
	refused error
}

// failure is the first fault of a splice.
type failure struct {
	cause Cause
	err   error
}

// fail notes the first fault and resets both sides.
func (s *splice) fail(cause Cause, err error) {
	if !s.failure.CompareAndSwap(nil, &failure{cause: cause, err: err}) {
		return
	}
	s.flow.Abort()
	resetBackend(s.backend)
}

func (s *splice) end() End {
	end := End{Cause: CauseClosed, FromCaller: s.fromCaller.Load(), ToCaller: s.toCaller.Load()}
	first := s.failure.Load()
	if first != nil {
		end.Cause = first.cause
		end.Err = first.err
		return end
	}
	if s.refused != nil {
		end.Cause = CauseBackendClosed
		end.Err = s.refused
	}
	_ = s.flow.Close()
	_ = s.backend.Close()
	return end
}

// copyFromCaller relays the flow's bytes to the backend server.
func (s *splice) copyFromCaller() {
	for {
		err := s.flow.WaitReadable(context.Background())
		if err != nil {
			s.fail(callerCause(err), err)
			return
		}
		done := s.moveFromCaller()
		if done {
			return
		}
	}
}

// moveFromCaller relays one buffer and reports whether the direction ended.
func (s *splice) moveFromCaller() bool {
	buffer := buffers.Get().(*[]byte)
	defer buffers.Put(buffer)
	n, err := s.flow.Read(*buffer)
	if n > 0 {
		written, writeErr := s.backend.Write((*buffer)[:n])
		s.fromCaller.Add(int64(written))
		if writeErr != nil {
			// What the backend server still answers decides how the flow ends.
			s.refused = writeErr
			return true
		}
	}
	if errors.Is(err, io.EOF) {
		_ = s.backend.CloseWrite()
		return true
	}
	if err != nil {
		s.fail(callerCause(err), err)
		return true
	}
	return false
}

// copyToCaller relays the backend server's bytes to the flow.
func (s *splice) copyToCaller() {
	raw, err := s.backend.SyscallConn()
	if err != nil {
		s.fail(CauseBackendReset, err)
		return
	}
	for {
		buffer, n, err := readWhenReady(raw)
		if err != nil {
			s.fail(CauseBackendReset, err)
			return
		}
		if n == 0 {
			buffers.Put(buffer)
			_ = s.flow.CloseWrite()
			return
		}
		written, err := s.flow.Write((*buffer)[:n])
		buffers.Put(buffer)
		s.toCaller.Add(int64(written))
		if err != nil {
			s.fail(callerCause(err), err)
			return
		}
	}
}

// readWhenReady waits until the connection has bytes or its end, and only then
// takes a buffer and reads into it. Zero bytes mean the end.
func readWhenReady(raw syscall.RawConn) (*[]byte, int, error) {
	var buffer *[]byte
	var n int
	var readErr error
	err := raw.Read(func(fd uintptr) bool {
		buffer = buffers.Get().(*[]byte)
		n, readErr = readRetrying(int(fd), *buffer)
		if readErr == syscall.EAGAIN {
			buffers.Put(buffer)
			return false
		}
		return true
	})
	if err != nil {
		return nil, 0, errors.Trace(err)
	}
	if readErr != nil {
		buffers.Put(buffer)
		return nil, 0, errors.Trace(readErr)
	}
	return buffer, n, nil
}

// readRetrying reads, again if a signal interrupts it.
func readRetrying(fd int, buffer []byte) (int, error) {
	for {
		n, err := syscall.Read(fd, buffer)
		if err != syscall.EINTR {
			return n, err
		}
	}
}

// resetBackend closes the connection to a backend server with a reset.
func resetBackend(backend *net.TCPConn) {
	_ = backend.SetLinger(0)
	_ = backend.Close()
}

func callerCause(err error) Cause {
	if errors.Is(err, ErrTimeout) {
		return CauseCallerTimeout
	}
	return CauseCallerReset
}
