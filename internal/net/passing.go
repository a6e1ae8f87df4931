package net

// System calls that fail although the connection goes on.

import (
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	passingPause = 5 * time.Millisecond // behind a failure, before the call is made again
	passingMost  = 40                   // failures in a row, behind which the connection counts as ended
)

// passingFailures counts the failures in a row of one side of a connection.
type passingFailures int

// again tells whether a call that failed is to be made again, and waits for a moment before it is: the
// system had no memory, say, and the connection stands. Of one that has ended, the system says so.
func (f *passingFailures) again(c net.Conn, err error) bool {
	if *f++; *f > passingMost || !isPassing(err) || rawConn(c) == nil || PeerLeft(c) {
		return false
	}
	time.Sleep(passingPause)
	return true
}

// over ends the row: a call has not failed.
func (f *passingFailures) over() { *f = 0 }

// isPassing tells that an error is the system's, and none that ends a connection.
func isPassing(err error) bool {
	var errno syscall.Errno
	if !errors.As(err, &errno) {
		return false
	}
	switch errno {
	case syscall.ECONNRESET, syscall.ECONNABORTED, syscall.EPIPE, syscall.ENOTCONN, syscall.EBADF,
		syscall.EFAULT, syscall.EINVAL:
		return false
	}
	return true
}

// RetryingReader reads from a connection, again where a read fails and the connection goes on. Only one
// goroutine may use it.
type RetryingReader struct {
	Conn     net.Conn
	failures passingFailures
}

// Read reads once.
func (r *RetryingReader) Read(b []byte) (int, error) {
	for {
		n, err := r.Conn.Read(b)
		if n > 0 || err == nil || !r.failures.again(r.Conn, err) {
			r.failures.over()
			return n, err
		}
	}
}
