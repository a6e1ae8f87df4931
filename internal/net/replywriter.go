package net

// Writing replies to a client. The goroutine that serves the client's requests writes them. If its thread
// gets stuck in the write system call, the watchdog finishes the reply: it writes the bytes itself and shuts
// down the sending side, so that the stuck call cannot send anything after them.

import (
	"bytes"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"lapislever/internal/watchdog"
)

// takeoverTicks is the number of whole watchdog ticks for which a reply's write has to be stuck before
// another goroutine takes it over.
const rescueTicks = 3

// tcpEstablished is the state of a connection that neither side has closed (TCP_ESTABLISHED).
const tcpEstablished = 1

// replyWriter is the sending side of a client connection.
type replyWriter struct {
	conn  net.Conn
	raw   syscall.RawConn // nil: not a plain kernel socket
	watch *watchdog.Watchdog

	mu       sync.Mutex // guards the fields below
	sent     uint64     // bytes that the kernel has accepted so far
	rest     []byte     // bytes of the system call in progress; nil: none in progress
	last     bool       // these bytes complete the reply
	rescuers int        // takeovers that may be about to write
	quiet    sync.Cond  // signalled when a takeover has finished
	rescued  bool       // this reply was finished by a takeover, and the sending side is shut down
}

func newReplyWriter(conn net.Conn, watch *watchdog.Watchdog) *replyWriter {
	w := &replyWriter{conn: conn, raw: rawConn(conn), watch: watch}
	w.quiet.L = &w.mu
	return w
}

// replyChunk writes one chunk of a reply at a time.
type replyPiece struct {
	w     *replyWriter
	limit time.Duration // for the write, if the kernel does not accept it immediately
	last  bool
}

// Write writes a chunk. It sets a deadline only once the kernel accepts nothing, as setting one reads the
// clock.
func (p *replyPiece) Write(b []byte) (int, error) {
	w := p.w
	if w.raw == nil {
		_ = w.conn.SetWriteDeadline(time.Now().Add(p.limit))
		return w.conn.Write(b)
	}
	written, limited := 0, false
	var failure error
	var failures passingFailures
	err := w.raw.Write(func(fd uintptr) (done bool) {
		for written < len(b) {
			n, callErr := w.call(int(fd), b[written:], p.last)
			written += n
			if errors.Is(callErr, unix.EAGAIN) {
				if !limited {
					limited = true
					_ = w.conn.SetWriteDeadline(time.Now().Add(p.limit))
				}
				return false
			}
			if callErr != nil && failures.again(w.conn, callErr) {
				continue
			}
			if failure = callErr; failure != nil {
				return true
			}
			failures.over()
		}
		return true
	})
	if limited {
		_ = w.conn.SetWriteDeadline(time.Time{})
	}
	if failure != nil {
		err = failure
	}
	return written, err
}

// writeOnce makes one write system call. It does not return while a takeover may be about to write: by then
// either the sending side is shut down, or nobody else writes any more.
func (w *replyWriter) call(fd int, b []byte, last bool) (int, error) {
	w.mu.Lock()
	w.rest, w.last = b, last
	w.mu.Unlock()
	watched := w.watch.Begin(w.held)
	n, err := write(fd, b)
	w.watch.End(watched)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rest = nil
	if n == len(b) && w.rescuers > 0 && !w.rescued {
		_ = unix.Shutdown(fd, unix.SHUT_WR)
		w.rescued = true
	}
	for w.rescuers > 0 && !w.rescued {
		w.quiet.Wait()
	}
	if w.rescued {
		return len(b), nil
	}
	w.sent += uint64(n)
	return n, err
}

// takeOver finishes the reply on behalf of a system call that is stuck before it has sent a byte. A takeover
// may get stuck too and is then followed by another one. The first to write shuts down the sending side, so
// that the others write nothing.
func (w *replyWriter) held(ticks int) {
	if ticks%rescueTicks != 0 {
		return
	}
	w.mu.Lock()
	if w.rest == nil || !w.last || w.rescued {
		w.mu.Unlock()
		return
	}
	w.rescuers++
	sent, rest := w.sent, bytes.Clone(w.rest)
	w.mu.Unlock()
	done := false
	_ = w.raw.Control(func(fd uintptr) { done = finishReply(int(fd), sent, rest) })
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rescuers--
	w.rescued = w.rescued || done
	w.quiet.Broadcast()
}

// finishReply writes the rest of a reply and shuts down the sending side, unless the kernel has accepted
// bytes beyond the first sent ones in the meantime.
func finishReply(fd int, sent uint64, rest []byte) bool {
	if taken, ok := bytesTaken(fd); !ok || taken != sent {
		return false
	}
	if writeAll(rest, func(b []byte) (int, error) { return write(fd, b) }) == 0 {
		return false
	}
	_ = unix.Shutdown(fd, unix.SHUT_WR)
	return true
}

// writeAll calls write until all bytes are written or a call fails, as the kernel may accept only a part. It
// returns the number of bytes written.
func writeAll(b []byte, write func([]byte) (int, error)) (written int) {
	for written < len(b) {
		n, err := write(b[written:])
		written += n
		if err != nil {
			break
		}
	}
	return written
}

// wasTakenOver reports whether a reply was finished by the watchdog, so that nothing more can be sent.
func (w *replyWriter) wasRescued() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rescued
}

// bytesAccepted returns how many bytes the kernel has accepted from this process on a connection, sent or
// not. ok is false if the kernel does not report it.
func bytesTaken(fd int) (n uint64, ok bool) {
	// Read the queue size first: bytes acknowledged between the two calls then count twice, not zero times.
	queued, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ)
	if err != nil {
		return 0, false
	}
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil || info.State != tcpEstablished {
		return 0, false
	}
	return info.Bytes_acked + uint64(queued), true
}
