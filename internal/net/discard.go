package net

// Input that nobody wants any more: behind a connection's last reply, or further ahead than is held. It is
// read, so that the end of the connection is seen and no reset overtakes the reply, and discarded.

import (
	"errors"
	"io"
	"os"
	"runtime"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	discardSize = 16 << 10 // per read
	// Up to discardBurst bytes of a connection are discarded at full speed, and more at discardSize every
	// discardPause: clients at full speed must not take all processor time. From then on the end of the
	// connection may be seen late, so that a request that is open on it is rejected.
	discardBurst = 4 << 20
	discardPause = 20 * time.Millisecond
	// discardShare is what all connections behind their last replies may discard in each discardPause at full
	// speed: crowds of them take no processor time from others either.
	discardShare = 1 << 20

	// After an error reply the client may still be sending: the connection stays open to let it read the reply.
	lingerTimeout     = 4 * time.Second
	lingerIdleTimeout = 500 * time.Millisecond
	floodTimeout      = 2 * time.Second // the same for a client that goes on sending beyond discardBurst
)

// discardLimit bounds how much input is discarded at full speed by many connections together.
type discardLimit struct {
	mu     sync.Mutex // guards all below
	period time.Time  // start of the current discardPause
	bytes  int        // discarded in it
}

// exceeded counts n bytes, and reports whether more than discardShare are discarded in the current period.
func (d *discardLimit) exceeded(n int, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Sub(d.period) >= discardPause {
		d.period, d.bytes = now, 0
	}
	d.bytes += n
	return d.bytes > discardShare
}

// discardBuffers are the buffers that discarded input is read into.
var discardBuffers = sync.Pool{New: func() any { return new([discardSize]byte) }}

// discardInput reads and discards input until the connection ends.
func (c *serverConn) discardInput() error {
	for {
		n, err := c.readAway()
		if errors.Is(err, os.ErrDeadlineExceeded) { // lingerClose's wake-up, after this read began
			_ = c.conn.SetReadDeadline(time.Time{})
		} else if err != nil {
			return err
		}
		now := time.Now()
		c.mu.Lock()
		c.lastRead = now
		c.discarded += n
		flooding, lingering := c.discarded > discardBurst, c.state == stateLingering
		c.mu.Unlock()
		if flooding {
			c.signal()
		}
		if flooding || lingering && c.server.discards.exceeded(n, now) {
			time.Sleep(discardPause)
		}
		runtime.Gosched()
	}
}

// readAway makes one read of unwanted input. It holds a buffer only during the system call, as very many
// connections may wait here.
func (c *serverConn) readAway() (n int, err error) {
	raw := rawConn(c.conn)
	if raw == nil {
		buf := discardBuffers.Get().(*[discardSize]byte)
		defer discardBuffers.Put(buf)
		return c.conn.Read(buf[:])
	}
	var callErr error
	err = raw.Read(func(fd uintptr) (done bool) {
		buf := discardBuffers.Get().(*[discardSize]byte)
		defer discardBuffers.Put(buf)
		n, callErr = read(int(fd), buf[:])
		return !errors.Is(callErr, unix.EAGAIN)
	})
	switch {
	case err != nil:
		return 0, err
	case callErr == nil && n == 0:
		return 0, io.EOF
	}
	return n, callErr
}

// lingerClose shuts down the sending side and lets the client read the reply before the connection is
// closed: closing while input is unread resets the connection, and the reset can overtake the reply. Further
// input is discarded: it is never handled, and the close tells the client so. A client that is still sending
// gets up to lingerTimeout.
func (c *serverConn) lingerClose() {
	if !c.setState(stateLingering) {
		return
	}
	if t, ok := c.conn.(interface{ CloseWrite() error }); ok {
		_ = t.CloseWrite()
	}
	c.mu.Lock()
	unread := c.in.Len()
	c.in.Discard(unread)
	c.mu.Unlock()
	if unread > 0 {
		c.server.log.Info("input discarded after a connection's last reply", "client", c.conn.RemoteAddr(),
			"bytes", unread)
	}
	_ = c.conn.SetReadDeadline(time.Unix(1, 0)) // from here on readLoop discards input
	startedAt := time.Now()
	tick := time.NewTicker(lingerIdleTimeout / 5)
	defer tick.Stop()
	for time.Since(startedAt) < lingerTimeout {
		select {
		case <-c.wake:
		case <-tick.C:
		}
		c.mu.Lock()
		err, lastRead, flooding := c.readErr, c.lastRead, c.discarded > discardBurst
		c.mu.Unlock()
		if flooding && time.Since(startedAt) > floodTimeout {
			return
		}
		if err != nil || time.Since(lastRead) > lingerIdleTimeout &&
			time.Since(startedAt) > lingerIdleTimeout {
			return
		}
	}
}
