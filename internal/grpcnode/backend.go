// Package grpcnode is the way to nodes of the new form: gRPC over HTTP/2, one call a part, at the level of
// frames. It owns connections, streams and keys, and tells the core how each attempt ended and whether it may
// have run. It must never retry, choose another node or answer a client: whatever would be sent once more,
// the module decides.
//
// This file is the backend: it finds or opens a connection for an attempt.
package grpcnode

import (
	"encoding/binary"
	"log/slog"
	"net"
	"strconv"
	"sync"
	"time"

	"lapislever/balance"
	"lapislever/internal/core"
	lnet "lapislever/internal/net"
	"lapislever/internal/translate"
)

// replySlack is what a reply's message may hold beside its value.
const replySlack = 256

// Target is where a node is.
type Target struct {
	Name       string
	Address    string
	TLS        bool
	ServerName string // that its certificate has to bear
}

// Config bounds the connections.
type Config struct {
	StreamsPerConn int           // calls that one connection carries at a time, at most
	ConnsPerNode   int           // connections to one node
	QueuePerNode   int           // calls that wait for a node beyond what its connections carry
	MaxValue       int           // bytes of a value
	DialTimeout    time.Duration // until the settings are there, TLS included
	IdleTimeout    time.Duration // after which a connection without calls is closed
	WriteTimeout   time.Duration // of one write
}

// QueryInfo is what a query tells of itself: Query.Data has to be one.
type QueryInfo interface {
	// ClassName is its class's.
	ClassName() string
	// RecordFailure hears why an attempt brought nothing that can be used.
	RecordFailure(translate.Reason)
}

// Backend is the way to the nodes.
type Backend struct {
	cfg    Config
	keys   *Credentials
	budget *lnet.Budget
	log    *slog.Logger
	count  *core.Counts
	tally  *translate.FailureCounts
	post   func(core.Event)

	mu    sync.Mutex // guards nodes, out
	nodes map[balance.ReplicaID]*node
	out   map[*core.Attempt]*conn // where each attempt is, also at nodes that have gone from the list
}

// New returns the way to nodes that Learn will tell of. keys may be nil where no node is reached by TLS.
func New(cfg Config, keys *Credentials, budget *lnet.Budget, log *slog.Logger, count *core.Counts,
	tally *translate.FailureCounts, post func(core.Event)) *Backend {
	return &Backend{cfg: cfg, keys: keys, budget: budget, log: log, count: count, tally: tally, post: post,
		nodes: map[balance.ReplicaID]*node{}, out: map[*core.Attempt]*conn{}}
}

func (b *Backend) replyMost() int { return b.cfg.MaxValue + prefixSize + replySlack }

// node is one node with its connections.
type node struct {
	id    balance.ReplicaID
	name  string
	mu    sync.Mutex // guards to, conns
	to    Target
	conns []*conn
}

func (n *node) target() Target {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.to
}

func (n *node) drop(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for i, x := range n.conns {
		if x == c {
			n.conns = append(n.conns[:i], n.conns[i+1:]...)
			return
		}
	}
}

func (n *node) all() []*conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]*conn(nil), n.conns...)
}

// SetTargets takes in where all nodes are. Connections to those that are gone or have moved take nothing new; what
// is out on them comes to its end.
func (b *Backend) SetTargets(list []Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.nodes
	b.nodes = map[balance.ReplicaID]*node{}
	for _, t := range list {
		id := core.ServerID(t.Name)
		n := old[id]
		delete(old, id)
		if n == nil {
			n = &node{id: id, name: t.Name}
		}
		n.mu.Lock()
		moved := n.to != t
		n.to = t
		n.mu.Unlock()
		if moved {
			n.retire()
		}
		b.nodes[id] = n
	}
	for _, n := range old {
		n.retire()
	}
}

func (n *node) retire() {
	for _, c := range n.all() {
		c.retire()
	}
}

// RetireTLSConns has new calls go out on connections that are opened with the keys of now.
func (b *Backend) RetireTLSConns() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, n := range b.nodes {
		if n.target().TLS {
			n.retire()
		}
	}
}

func (b *Backend) node(id balance.ReplicaID) *node {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.nodes[id]
}

// Send passes on attempts.
func (b *Backend) Send(to balance.ReplicaID, call []*core.Attempt) bool {
	for _, a := range call {
		b.send(to, a)
	}
	return true
}

// send passes on one attempt. Its last byte is not written after its moment, Attempt.Before.
func (b *Backend) send(to balance.ReplicaID, a *core.Attempt) {
	n := b.node(to)
	if n == nil {
		b.never(a, balance.NoConnection)
		return
	}
	q := a.Query
	p := Part{ID: q.Name + "." + strconv.Itoa(a.Shard), Shard: uint32(a.Shard), Filter: q.Payload}
	if c, ok := q.Data.(QueryInfo); ok {
		p.Class = c.ClassName()
	}
	for i := range q.Parts {
		if s := &q.Parts[i]; s.Shard == a.Shard {
			p.Micros, p.Term = uint64(max(0, s.Hint)), s.Key
		}
	}
	s := &stream{a: a, until: time.Now().Add(a.Timeout), head: [][2]string{{"call-id", q.Name}}}
	if q.Key != "" {
		s.head = append(s.head, [2]string{"idempotency-key", q.Key})
	}
	s.body = p.Append(make([]byte, 0, prefixSize+64+len(p.ID)+len(p.Class)+len(p.Filter)))
	c := b.conn(n)
	if c == nil {
		b.never(a, balance.Busy)
		return
	}
	b.mu.Lock()
	b.out[a] = c
	b.mu.Unlock()
	if !c.add(s) {
		b.left(a)
		b.never(a, balance.NotSent)
	}
}

// left forgets where an attempt was.
func (b *Backend) left(a *core.Attempt) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.out, a)
}

// never tells of an attempt that was not passed on. The core calls Send, so that the word must not wait for
// it.
func (b *Backend) never(a *core.Attempt, o balance.Outcome) {
	go b.post(core.AttemptDone{Attempt: a, Outcome: o})
}

// conn finds the connection with the most room, or opens one where all are full. It is nil where as many
// calls wait as may.
func (b *Backend) conn(n *node) *conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	var best *conn
	room, total, live := 0, 0, 0
	for _, c := range n.conns {
		c.mu.Lock()
		free := c.most() - c.load()
		usable := !c.dead && !c.retired
		c.mu.Unlock()
		if !usable {
			continue
		}
		live++
		total += max(0, -free)
		if best == nil || free > room {
			best, room = c, free
		}
	}
	if best != nil && room > 0 {
		return best
	}
	if live < b.cfg.ConnsPerNode && b.budget.AcquireServer() {
		c := newConn(b, n)
		n.conns = append(n.conns, c)
		go c.run()
		return c
	}
	if best == nil {
		b.log.Warn("no descriptor is left for a node", "node", n.name)
		return nil
	}
	if total >= b.cfg.QueuePerNode {
		return nil
	}
	return best
}

// Cancel gives an attempt up.
func (b *Backend) Cancel(a *core.Attempt) bool {
	b.mu.Lock()
	c := b.out[a]
	delete(b.out, a)
	b.mu.Unlock()
	return c != nil && c.cut(a)
}

// Probe looks at a node by a ping, on a connection that is there if possible.
func (b *Backend) Probe(to balance.ReplicaID) bool {
	n := b.node(to)
	if n == nil {
		return false
	}
	c := b.conn(n)
	return c != nil && c.probe()
}

// CloseIdle closes the connections to a node that carry nothing.
func (b *Backend) CloseIdle(to balance.ReplicaID) {
	if n := b.node(to); n != nil {
		for _, c := range n.all() {
			if c.idle() {
				c.retire()
			}
		}
	}
}

// CancelQueued takes back what is queued for a node and not begun.
func (b *Backend) CancelQueued(to balance.ReplicaID) (back []*core.Attempt) {
	if n := b.node(to); n != nil {
		for _, c := range n.all() {
			back = append(back, c.back()...)
		}
	}
	for _, a := range back {
		b.left(a)
	}
	return back
}

// Open counts the connections.
func (b *Backend) Open() (open int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, n := range b.nodes {
		open += len(n.all())
	}
	return open
}

// Close ends all connections at once.
func (b *Backend) Close() {
	b.mu.Lock()
	var all []*conn
	for _, n := range b.nodes {
		all = append(all, n.all()...)
	}
	b.mu.Unlock()
	for _, c := range all {
		c.end(net.ErrClosed)
	}
}

// done tells the core how an attempt ended.
func (b *Backend) done(n *node, a *core.Attempt, r translate.Result, v core.Value, report []float32) {
	b.left(a)
	b.tally.Add(r.Reason)
	if c, ok := a.Query.Data.(QueryInfo); ok && r.Reason != translate.None {
		c.RecordFailure(r.Reason)
	}
	if r.Reason.Untranslatable() {
		b.log.Warn("a node's answer has no equivalent", "node", n.name, "call", a.Query.Name, "shard", a.Shard,
			"why", r.Reason)
	}
	b.post(core.AttemptDone{Attempt: a, Outcome: r.Outcome, Value: v, Report: report})
}

func (b *Backend) probed(n *node, o balance.Outcome, took time.Duration) {
	b.post(core.ProbeDone{Replica: n.id, Outcome: o, Elapsed: took})
}

// value makes the old form's value of a whole reply.
func (b *Backend) value(s *stream) (translate.Result, core.Value, []float32) {
	bad := func(why translate.Reason) (translate.Result, core.Value, []float32) {
		return translate.Result{Outcome: balance.Error, Reason: why}, core.Value{}, nil
	}
	if len(s.reply) < prefixSize {
		return bad(translate.UnreadableReply) // success without a message
	}
	if s.reply[0] != 0 {
		return bad(translate.Compressed)
	}
	if int64(binary.BigEndian.Uint32(s.reply[1:])) != int64(len(s.reply)-prefixSize) {
		return bad(translate.UnreadableReply) // cut short, or more than one
	}
	a, err := ParseAnswer(s.reply[prefixSize:])
	if err != nil {
		return bad(translate.UnreadableReply)
	}
	text, why := a.Value(s.a.Shard, b.cfg.MaxValue)
	if why != translate.None {
		return bad(why)
	}
	var report []float32
	if a.HasReport {
		report = []float32{float32(a.Rate), float32(a.Waiting)}
	}
	return translate.Result{Outcome: balance.OK}, core.Value{Body: text}, report
}
