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

// Cause is how a spliced flow ended.
type Cause uint8

const (
	// CauseClosed: both sides closed and all bytes were relayed.
	CauseClosed Cause = iota + 1
	// CauseCallerReset: the caller reset the flow.
	CauseCallerReset
	// CauseCallerTimeout: the caller stopped acknowledging packets.
	CauseCallerTimeout
	// CauseBackendReset: the backend server reset or refused the connection.
	CauseBackendReset
	// CauseBackendClosed: the backend server closed before it had accepted all of
	// the caller's bytes. All its own bytes were relayed.
	CauseBackendClosed
	// CauseAborted: the context ended, which reset both sides.
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

// bufferLen is the size of a copy buffer in bytes.
const bufferLen = 32 << 10

// buffers holds copy buffers. A direction uses one only while it has bytes to copy.
var buffers = sync.Pool{New: func() any {
	buffer := make([]byte, bufferLen)
	return &buffer
}}

// Splice relays bytes between a flow and the connection to a backend server until
// both directions have ended, and then closes both. A half-close or a reset of one
// side is propagated to the other. The end of the context resets both.
func Splice(ctx context.Context, flow Flow, backend *net.TCPConn) End {
	s := splice{flow: flow, backend: backend}
	stop := context.AfterFunc(ctx, func() { s.abort(CauseAborted, context.Cause(ctx)) })
	var callerCopy sync.WaitGroup
	callerCopy.Go(s.copyFromCaller)
	s.copyToCaller()
	callerCopy.Wait()
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
	// backendWriteErr is the error of the failed write to the backend server, if any.
	// It is written by copyFromCaller and read after that has returned.
	backendWriteErr error
}

// failure is the first failure of a splice.
type failure struct {
	cause Cause
	err   error
}

// abort records the first failure and resets both sides.
func (s *splice) abort(cause Cause, err error) {
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
	if s.backendWriteErr != nil {
		end.Cause = CauseBackendClosed
		end.Err = s.backendWriteErr
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
			s.abort(callerCause(err), err)
			return
		}
		done := s.relayFromCaller()
		if done {
			return
		}
	}
}

// relayFromCaller relays one buffer and reports whether the direction has ended.
func (s *splice) relayFromCaller() bool {
	buffer := buffers.Get().(*[]byte)
	defer buffers.Put(buffer)
	n, err := s.flow.Read(*buffer)
	if n > 0 {
		written, writeErr := s.backend.Write((*buffer)[:n])
		s.fromCaller.Add(int64(written))
		if writeErr != nil {
			// The backend server may still send an answer, which decides how the
			// flow ends.
			s.backendWriteErr = writeErr
			return true
		}
	}
	if errors.Is(err, io.EOF) {
		_ = s.backend.CloseWrite()
		return true
	}
	if err != nil {
		s.abort(callerCause(err), err)
		return true
	}
	return false
}

// copyToCaller relays the backend server's bytes to the flow.
func (s *splice) copyToCaller() {
	raw, err := s.backend.SyscallConn()
	if err != nil {
		s.abort(CauseBackendReset, err)
		return
	}
	for {
		buffer, n, err := readWhenReady(raw)
		if err != nil {
			s.abort(CauseBackendReset, err)
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
			s.abort(callerCause(err), err)
			return
		}
	}
}

// readWhenReady waits until the connection is readable, and only then takes a
// buffer and reads into it. Zero bytes mean the end of the stream.
func readWhenReady(raw syscall.RawConn) (*[]byte, int, error) {
	var buffer *[]byte
	var n int
	var readErr error
	err := raw.Read(func(fd uintptr) bool {
		buffer = buffers.Get().(*[]byte)
		n, readErr = readIgnoringEINTR(int(fd), *buffer)
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

// readIgnoringEINTR repeats a read that a signal interrupts.
func readIgnoringEINTR(fd int, buffer []byte) (int, error) {
	for {
		n, err := syscall.Read(fd, buffer)
		if err != syscall.EINTR {
			return n, err
		}
	}
}

// resetBackend closes the connection to a backend server with a TCP reset.
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
