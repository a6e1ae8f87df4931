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
const takeoverTicks = 3

// tcpEstablished is the state of a connection that neither side has closed (TCP_ESTABLISHED).
const tcpEstablished = 1

// replyWriter is the sending side of a client connection.
type replyWriter struct {
	conn     net.Conn
	raw      syscall.RawConn // nil: not a plain kernel socket
	watchdog *watchdog.Watchdog

	mu           sync.Mutex // guards the fields below
	sent         uint64     // bytes that the kernel has accepted so far
	pending      []byte     // bytes of the system call in progress; nil: none in progress
	final        bool       // these bytes complete the reply
	takeovers    int        // takeovers that may be about to write
	takeoverDone sync.Cond  // signalled when a takeover has finished
	takenOver    bool       // this reply was finished by a takeover, and the sending side is shut down
}

func newReplyWriter(conn net.Conn, watch *watchdog.Watchdog) *replyWriter {
	w := &replyWriter{conn: conn, raw: rawConn(conn), watchdog: watch}
	w.takeoverDone.L = &w.mu
	return w
}

// replyChunk writes one chunk of a reply at a time.
type replyChunk struct {
	w       *replyWriter
	timeout time.Duration // for the write, if the kernel does not accept it immediately
	final   bool
}

// Write writes a chunk. It sets a deadline only once the kernel accepts nothing, as setting one reads the
// clock.
func (p *replyChunk) Write(b []byte) (int, error) {
	w := p.w
	if w.raw == nil {
		_ = w.conn.SetWriteDeadline(time.Now().Add(p.timeout))
		return w.conn.Write(b)
	}
	written, deadlineSet := 0, false
	var failure error
	var failures transientFailures
	err := w.raw.Write(func(fd uintptr) (done bool) {
		for written < len(b) {
			n, callErr := w.writeOnce(int(fd), b[written:], p.final)
			written += n
			if errors.Is(callErr, unix.EAGAIN) {
				if !deadlineSet {
					deadlineSet = true
					_ = w.conn.SetWriteDeadline(time.Now().Add(p.timeout))
				}
				return false
			}
			if callErr != nil && failures.retry(w.conn, callErr) {
				continue
			}
			if failure = callErr; failure != nil {
				return true
			}
			failures.reset()
		}
		return true
	})
	if deadlineSet {
		_ = w.conn.SetWriteDeadline(time.Time{})
	}
	if failure != nil {
		err = failure
	}
	return written, err
}

// writeOnce makes one write system call. It does not return while a takeover may be about to write: by then
// either the sending side is shut down, or nobody else writes any more.
func (w *replyWriter) writeOnce(fd int, b []byte, final bool) (int, error) {
	w.mu.Lock()
	w.pending, w.final = b, final
	w.mu.Unlock()
	call := w.watchdog.Begin(w.takeOver)
	n, err := write(fd, b)
	w.watchdog.End(call)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending = nil
	if n == len(b) && w.takeovers > 0 && !w.takenOver {
		_ = unix.Shutdown(fd, unix.SHUT_WR)
		w.takenOver = true
	}
	for w.takeovers > 0 && !w.takenOver {
		w.takeoverDone.Wait()
	}
	if w.takenOver {
		return len(b), nil
	}
	w.sent += uint64(n)
	return n, err
}

// takeOver finishes the reply on behalf of a system call that is stuck before it has sent a byte. A takeover
// may get stuck too and is then followed by another one. The first to write shuts down the sending side, so
// that the others write nothing.
func (w *replyWriter) takeOver(ticks int) {
	if ticks%takeoverTicks != 0 {
		return
	}
	w.mu.Lock()
	if w.pending == nil || !w.final || w.takenOver {
		w.mu.Unlock()
		return
	}
	w.takeovers++
	sent, pending := w.sent, bytes.Clone(w.pending)
	w.mu.Unlock()
	done := false
	_ = w.raw.Control(func(fd uintptr) { done = finishReply(int(fd), sent, pending) })
	w.mu.Lock()
	defer w.mu.Unlock()
	w.takeovers--
	w.takenOver = w.takenOver || done
	w.takeoverDone.Broadcast()
}

// finishReply writes the rest of a reply and shuts down the sending side, unless the kernel has accepted
// more than sent bytes in the meantime.
func finishReply(fd int, sent uint64, pending []byte) bool {
	if accepted, ok := bytesAccepted(fd); !ok || accepted != sent {
		return false
	}
	if writeAll(pending, func(b []byte) (int, error) { return write(fd, b) }) == 0 {
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
func (w *replyWriter) wasTakenOver() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.takenOver
}

// bytesAccepted returns how many bytes the kernel has accepted from this process on a connection, sent or
// not. ok is false if the kernel does not report it.
func bytesAccepted(fd int) (n uint64, ok bool) {
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
