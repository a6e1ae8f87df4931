package platform

// The way to the data nodes: connections that carry frames. This file owns each connection's life, what is
// written on it and who waits for an answer; it tells the core how each attempt ended, and whether it may
// have run. It must never retry, choose another node or answer a client.

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"lapislever/balance"
	"lapislever/internal/core"
	lnet "lapislever/internal/net"
)

const (
	maxLine    = 1024                   // of a data node's answer
	maxFrame   = lnet.MaxBody + maxLine // a value and its line
	outLimit   = 256 << 10              // bytes queued for one connection
	partSlack  = 96                     // bytes of a part's line beside its names: numbers and signs
	sendTries  = 3                      // connections that are just being closed and are passed over for a call
	writeLimit = 300 * time.Millisecond
	// A frame of a node that began comes to its end within this share of the shortest aim.
	frameShare = 8
	frameLeast = 50 * time.Millisecond
	// A connection is silent when it has owed an answer for longer than the node's answers take, all but the
	// very latest. It gets nothing new as long as another may be opened beside it.
	silentLeast = 30 * time.Millisecond
	silentMost  = time.Second
	silentConns = 3   // at one node; with more the node is silent, and no connection is to blame
	givenMost   = 256 // answers to what was given up that a connection still waits for
	// idleShare of the nodes' idle limit is when we retire a connection: a request written to one that its
	// node is about to close ends as a reset.
	idleShare = 0.7
)

// Nodes is the backend of the platform's queries.
type Nodes struct {
	conf   atomic.Pointer[Config]
	log    *slog.Logger
	budget *lnet.Budget
	post   func(core.Event)
	count  *core.Counts
	mu     sync.Mutex // guards nodes and each node's address and connections
	nodes  map[balance.ReplicaID]*node
}

type node struct {
	id   balance.ReplicaID
	name string
	addr string
	born float64
	gone bool // from the list: forgotten with its last connection
	// unnamed is set while a whole list is read that has not named it so far.
	unnamed bool
	health  string // as the list last told
	conns   []*nodeConn
	took    latency
}

// latency follows how long a node's answers take, as TCP does its round trips.
type latency struct {
	mu          sync.Mutex
	mean, stray time.Duration
}

func (l *latency) add(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.mean == 0 {
		l.mean, l.stray = d, d/2
		return
	}
	l.stray += ((d - l.mean).Abs() - l.stray) / 4
	l.mean += (d - l.mean) / 8
}

// most is what all but the very latest answers take.
func (l *latency) most() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.mean == 0 {
		return silentMost
	}
	return min(max(l.mean+4*l.stray, silentLeast), silentMost)
}

// errSpoilt marks the end of a connection on which something came that cannot be used, or nothing any more
// while the node answers on others. What is out on it may have run; of the node it says nothing.
var errSpoilt = errors.New("spoilt")

func spoilt(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errSpoilt, fmt.Sprintf(format, args...))
}

// nodeConn is one connection to a data node. Its writer goroutine dials and writes; its reader reads.
type nodeConn struct {
	n       *Nodes
	node    *node
	socket  net.Conn   // c, set before the writer writes
	mu      sync.Mutex // guards all below
	frames  []frame
	booked  int             // bytes of the frames
	torn    []*core.Attempt // out in a frame that was being written as the connection ended
	why     error           // it ended for
	waiting map[string]*core.Attempt
	given   map[string]time.Time // written and then given up: an answer may come all the same
	written map[string]time.Time // when the parts that wait were written
	owed    time.Time            // since when it owes an answer and nothing has come; zero: it owes none
	doubt   time.Time            // when another connection first outlived it
	probes  []*probe             // probes out, in their order
	calls   int                  // calls with a part that waits
	up      bool
	dead    bool
	retired bool // takes nothing new
	used    time.Time
	opened  time.Time
	wake    chan struct{}
	c       net.Conn
	trying  bool   // the writer is in the system call for the first frame, and none of it may be out
	tries   uint64 // such calls so far
}

// probe is one probe that is out. An overdue one stays in its place, for its answer bears no name.
type probe struct {
	at   time.Time
	over bool
}

// frame is what the writer has to write. A call is worded when it begins, as the time that it tells is what
// is left by then; what is not begun can still be taken back, part by part.
type frame struct {
	call  []*core.Attempt // nil for a cancel or a probe
	text  []byte          // of a cancel or a probe
	probe *probe          // of a probe
	size  int             // booked of outLimit
	begun bool            // the writer has it: only that knows whether its last byte goes out
}

// encodeCall encodes a call as it is at this moment, with those of its parts that are still waited for and may
// begin. For each of these a write has begun (Attempt.BeginWrite). held are those that may not begin.
func (c *nodeConn) encodeCall(b []byte, call []*core.Attempt, now time.Time) (frame []byte, carried,
	held []*core.Attempt) {
	b = append(b[:0], 0, 0, 0, 0, '1')
	for _, a := range call {
		id := wireID(a)
		if c.waiting[id] != a {
			continue
		}
		wait, hold := a.BeginWrite(c, now)
		if hold != core.MayBegin {
			c.n.log.Info("attempt not begun", "node", c.node.name, "part", id, "why", string(hold))
			held = append(held, a)
			continue
		}
		b = fmt.Appendf(b, "%s %d d=%d", id, a.Shard, max(1, wait.Milliseconds()))
		if a.Query.Key != "" {
			b = fmt.Appendf(b, ",k=%s", a.Query.Key)
		}
		b = fmt.Appendf(b, " %d\n", len(a.Query.Text))
		b = append(b, a.Query.Text...)
		carried = append(carried, a)
	}
	binary.LittleEndian.PutUint32(b, uint32(len(b)-4))
	return b, carried, held
}

// callSize is what a call takes at most.
func callSize(call []*core.Attempt) int {
	n := 5
	for _, a := range call {
		n += len(a.Query.Name) + len(a.Query.Key) + len(a.Query.Text) + partSlack
	}
	return n
}

// NewNodes returns the way to the nodes; post is the core's queue.
func NewNodes(cfg *Config, budget *lnet.Budget, log *slog.Logger, count *core.Counts,
	post func(core.Event)) *Nodes {
	n := &Nodes{log: log, budget: budget, post: post, count: count, nodes: map[balance.ReplicaID]*node{}}
	n.conf.Store(cfg)
	return n
}

// Learn takes in where nodes are; of a whole list, that the others are gone. It must come before the core
// hears of them. What is gone is forgotten once nothing of it is out: ids never come again, and would else
// pile up.
func (n *Nodes) Learn(hosts []Host, whole bool) {
	n.mu.Lock()
	var anew, idle []*nodeConn
	first := len(n.nodes) == 0
	for _, x := range n.nodes {
		if whole && !x.gone {
			x.gone, x.unnamed = true, true
		}
	}
	for i := range hosts {
		h := &hosts[i]
		id := core.ServerID(h.Host)
		x := n.nodes[id]
		if x == nil {
			x = &node{id: id, name: h.Host}
			n.nodes[id] = x
		}
		if x.unnamed {
			x.gone, x.unnamed = false, false
		}
		if gone := h.Health == "terminated"; gone != x.gone || h.Health != x.health || h.Born > x.born {
			n.log.Log(context.Background(), levelOfNews(first), "data node", "node", h.Host,
				"id", fmt.Sprintf("%x", uint64(id)), "health", h.Health, "born_ms", h.Born)
			x.gone, x.health = gone, h.Health
		}
		if h.Born > x.born || h.Dial != x.addr {
			// Another process is there now: what the old one had will not be answered.
			for _, c := range x.conns {
				if h.Dial != x.addr || c.opened.UnixMilli() < int64(h.Born) {
					anew = append(anew, c)
				}
			}
		}
		x.addr, x.born = h.Dial, max(x.born, h.Born)
	}
	for id, x := range n.nodes {
		if x.unnamed {
			x.unnamed = false
			n.log.Info("data node", "node", x.name, "health", "not listed any more")
		}
		if x.gone {
			idle = append(idle, x.conns...)
			if len(x.conns) == 0 {
				delete(n.nodes, id)
			}
		}
	}
	n.mu.Unlock()
	for _, c := range anew {
		c.end(fmt.Errorf("the node started anew"))
	}
	for _, c := range idle {
		c.retire()
	}
}

// levelOfNews is how much a node's state matters to the log: those of a start's first list matter less.
func levelOfNews(first bool) slog.Level {
	if first {
		return slog.LevelDebug
	}
	return slog.LevelInfo
}

// Name is a node's name by its number; false: there is none.
func (n *Nodes) Name(id balance.ReplicaID) (string, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if x := n.nodes[id]; x != nil {
		return x.name, true
	}
	return "", false
}

// retire lets a connection take nothing new: it ends now if nothing is out on it, else after that.
func (c *nodeConn) retire() {
	c.mu.Lock()
	c.retired = true
	c.mu.Unlock()
	c.poke()
}

// poke has the writer look at the connection again.
func (c *nodeConn) poke() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func wireID(a *core.Attempt) string { return a.Query.Name + "." + strconv.Itoa(a.Shard) }

// Send queues one call on a connection that has room for it, or on a new one.
func (n *Nodes) Send(to balance.ReplicaID, call []*core.Attempt) bool {
	return n.queue(to, frame{call: call, size: callSize(call)})
}

// queue passes a frame to a connection that takes it.
func (n *Nodes) queue(to balance.ReplicaID, f frame) bool {
	for range sendTries {
		c := n.conn(to, true)
		if c == nil {
			return false
		}
		if ok, closing := c.queue(f); ok || !closing {
			return ok
		}
	}
	return false
}

// conn finds a connection with room for a call, or opens one.
func (n *Nodes) conn(to balance.ReplicaID, open bool) *nodeConn {
	n.mu.Lock()
	defer n.mu.Unlock()
	x := n.nodes[to]
	if x == nil || x.addr == "" {
		return nil
	}
	var best, mute *nodeConn
	room, muteRoom, silent := 0, 0, 0
	limit := x.took.most()
	for _, c := range x.conns {
		c.mu.Lock()
		free := n.conf.Load().Streams - c.calls
		switch {
		case c.dead || c.retired:
		case !c.owed.IsZero() && time.Since(c.owed) > limit:
			if silent++; mute == nil || free > muteRoom {
				mute, muteRoom = c, free
			}
		case best == nil || free > room:
			best, room = c, free
		}
		c.mu.Unlock()
	}
	if mute != nil && best == nil && (silent > silentConns || !open) {
		best, room = mute, muteRoom
	}
	if best != nil && room > 0 || !open {
		return best
	}
	if best == nil {
		best = mute
	}
	if !n.budget.TakeServer() {
		return best // no descriptor is left: it waits behind others
	}
	c := &nodeConn{n: n, node: x, waiting: map[string]*core.Attempt{},
		given: map[string]time.Time{}, written: map[string]time.Time{}, wake: make(chan struct{}, 1),
		used: time.Now(), opened: time.Now()}
	x.conns = append(x.conns, c)
	go c.write(x.addr)
	return c
}

// Withdraw gives an attempt up: if its frame is not begun it is taken back, else the node is told.
func (n *Nodes) Withdraw(a *core.Attempt) bool {
	id := wireID(a)
	n.mu.Lock()
	var c *nodeConn
	if x := n.nodes[a.Replica]; x != nil {
		for _, k := range x.conns {
			k.mu.Lock()
			if k.waiting[id] == a {
				c = k
			}
			k.mu.Unlock()
		}
	}
	n.mu.Unlock()
	if c == nil {
		return false
	}
	c.mu.Lock()
	delete(c.waiting, id)
	delete(c.written, id)
	if !c.owed.IsZero() && time.Since(c.owed) <= c.node.took.most() {
		c.owe() // given up for a reason of its own; it may never be answered
	}
	unsent := c.unqueue(a)
	if !unsent && !c.dead {
		c.giveUp(id)
		if c.isTrying(a) { // given up, it is not to come behind what is sent instead
			c.abortWrite(core.WriteGrace)
		}
	}
	c.mu.Unlock()
	if !unsent && n.conf.Load().Module.CanCancel { // where it may not be told the node answers what nobody hears
		b := append([]byte{0, 0, 0, 0, '2'}, id...)
		binary.LittleEndian.PutUint32(b, uint32(len(b)-4))
		c.queue(frame{text: b, size: len(b)})
	}
	return unsent
}

// giveUp remembers that an answer to a part may still come. Of those that never came the oldest are
// forgotten.
func (c *nodeConn) giveUp(id string) {
	if len(c.given) >= givenMost {
		oldest, since := "", time.Time{}
		for k, at := range c.given {
			if oldest == "" || at.Before(since) {
				oldest, since = k, at
			}
		}
		delete(c.given, oldest)
	}
	c.given[id] = time.Now()
}

// Probe sends a probe, over a connection that is there if possible.
func (n *Nodes) Probe(to balance.ReplicaID) bool {
	text := []byte{1, 0, 0, 0, '3'}
	return n.queue(to, frame{text: text, size: len(text), probe: &probe{at: time.Now()}})
}

// CloseIdle closes the connections to a node that carry nothing.
func (n *Nodes) CloseIdle(to balance.ReplicaID) {
	for _, c := range n.connsOf(to) {
		c.mu.Lock()
		idle := c.up && len(c.waiting) == 0 && len(c.frames) == 0 && len(c.probes) == 0
		c.retired = c.retired || idle
		c.mu.Unlock()
		if idle {
			c.end(nil)
		}
	}
}

// Stop takes back what is queued for a node and not begun: nothing of it may go out any more.
func (n *Nodes) Stop(to balance.ReplicaID) []*core.Attempt {
	var back []*core.Attempt
	for _, c := range n.connsOf(to) {
		c.mu.Lock()
		for _, f := range c.frames {
			if f.begun && len(f.call) > 0 && c.trying { // the node drains: it may not come late
				c.abortWrite(core.WriteGrace)
			}
			if !f.begun {
				for _, a := range f.call {
					if c.waiting[wireID(a)] == a {
						delete(c.waiting, wireID(a))
						back = append(back, a)
					}
				}
			}
		}
		c.keep(func(f *frame) bool { return f.call == nil && f.probe == nil })
		c.calls = c.count()
		c.mu.Unlock()
	}
	return back
}

func (n *Nodes) connsOf(to balance.ReplicaID) []*nodeConn {
	n.mu.Lock()
	defer n.mu.Unlock()
	if x := n.nodes[to]; x != nil {
		return append([]*nodeConn(nil), x.conns...)
	}
	return nil
}

// queue appends a frame to what the writer has to write. One that is closing takes no call and no probe.
func (c *nodeConn) queue(f frame) (ok, closing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dead || c.retired && (f.call != nil || f.probe != nil) {
		return false, true
	}
	if c.booked+f.size > outLimit {
		return false, false
	}
	c.booked += f.size
	c.frames = append(c.frames, f)
	for _, a := range f.call {
		c.waiting[wireID(a)] = a
	}
	if f.call != nil {
		c.calls = c.count()
	}
	if p := f.probe; p != nil {
		c.probes = append(c.probes, p)
		time.AfterFunc(c.n.conf.Load().DialTimeout, func() { c.probeDone(p, balance.TimedOut, nil) })
	}
	c.used = time.Now()
	c.poke()
	return true, false
}

// count is the number of calls out. With one part a call, as here, that is the parts that wait; parts that
// share a call are counted one by one, which opens a further connection sooner than needed, never later.
func (c *nodeConn) count() int { return len(c.waiting) }

// queued tells that an attempt's frame is not begun.
func (c *nodeConn) queued(a *core.Attempt) bool {
	for _, f := range c.frames {
		for _, x := range f.call {
			if x == a && !f.begun {
				return true
			}
		}
	}
	return false
}

// isTrying tells that an attempt is in the system call that the writer is in. The caller holds mu.
func (c *nodeConn) isTrying(a *core.Attempt) bool {
	return c.trying && len(c.frames) > 0 && slices.Contains(c.frames[0].call, a)
}

// unqueue takes an attempt back, and its call where nothing else in it is wanted, if it is not begun.
func (c *nodeConn) unqueue(a *core.Attempt) bool {
	c.calls = c.count()
	if !c.queued(a) {
		return false
	}
	c.keep(func(f *frame) bool {
		wanted := f.call == nil
		for _, x := range f.call {
			wanted = wanted || c.waiting[wireID(x)] == x
		}
		return wanted
	})
	return true
}

// keep drops the frames that are not begun and not wanted.
func (c *nodeConn) keep(wanted func(*frame) bool) {
	c.frames = slices.DeleteFunc(c.frames, func(f frame) bool {
		drop := !f.begun && !wanted(&f)
		if drop {
			c.booked -= f.size
			c.probes = slices.DeleteFunc(c.probes, func(p *probe) bool { return p == f.probe })
		}
		return drop
	})
}

// write dials and then writes.
func (c *nodeConn) write(addr string) {
	conn, err := net.DialTimeout("tcp", addr, c.n.conf.Load().DialTimeout)
	if err != nil {
		c.end(err)
		return
	}
	c.mu.Lock()
	if c.dead {
		c.mu.Unlock()
		_ = conn.Close()
		return
	}
	c.c, c.socket, c.up = conn, conn, true
	c.mu.Unlock()
	go c.read(conn)
	c.carry(conn)
}

// carry writes frame by frame, each within its limit, so that a node that does not read holds up nothing but
// its own connection.
func (c *nodeConn) carry(conn net.Conn) {
	limit := time.Duration(idleShare * float64(c.n.conf.Load().ConnIdle))
	idle := time.NewTimer(limit)
	defer idle.Stop()
	w := &frameWriter{c: c}
	socket := lnet.NewSocket(conn)
	for {
		c.mu.Lock()
		if c.dead {
			c.mu.Unlock()
			return
		}
		if len(c.frames) == 0 {
			quiet := time.Since(c.used)
			empty := len(c.waiting) == 0 && len(c.probes) == 0
			if empty && (quiet >= limit || c.retired) {
				c.retired = true
				c.mu.Unlock()
				c.end(nil)
				return
			}
			c.mu.Unlock()
			idle.Reset(max(limit-quiet, 100*time.Millisecond))
			select {
			case <-c.wake:
			case <-idle.C:
			}
			continue
		}
		c.mu.Unlock()
		_ = conn.SetWriteDeadline(time.Now().Add(writeLimit))
		err := socket.WriteMessage(w.begin, w.tried)
		if w.finish(err) {
			return
		}
	}
}

// frameWriter writes the first frame of a connection's queue. Only its writer goroutine uses it.
type frameWriter struct {
	c       *nodeConn
	buf     []byte
	carried []*core.Attempt // with a write under way
	held    []*core.Attempt // that may not begin any more, and of which the core has not heard
	written bool            // begin has found something to write
}

// begin encodes the frame as it is to be at this moment, just before the system call, and begins the writes of
// its parts. It returns nil where there is nothing to write.
func (w *frameWriter) begin() []byte {
	c, now := w.c, time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	w.carried, w.written = nil, false
	if c.dead || len(c.frames) == 0 {
		return nil
	}
	f := &c.frames[0]
	if f.call != nil {
		var held []*core.Attempt
		w.buf, f.call, held = c.encodeCall(w.buf, f.call, now)
		w.carried = f.call
		for _, a := range held {
			delete(c.waiting, wireID(a))
		}
		w.held = append(w.held, held...)
		c.calls = c.count()
	} else {
		w.buf = append(w.buf[:0], f.text...)
	}
	if f.begun = len(f.call) > 0 || f.text != nil; !f.begun {
		c.booked -= f.size
		c.frames = c.frames[1:]
		return nil
	}
	w.written, c.trying = true, true
	c.tries++
	for _, a := range w.carried {
		if !a.Before.IsZero() { // a repeat: it must not come behind the window of its key either
			c.abortWrite(a.Before.Sub(now) + core.WriteGrace)
		}
	}
	return w.buf
}

// abortWrite aborts the system call that the writer is in, if it has still not returned after the time given. What
// is in it must not go out any more by then: its thread may be held up. The caller holds mu.
func (c *nodeConn) abortWrite(after time.Duration) {
	call := c.tries
	time.AfterFunc(after, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.trying && c.tries == call && !c.dead {
			c.Abort()
		}
	})
}

// tried ends the writes of the frame's parts. Where no byte has gone out the frame is as one that was never
// begun: its parts may be taken back while the system takes nothing.
func (w *frameWriter) tried(out bool) {
	for _, a := range w.carried {
		a.EndWrite(w.c)
	}
	w.c.mu.Lock()
	if w.c.trying = false; !out && len(w.c.frames) > 0 {
		w.c.frames[0].begun = false
	}
	w.c.mu.Unlock()
	w.tellHeld()
}

// tellHeld tells the core of parts that never ran.
func (w *frameWriter) tellHeld() {
	for _, a := range w.held {
		w.c.n.post(core.Outcome{Attempt: a, Outcome: balance.NotSent})
	}
	w.held = nil
}

// finish books how the write has ended, and tells whether the connection has.
func (w *frameWriter) finish(err error) bool {
	w.tellHeld()
	switch {
	case err != nil:
	case w.written:
		w.c.n.count.Tries.Add(int64(len(w.carried)))
	case w.c.ended(): // while the system took nothing
		err = net.ErrClosed
	default:
		return false // what there was to write has been taken back
	}
	return w.c.wrote(err)
}

func (c *nodeConn) ended() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dead
}

// Abort makes it impossible that the connection's writer puts out another byte.
func (c *nodeConn) Abort() {
	c.n.log.Warn("write aborted: its request is over and the writer was held", "node", c.node.name)
	lnet.Abort(c.socket)
}

// wrote books that the frame which the writer has begun is out, or that it never will be, and tells whether
// the connection has ended. Only the writer knows: while its last byte may just be going out nobody else says
// whether the frame's parts may have run.
func (c *nodeConn) wrote(err error) bool {
	c.mu.Lock()
	if c.dead {
		o := c.broken(err == nil)
		torn := c.torn
		c.torn = nil
		c.mu.Unlock()
		for _, a := range torn {
			c.n.post(core.Outcome{Attempt: a, Outcome: o})
		}
		return true
	}
	if err != nil {
		if len(c.frames) > 0 {
			c.frames[0].begun = false
		}
		c.mu.Unlock()
		c.end(err)
		return true
	}
	c.used = time.Now() // from here on the frame's parts may have run
	for _, a := range c.frames[0].call {
		if id := wireID(a); c.waiting[id] == a {
			c.written[id] = c.used
		}
		if c.owed.IsZero() {
			c.owed = c.used
		}
	}
	c.booked -= c.frames[0].size
	c.frames = c.frames[1:]
	c.mu.Unlock()
	return false
}

// broken is how an attempt ended on a connection that has, by whether its frame was written whole. Closed
// while idle, a connection says nothing of its node.
func (c *nodeConn) broken(written bool) balance.Outcome {
	switch {
	case !written && c.why == nil:
		return balance.NotSent
	case !written:
		return balance.NoConnection
	case errors.Is(c.why, errSpoilt):
		return balance.Spoilt
	}
	return balance.Reset
}

// end closes the connection and tells how its attempts ended: those whose frame's last byte was not written
// have never run, the others may have.
func (c *nodeConn) end(err error) {
	c.n.mu.Lock()
	for i, x := range c.node.conns {
		if x == c {
			c.node.conns = append(c.node.conns[:i], c.node.conns[i+1:]...)
			break
		}
	}
	if x := c.node; x.gone && len(x.conns) == 0 && c.n.nodes[x.id] == x {
		delete(c.n.nodes, x.id)
	}
	c.n.mu.Unlock()
	c.mu.Lock()
	if c.dead {
		c.mu.Unlock()
		return
	}
	c.dead, c.why = true, err
	conn, waiting, probes, up := c.c, c.waiting, c.probes, c.up
	unsent := map[*core.Attempt]bool{}
	for _, f := range c.frames {
		for _, a := range f.call {
			if unsent[a] = true; f.begun && waiting[wireID(a)] == a {
				delete(waiting, wireID(a)) // the writer tells how it ended
				c.torn = append(c.torn, a)
			}
		}
	}
	whole, not := c.broken(true), c.broken(false)
	c.waiting, c.given, c.written, c.frames, c.probes = nil, nil, nil, nil, nil
	c.mu.Unlock()
	c.poke()
	if conn != nil {
		lnet.Cut(conn)
	}
	c.n.budget.Release()
	if err != nil {
		c.n.log.Info("connection to a node ended", "node", c.node.name, "up", up, "parts", len(waiting),
			"age", time.Since(c.opened), "err", err)
	}
	for _, a := range waiting {
		o := whole
		if unsent[a] {
			o = not
		}
		c.n.post(core.Outcome{Attempt: a, Outcome: o})
	}
	for _, p := range probes {
		o := whole
		if !up {
			o = balance.NoConnection
		}
		c.probeDone(p, o, nil)
	}
}

// probeDone tells how a probe ended, once.
func (c *nodeConn) probeDone(p *probe, o balance.Outcome, report []float32) {
	c.mu.Lock()
	over := p.over
	p.over = true
	c.mu.Unlock()
	if !over {
		c.n.post(core.ProbeDone{Replica: c.node.id, Outcome: o, Elapsed: time.Since(p.at), Report: report})
	}
}

// read takes answers off the connection. Spoilt ones may come from any node; the bytes after one mean
// nothing, so the connection ends with it.
func (c *nodeConn) read(conn net.Conn) {
	in := lnet.NewRing(maxFrame + 4)
	begun := false // a frame that is not all there
	for {
		n, err := conn.Read(in.Free())
		in.Grew(n)
		if n > 0 {
			c.heard()
		}
		taken := in.Len()
		for {
			b, bad := nextFrame(in)
			if b != nil {
				bad = c.frame(b)
			}
			if bad != nil {
				c.n.log.Warn("bad frame from a node", "node", c.node.name, "err", bad)
				c.end(bad)
				return
			}
			if b == nil {
				break
			}
		}
		taken -= in.Len()
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			err = spoilt("a frame that does not come to its end")
			c.n.log.Warn("bad frame from a node", "node", c.node.name, "err", err)
		case in.Len() > 0 && c.quiet():
			// More than belongs to a good answer, which stands. The next answer would be read behind it.
			err = spoilt("%d bytes of noise", in.Len())
			c.n.log.Warn("bad frame from a node", "node", c.node.name, "err", err)
		case in.Len() > 0 && (!begun || taken > 0):
			_ = conn.SetReadDeadline(time.Now().Add(c.n.frameLimit()))
		case in.Len() == 0 && begun:
			_ = conn.SetReadDeadline(time.Time{})
		}
		begun = in.Len() > 0
		if err != nil {
			c.end(err)
			return
		}
	}
}

// frameLimit is how long a frame may take once it has begun.
func (n *Nodes) frameLimit() time.Duration {
	aim := balance.Micros(0)
	for _, c := range n.conf.Load().Module.Classes {
		if aim == 0 || c.Aim < aim {
			aim = c.Aim
		}
	}
	return max(frameLeast, time.Duration(aim)*time.Microsecond/frameShare)
}

// heard notes that something came on the connection.
func (c *nodeConn) heard() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owed, c.doubt = time.Time{}, time.Time{}
	if len(c.written) > 0 {
		c.owed = time.Now()
	}
}

// owe forgets what is not waited for any more: the connection owes an answer since the oldest part that is.
func (c *nodeConn) owe() {
	var oldest time.Time
	for _, at := range c.written {
		if oldest.IsZero() || at.Before(oldest) {
			oldest = at
		}
	}
	if oldest.IsZero() || oldest.After(c.owed) {
		c.owed = oldest
	}
}

// outlived is called when a node has answered, on this connection, what was written at the time given. One
// that has been silent since before, and goes on to be, has fallen silent for good: what is out on it is
// told now, and not by a time-out each. After a pause of the node it has the time to speak up too.
func (c *nodeConn) outlived(written time.Time) {
	var mute []*nodeConn
	limit := c.node.took.most()
	c.n.mu.Lock()
	for _, x := range c.node.conns {
		if x == c {
			continue
		}
		x.mu.Lock()
		if !x.owed.IsZero() && x.owed.Before(written) && time.Since(x.owed) > limit {
			if x.doubt.IsZero() {
				x.doubt = time.Now()
			} else if time.Since(x.doubt) > limit {
				mute = append(mute, x)
			}
		}
		x.mu.Unlock()
	}
	c.n.mu.Unlock()
	for _, x := range mute {
		c.n.log.Warn("connection to a node fell silent", "node", c.node.name, "after", limit)
		x.end(spoilt("nothing came any more"))
	}
}

// quiet tells that nothing is out on the connection.
func (c *nodeConn) quiet() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.waiting) == 0 && len(c.given) == 0 && len(c.probes) == 0
}

// nextFrame takes one whole frame, without its length, out of the ring. It returns nil while bytes are
// lacking, and an error as soon as what is there cannot become a frame. Nothing is allocated by a length that
// has not come.
func nextFrame(in *lnet.Ring) ([]byte, error) {
	var head [5]byte
	n := in.Peek(head[:], 0)
	if n < 4 {
		return nil, nil
	}
	size := binary.LittleEndian.Uint32(head[:])
	if size < 1 || size > maxFrame {
		return nil, spoilt("a frame of %d bytes", size)
	}
	if n == 5 && (head[4] < '3' || head[4] > '5') && head[4] != 'X' {
		return nil, spoilt("a frame of the unknown kind %q", head[4])
	}
	if in.Len() < 4+int(size) {
		if in.Len() > maxLine && in.Index([]byte("\n")) < 0 {
			return nil, spoilt("a line that does not come to its end")
		}
		return nil, nil
	}
	b := make([]byte, size)
	in.Peek(b, 4)
	in.Discard(4 + int(size))
	return b, nil
}

// frame takes in one frame of the node.
func (c *nodeConn) frame(b []byte) error {
	rest := b[1:]
	switch b[0] {
	case '5':
		a, err := parseAnswer(rest)
		if err != nil {
			return err
		}
		var sent time.Time
		c.mu.Lock()
		c.used = time.Now()
		at := c.waiting[a.id]
		_, given := c.given[a.id]
		switch {
		case at != nil && !(given && c.queued(at)):
			if c.queued(at) {
				c.mu.Unlock()
				return spoilt("an answer to a part that was not sent")
			}
			sent = c.written[a.id]
			delete(c.waiting, a.id)
			delete(c.written, a.id)
			if len(c.written) == 0 {
				c.owed = time.Time{}
			}
			c.calls = c.count()
		case given: // late: the attempt was given up
			at = nil
			delete(c.given, a.id)
		default:
			c.mu.Unlock() // if it is a second copy, the first stands
			return spoilt("an answer to no part that is out: %.100q", a.id)
		}
		done := c.retired && len(c.waiting) == 0
		c.mu.Unlock()
		if done {
			c.poke()
		}
		if !sent.IsZero() {
			if a.outcome != balance.Busy { // which comes at once, whatever waits
				c.node.took.add(time.Since(sent))
			}
			c.outlived(sent)
		}
		if at != nil {
			c.n.post(core.Outcome{Attempt: at, Outcome: a.outcome, Report: c.n.conf.Load().report(a.report),
				Value: core.Value{Body: a.value}})
		}
		return nil
	case '3', '4':
		c.mu.Lock()
		if len(c.probes) == 0 {
			c.mu.Unlock()
			return spoilt("an answer to no probe")
		}
		p := c.probes[0]
		c.probes = c.probes[1:]
		c.mu.Unlock()
		if string(rest) == "E" {
			c.probeDone(p, balance.Error, nil)
		} else {
			c.probeDone(p, balance.OK, c.n.conf.Load().report(string(rest)))
		}
		return nil
	case 'X':
		return fmt.Errorf("the node could not use a frame: %.100q", rest)
	}
	return spoilt("a frame of the unknown kind %q", b[0])
}

// nodeAnswer is the line of an answer and its value.
type nodeAnswer struct {
	id      string
	outcome balance.Outcome
	report  string
	value   []byte
}

// parseAnswer reads `ID END SCORE REPORT` LF value.
func parseAnswer(b []byte) (nodeAnswer, error) {
	i := bytes.IndexByte(b, '\n')
	if i < 0 {
		return nodeAnswer{}, spoilt("an answer without a line")
	}
	f := strings.SplitN(string(b[:i]), " ", 4) // a report that cannot be read spoils no answer
	if len(f) != 4 || f[0] == "" {
		return nodeAnswer{}, spoilt("an answer's line %.100q", b[:i])
	}
	a := nodeAnswer{id: f[0], report: f[3], value: b[i+1:]}
	switch f[1] {
	case "S":
		a.outcome = balance.OK
	case "E":
		a.outcome = balance.Error
	case "B":
		a.outcome = balance.Busy
	default:
		return nodeAnswer{}, spoilt("an answer's end %.20q", f[1])
	}
	return a, nil
}
