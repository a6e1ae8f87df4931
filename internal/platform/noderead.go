package platform

// The read loop of a connection to a data node: frames, answers, and silent connections.

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"lapislever/balance"
	"lapislever/internal/core"
	lnet "lapislever/internal/net"
)

// errMalformed marks the end of a connection that delivered unusable bytes, or that fell silent while its
// node answers on others. Attempts in flight on it may have run; it is no evidence about the node.
var errMalformed = errors.New("spoilt")

func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errMalformed, fmt.Sprintf(format, args...))
}

// readLoop reads answers from the connection. Malformed ones may come from any node. The bytes after a
// malformed answer are meaningless, so it ends the connection.
func (c *nodeConn) readLoop(conn net.Conn) {
	in := lnet.NewRing(maxBuffered)
	reader := lnet.NewRetryingReader(conn)
	partial := false // the ring holds an incomplete frame
	for {
		count, err := reader.Read(in.Free())
		in.Commit(count)
		if count > 0 {
			c.noteReceived()
		}
		// What stands behind a frame decides whether it is sound, so all that has come is read first.
		for count > 0 && in.Len() < maxBuffered {
			count = reader.ReadWaiting(in.Free())
			in.Commit(count)
		}
		consumed := in.Len()
		if frameErr := c.handleFrames(in); frameErr != nil {
			c.backend.log.Warn("bad frame from a node", "node", c.node.name, "err", frameErr)
			c.close(frameErr)
			return
		}
		consumed -= in.Len()
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			err = malformed("frame not completed in time")
			c.backend.log.Warn("bad frame from a node", "node", c.node.name, "err", err)
		case in.Len() > 0 && c.isIdle():
			// Surplus bytes behind a good answer, which counts. The next answer would be read behind them.
			err = malformed("%d unexpected bytes behind an answer", in.Len())
			c.backend.log.Warn("bad frame from a node", "node", c.node.name, "err", err)
		case in.Len() > 0 && (!partial || consumed > 0):
			_ = conn.SetReadDeadline(time.Now().Add(c.backend.frameTimeout()))
		case in.Len() == 0 && partial:
			_ = conn.SetReadDeadline(time.Time{})
		}
		partial = in.Len() > 0
		if err != nil {
			c.close(err)
			return
		}
	}
}

// frameTimeout returns how long a frame may take from its first byte to its last, by the aims in force.
func (n *Nodes) frameTimeout() time.Duration {
	aim := balance.Micros(0)
	for _, c := range n.cfg.Load().Module.Classes {
		if !c.Dropped && (aim == 0 || c.Aim < aim) {
			aim = c.Aim
		}
	}
	return max(minFrameTimeout, time.Duration(aim)*time.Microsecond/frameAimShare)
}

// noteReceived records that bytes arrived on the connection.
func (c *nodeConn) noteReceived() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owedSince, c.suspectSince = time.Time{}, time.Time{}
	if len(c.writtenAt) > 0 {
		c.owedSince = time.Now()
	}
}

// updateOwed recomputes, after an attempt was cancelled, since when an answer is due: since the oldest
// part that is still pending was written.
func (c *nodeConn) updateOwed() {
	var oldest time.Time
	for _, at := range c.writtenAt {
		if oldest.IsZero() || at.Before(oldest) {
			oldest = at
		}
	}
	if oldest.IsZero() || oldest.After(c.owedSince) {
		c.owedSince = oldest
	}
}

// closeSilentSiblings is called when a node has answered, on this connection, what was written at the
// given time. A connection that has been silent since before that, and stays so for the node's usual
// latency, is closed: its attempts end now and not by a time-out each. The wait gives it time to respond
// after a pause of the node.
func (c *nodeConn) closeSilentSiblings(sentAt time.Time) {
	var silent []*nodeConn
	limit := c.node.latency.upperBound()
	c.backend.mu.Lock()
	for _, x := range c.node.conns {
		if x == c {
			continue
		}
		x.mu.Lock()
		if !x.owedSince.IsZero() && x.owedSince.Before(sentAt) && time.Since(x.owedSince) > limit {
			if x.suspectSince.IsZero() {
				x.suspectSince = time.Now()
			} else if time.Since(x.suspectSince) > limit {
				silent = append(silent, x)
			}
		}
		x.mu.Unlock()
	}
	c.backend.mu.Unlock()
	for _, x := range silent {
		c.backend.log.Warn("connection to a node fell silent", "node", c.node.name, "after", limit)
		x.close(malformed("connection fell silent"))
	}
}

// isIdle reports whether nothing is in flight on the connection.
func (c *nodeConn) isIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending) == 0 && len(c.abandoned) == 0 && len(c.probes) == 0
}

// handleFrames handles the frames at the start of the ring that are complete and known to be sound.
func (c *nodeConn) handleFrames(in *lnet.Ring) error {
	for {
		size, err := nextFrame(in)
		if size == 0 || err != nil {
			return err
		}
		if ready, err := c.checkTrailing(in, size); !ready {
			return err
		}
		b := make([]byte, size)
		in.Peek(b, frameLengthSize)
		in.Discard(frameLengthSize + size)
		if err := c.handleFrame(b); err != nil {
			return err
		}
	}
}

// handleFrame handles one frame from the node.
func (c *nodeConn) handleFrame(b []byte) error {
	rest := b[1:]
	switch letter := b[0]; letter {
	case letterAnswer:
		answer, err := parseAnswer(rest)
		if err != nil {
			return err
		}
		return c.handleAnswer(answer)
	case letterProbe, letterLoadProbe:
		return c.handleProbeReply(string(rest))
	case letterRejected:
		return fmt.Errorf("the node rejected a frame: %.100q", rest)
	default:
		return malformed("unknown frame type %q", letter)
	}
}

// handleAnswer reports the end of an answered part to the core, unless the attempt was cancelled.
func (c *nodeConn) handleAnswer(answer nodeAnswer) error {
	attempt, sentAt, err := c.takeAnswered(answer.id)
	if err != nil {
		return err
	}
	if !sentAt.IsZero() {
		if answer.outcome != balance.Busy { // which is answered at once, regardless of the queue
			c.node.latency.add(time.Since(sentAt))
		}
		c.closeSilentSiblings(sentAt)
	}
	if attempt != nil {
		c.backend.post(core.AttemptDone{Attempt: attempt, Outcome: answer.outcome,
			Report: c.backend.cfg.Load().parseReport(answer.report), Value: core.Value{Body: answer.value}})
	}
	return nil
}

// takeAnswered removes the answered part from those in flight, and returns its attempt and when it was
// written. The attempt is nil, and the time zero, if it was cancelled before.
func (c *nodeConn) takeAnswered(id string) (attempt *core.Attempt, sentAt time.Time, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastUsed = time.Now()
	attempt = c.pending[id]
	_, wasCancelled := c.abandoned[id]
	switch {
	case attempt != nil && !(wasCancelled && c.isQueued(attempt)):
		if c.isQueued(attempt) {
			return nil, time.Time{}, malformed("answer to a part that was not sent")
		}
		sentAt = c.writtenAt[id]
		delete(c.pending, id)
		delete(c.writtenAt, id)
		if len(c.writtenAt) == 0 {
			c.owedSince = time.Time{}
		}
		c.inFlight = c.countCalls()
	case wasCancelled: // late: the attempt was cancelled
		attempt = nil
		delete(c.abandoned, id)
	default: // if it duplicates an answer, the first one counts
		return nil, time.Time{}, malformed("answer to an unknown part: %.100q", id)
	}
	if c.retired && len(c.pending) == 0 {
		c.wakeWriter()
	}
	return attempt, sentAt, nil
}

// handleProbeReply reports the end of the oldest probe in flight, by the rest of the frame that answers it.
func (c *nodeConn) handleProbeReply(text string) error {
	c.mu.Lock()
	if len(c.probes) == 0 {
		c.mu.Unlock()
		return malformed("answer without a probe")
	}
	p := c.probes[0]
	c.probes = c.probes[1:]
	c.mu.Unlock()
	if text == "E" {
		c.finishProbe(p, balance.Error, nil)
	} else {
		c.finishProbe(p, balance.OK, c.backend.cfg.Load().parseReport(text))
	}
	return nil
}

// checkTrailing reports whether the frame that is complete at the start of the ring may be handled now, by
// what stands behind it. An answer whose length is too small has the rest of its value behind it, and is
// malformed. A sound one has another frame behind it, or bytes that cannot belong to a value.
func (c *nodeConn) checkTrailing(in *lnet.Ring, size int) (ready bool, err error) {
	var letter [1]byte
	in.Peek(letter[:], frameLengthSize)
	end := frameLengthSize + size
	if letter[0] != letterAnswer || in.Len() == end || hasNoValue(in, end) {
		return true, nil
	}
	var head [frameHeaderSize]byte
	b := head[:in.Peek(head[:], end)]
	kind := classifyTrailing(b)
	if kind == trailingText || kind == trailingNoise {
		b = make([]byte, in.Len()-end)
		in.Peek(b, end)
		kind = classifyTrailing(b)
	}
	switch {
	case kind == trailingUnknown:
		return false, nil
	case kind == trailingText, kind == trailingNoise && c.mayHoldFrame(b):
		return false, malformed("%d bytes behind an answer begin no frame: its length may be too small", len(b))
	}
	return true, nil
}

// mayHoldFrame reports whether a frame that the node owes may be somewhere in bytes that begin with none.
func (c *nodeConn) mayHoldFrame(b []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.probes) > 0 { // answers to probes carry no id
		return true
	}
	for id := range c.pending {
		if bytes.Contains(b, []byte(id)) {
			return true
		}
	}
	for id := range c.abandoned {
		if bytes.Contains(b, []byte(id)) {
			return true
		}
	}
	return false
}
