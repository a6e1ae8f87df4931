package net

// Writing replies to a client. The goroutine that takes the client's requests writes them. Where its thread
// is held up in the system call, the reply is finished by the watchdog: it puts the bytes out itself and
// ends the sending side, so that the held call can put out nothing behind them.

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

// rescueTicks is how many whole ticks the write of a reply has to be held before another goroutine finishes
// it.
const rescueTicks = 3

// tcpEstablished is the state of a connection of which neither side has ended (TCP_ESTABLISHED).
const tcpEstablished = 1

// replyWriter is the sending side of a client's connection.
type replyWriter struct {
	conn  net.Conn
	raw   syscall.RawConn // nil: the connection is not the system's own
	watch *watchdog.Watchdog

	mu       sync.Mutex // guards what follows
	sent     uint64     // bytes that the system has taken so far
	rest     []byte     // what the call under way writes; nil: there is none
	last     bool       // with these bytes the reply is whole
	rescuers int        // that may be about to write
	quiet    sync.Cond  // told when there is none any more
	rescued  bool       // the sending side has ended with this reply
}

func newReplyWriter(conn net.Conn, watch *watchdog.Watchdog) *replyWriter {
	w := &replyWriter{conn: conn, raw: rawConn(conn), watch: watch}
	w.quiet.L = &w.mu
	return w
}

// replyPiece is a part of a reply that is written at a time.
type replyPiece struct {
	w     *replyWriter
	limit time.Duration // for the client to take it, where the system does not take it at once
	last  bool
}

// Write writes the piece. A limit is set only where the system takes nothing: setting it reads clocks.
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

// call makes one system call. While somebody else may be about to write it is not left: either the sending
// side has ended then, or nobody writes any more.
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

// held finishes the reply in place of a call that is held up before it has put out a byte. Each such try
// may be held up in turn, and is followed by another one; the first to write ends the sending side, so that
// the others write nothing.
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

// finishReply writes the rest of a reply and ends the sending side, if the system has taken nothing since
// so many bytes.
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

// writeAll makes system calls until all is written or one fails, as the system may take a part only. It
// returns how much was written.
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

// wasRescued tells that a reply was finished by the watchdog, and that nothing more can be sent.
func (w *replyWriter) wasRescued() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rescued
}

// bytesTaken is how many bytes the system has taken from this process on a connection, sent or not. It is not
// known where the system does not say so.
func bytesTaken(fd int) (n uint64, ok bool) {
	// First what is queued: what is acknowledged meanwhile then counts twice, not never.
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
