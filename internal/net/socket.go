package net

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Socket writes messages to a connection and builds each one only when the kernel can accept it.
type Socket struct {
	conn    net.Conn
	raw     syscall.RawConn // nil: not a plain kernel socket
	timeout time.Duration   // per message, from the first write that the kernel does not accept in full
}

// NewSocket returns a Socket for a connection. A message that the kernel does not accept immediately has to
// be written within timeout.
func NewSocket(c net.Conn, timeout time.Duration) *Socket {
	return &Socket{conn: c, raw: rawConn(c), timeout: timeout}
}

// armDeadline starts the write timeout of a message. It reads the clock, so it must not run right before a
// write system call.
func (s *Socket) armDeadline() { _ = s.conn.SetWriteDeadline(time.Now().Add(s.timeout)) }

func rawConn(c net.Conn) syscall.RawConn {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// WriteMessage calls build for a message and writes it. If the kernel accepts no byte, it waits, up to the
// write timeout, and calls build again; an empty message ends the call. Nothing between build and the system
// call may block or take time. tried is called after each try and is told whether bytes were written; if
// some were, it is called once the rest has been written or has failed.
func (s *Socket) WriteMessage(build func() []byte, tried func(written bool)) error {
	if s.raw == nil {
		s.armDeadline()
		message := build()
		if len(message) == 0 {
			return nil
		}
		n, err := s.conn.Write(message)
		tried(n > 0 || err == nil)
		return err
	}
	var message []byte
	var n int
	var failure error
	deadlineSet := false
	var failures transientFailures
	err := s.raw.Write(func(fd uintptr) (done bool) {
		for {
			message = build()
			if len(message) == 0 {
				failure = nil
				return true
			}
			if n, failure = write(int(fd), message); n > 0 {
				return true
			}
			tried(false)
			if errors.Is(failure, unix.EAGAIN) {
				failure = nil
				if !deadlineSet {
					deadlineSet = true
					s.armDeadline()
				}
				return false
			}
			if !failures.retry(s.conn, failure) {
				return true
			}
		}
	})
	if n > 0 {
		if err == nil && n < len(message) {
			if !deadlineSet {
				deadlineSet = true
				s.armDeadline()
			}
			_, err = s.conn.Write(message[n:])
		}
		tried(true)
	}
	if deadlineSet {
		_ = s.conn.SetWriteDeadline(time.Time{})
	}
	if n > 0 {
		return err
	}
	if err == nil {
		err = failure
	}
	return err
}

// write makes one write(2) call, and repeats it if a signal interrupts it. It uses the standard library's
// wrapper, which tells the race detector that everything before the write happens before a read of its bytes.
func write(fd int, b []byte) (int, error) {
	for {
		n, err := syscall.Write(fd, b)
		if err != unix.EINTR {
			return max(n, 0), err
		}
	}
}

// read makes one read(2) call, and repeats it if a signal interrupts it.
func read(fd int, b []byte) (int, error) {
	for {
		n, err := syscall.Read(fd, b)
		if err != unix.EINTR {
			return max(n, 0), err
		}
	}
}

// Abort guarantees that no further byte is sent on a connection, not even by a write that is in progress:
// after shutdown(2) the kernel accepts no more. It does not block.
func Abort(c net.Conn) {
	raw := rawConn(c)
	if raw == nil {
		_ = c.Close()
		return
	}
	_ = raw.Control(func(fd uintptr) { _ = unix.Shutdown(int(fd), unix.SHUT_RDWR) })
}

// arrivalClock tells when bytes that were just read had arrived. The process may have been stalled before it
// read them, but a client's waiting time counts from when it sent them.
type arrivalClock struct {
	raw         syscall.RawConn
	unsupported bool // the kernel does not report arrival times
}

// maxArrivalAge is the longest that bytes can have waited to be read. A higher reported age is not theirs.
const maxArrivalAge = 10 * time.Second

// arrivalTime returns when the last bytes that have been read arrived.
func (a *arrivalClock) arrivalTime(now time.Time) time.Time {
	if a.raw == nil || a.unsupported {
		return now
	}
	age := time.Duration(0)
	_ = a.raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if a.unsupported = err != nil || info.State != tcpEstablished; !a.unsupported {
			age = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	if a.unsupported = a.unsupported || age > maxArrivalAge; a.unsupported {
		return now
	}
	return now.Add(-age)
}

// PeerClosed reports whether the peer has closed the connection or its sending side, regardless of unread
// data before the close. It does not block, and returns false if the kernel cannot tell.
func PeerClosed(c net.Conn) bool {
	raw := rawConn(c)
	if raw == nil {
		return false
	}
	closed := false
	_ = raw.Control(func(fd uintptr) { closed = pollClosed(int32(fd), unix.Poll) })
	return closed
}

// pollClosed checks with poll(2) whether the peer has closed its side.
func pollClosed(fd int32, poll pollFunc) bool {
	return pollNow(fd, unix.POLLRDHUP, poll)&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// hasInput reports whether bytes, the end of the stream or an error wait to be read from a connection. It
// does not block, and returns false if the kernel cannot tell.
func hasInput(c net.Conn) bool {
	raw := rawConn(c)
	if raw == nil {
		return false
	}
	found := false
	_ = raw.Control(func(fd uintptr) { found = pollNow(int32(fd), unix.POLLIN, unix.Poll) != 0 })
	return found
}

// pollFunc is poll(2).
type pollFunc func(fds []unix.PollFd, timeout int) (int, error)

// pollNow returns what poll(2) reports at once for the given events, or 0 if it fails. It repeats a call that
// a signal interrupts, as a failed call does not mean that nothing has happened.
func pollNow(fd int32, events int16, poll pollFunc) int16 {
	fds := []unix.PollFd{{Fd: fd, Events: events}}
	n, err := poll(fds, 0)
	for errors.Is(err, unix.EINTR) || errors.Is(err, unix.EAGAIN) {
		n, err = poll(fds, 0)
	}
	if err != nil || n != 1 {
		return 0
	}
	return fds[0].Revents
}

// AbortAndClose ends a connection whose reader or writer may be in a system call, and waits for neither.
// Close alone would still let such a call send its bytes once its thread resumes, and returns only then: the
// descriptor stays open until all calls on it have returned.
func AbortAndClose(c net.Conn) {
	Abort(c)
	go func() { _ = c.Close() }()
}
