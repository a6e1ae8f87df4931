package net

// Retries of system calls that failed transiently while the connection itself is still up.

import (
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	retryPause           = 5 * time.Millisecond // between a failure and the retry
	maxTransientFailures = 40                   // consecutive failures, then the connection counts as closed
)

// transientFailures counts the consecutive failures of one direction of a connection.
type transientFailures int

// retry reports whether a failed call should be retried, and if so waits briefly first. For example, the
// kernel may have been out of memory while the connection is up. If the peer has closed it, retry returns
// false.
func (f *transientFailures) retry(c net.Conn, err error) bool {
	if *f++; *f > maxTransientFailures || !isTransient(err) || rawConn(c) == nil || PeerClosed(c) {
		return false
	}
	time.Sleep(retryPause)
	return true
}

// reset clears the count after a successful call.
func (f *transientFailures) reset() { *f = 0 }

// isTransient reports whether an error comes from the kernel and does not mean that the connection is closed.
func isTransient(err error) bool {
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

// RetryingReader reads from a connection and retries reads that fail transiently. It is not safe for
// concurrent use.
type RetryingReader struct {
	conn     net.Conn
	raw      syscall.RawConn // nil: not a plain kernel socket
	failures transientFailures
}

// NewRetryingReader returns a reader for a connection.
func NewRetryingReader(c net.Conn) *RetryingReader { return &RetryingReader{conn: c, raw: rawConn(c)} }

// Read reads once from the connection, retrying transient failures.
func (r *RetryingReader) Read(b []byte) (int, error) {
	for {
		n, err := r.conn.Read(b)
		if n > 0 || err == nil || !r.failures.retry(r.conn, err) {
			r.failures.reset()
			return n, err
		}
	}
}

// ReadWaiting reads once what has come on the connection, and does not wait for more. It returns 0 if nothing
// has, or if the read fails: the next Read tells how.
func (r *RetryingReader) ReadWaiting(b []byte) (n int) {
	if r.raw == nil {
		return 0
	}
	_ = r.raw.Read(func(fd uintptr) (done bool) {
		n, _ = read(int(fd), b)
		return true
	})
	return n
}
