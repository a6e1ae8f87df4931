package net

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Socket writes messages to a connection, each put together at the very moment at which the system takes it.
type Socket struct {
	c     net.Conn
	raw   syscall.RawConn // nil: the connection is not the system's own
	limit time.Duration   // for a message, from when the system first does not take it whole
}

// NewSocket returns the socket of a connection on which a message that the system does not take at once may
// take as long as the limit says.
func NewSocket(c net.Conn, limit time.Duration) *Socket {
	return &Socket{c: c, raw: rawConn(c), limit: limit}
}

// setLimit begins the time of a message. That takes looks at clocks, which must not come before a system
// call.
func (s *Socket) setLimit() { _ = s.c.SetWriteDeadline(time.Now().Add(s.limit)) }

func rawConn(c net.Conn) syscall.RawConn {
	system, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// WriteMessage has a message put together by begin and writes it. Where the system takes no byte it waits,
// within the socket's limit, and has begin called again; an empty message ends the call. Between
// begin and the system call there is nothing that may wait or take time. tried is called when a try is over,
// with whether bytes have gone out: where some have, once the rest has followed or has failed.
func (s *Socket) WriteMessage(begin func() []byte, tried func(out bool)) error {
	if s.raw == nil {
		s.setLimit()
		message := begin()
		if len(message) == 0 {
			return nil
		}
		n, err := s.c.Write(message)
		tried(n > 0 || err == nil)
		return err
	}
	var message []byte
	var n int
	var failure error
	limited := false
	var failures passingFailures
	err := s.raw.Write(func(fd uintptr) (done bool) {
		for {
			message = begin()
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
				if !limited {
					limited = true
					s.setLimit()
				}
				return false
			}
			if !failures.again(s.c, failure) {
				return true
			}
		}
	})
	if n > 0 {
		if err == nil && n < len(message) {
			if !limited {
				limited = true
				s.setLimit()
			}
			_, err = s.c.Write(message[n:])
		}
		tried(true)
	}
	if limited {
		_ = s.c.SetWriteDeadline(time.Time{})
	}
	if n > 0 {
		return err
	}
	if err == nil {
		err = failure
	}
	return err
}

// write makes one write(2), again where a signal has broken in. It is the standard library's, which tells
// the race detector that what came before it comes before a read of the bytes.
func write(fd int, b []byte) (int, error) {
	for {
		n, err := syscall.Write(fd, b)
		if err != unix.EINTR {
			return max(n, 0), err
		}
	}
}

// Abort makes it impossible that another byte goes out on a connection, also by a write that has been begun:
// after a shutdown the system takes no more. It does not wait.
func Abort(c net.Conn) {
	raw := rawConn(c)
	if raw == nil {
		_ = c.Close()
		return
	}
	_ = raw.Control(func(fd uintptr) { _ = unix.Shutdown(int(fd), unix.SHUT_RDWR) })
}

// arrivals tells when bytes that were just read had come. The process may have been held up before it read
// them, and what a client waits for counts from when it sent them.
type arrivals struct {
	raw  syscall.RawConn
	mute bool // the system does not say
}

// arrivalMost is how long bytes may have waited at most: what is told to be older is no time of theirs.
const arrivalMost = 10 * time.Second

// at is when the last bytes came that were read by now.
func (a *arrivals) at(now time.Time) time.Time {
	if a.raw == nil || a.mute {
		return now
	}
	age := time.Duration(0)
	_ = a.raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if a.mute = err != nil || info.State != tcpEstablished; !a.mute {
			age = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	if a.mute = a.mute || age > arrivalMost; a.mute {
		return now
	}
	return now.Add(-age)
}

// PeerLeft looks whether the other side of a connection has closed it or its sending side, without waiting
// and whatever lies unread before the end. Where the system can't tell it is false.
func PeerLeft(c net.Conn) bool {
	raw := rawConn(c)
	if raw == nil {
		return false
	}
	left := false
	_ = raw.Control(func(fd uintptr) { left = hasEnded(int32(fd), unix.Poll) })
	return left
}

// hasEnded looks by poll(2) whether the other side of a connection has ended, again where a signal has
// broken in: a look that failed says nothing.
func hasEnded(fd int32, poll func(fds []unix.PollFd, timeout int) (int, error)) bool {
	look := []unix.PollFd{{Fd: fd, Events: unix.POLLRDHUP}}
	n, err := poll(look, 0)
	for errors.Is(err, unix.EINTR) || errors.Is(err, unix.EAGAIN) {
		n, err = poll(look, 0)
	}
	return err == nil && n == 1 && look[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// AbortAndClose closes a connection whose writer may be in a system call: closing alone would let that call put out its
// bytes first, whenever its thread goes on, as the descriptor is kept until the call returns.
func AbortAndClose(c net.Conn) {
	Abort(c)
	_ = c.Close()
}
