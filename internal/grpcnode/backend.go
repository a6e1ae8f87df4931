// Package grpcnode is the client for nodes of the new form: gRPC over HTTP/2, one call per part, implemented
// at the level of frames. It manages connections, streams and TLS credentials, and reports to the core how
// each attempt ended and whether it may have run. It must never retry, choose another node or reply to a
// client: only the module decides whether something is sent again.
//
// This file contains the backend, which finds or opens a connection for an attempt.
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

// replyOverhead is how many bytes a reply message may hold in addition to its value.
const replyOverhead = 256

// Target is a node's address.
type Target struct {
	Name       string
	Address    string
	TLS        bool
	ServerName string // the name that its certificate must have
}

// Config holds the limits on connections.
type Config struct {
	StreamsPerConn int           // limit on concurrent calls on one connection
	ConnsPerNode   int           // limit on connections to one node
	QueuePerNode   int           // limit on calls queued for a node beyond the concurrent ones
	MaxValue       int           // limit on the bytes of a value
	DialTimeout    time.Duration // until the server's settings arrive, including TLS
	IdleTimeout    time.Duration // after which a connection without calls is closed
	WriteTimeout   time.Duration // for a single write
}

// QueryInfo is the interface to a query's front. Query.Data must implement it.
type QueryInfo interface {
	// ClassName returns the name of the query's class.
	ClassName() string
	// RecordFailure records why an attempt returned nothing usable.
	RecordFailure(translate.Reason)
}

// Backend implements core.Backend for nodes of the new form.
type Backend struct {
	cfg         Config
	credentials *Credentials
	budget      *lnet.Budget
	log         *slog.Logger
	counts      *core.Counts
	tally       *translate.FailureCounts
	post        func(core.Event)

	mu       sync.Mutex // guards nodes, inFlight
	nodes    map[balance.ReplicaID]*node
	inFlight map[*core.Attempt]*conn // each attempt's connection, also at nodes no longer listed
}

// New returns a backend without nodes; SetTargets adds them. credentials may be nil if no node uses TLS.
func New(cfg Config, credentials *Credentials, budget *lnet.Budget, log *slog.Logger, counts *core.Counts,
	tally *translate.FailureCounts, post func(core.Event)) *Backend {
	return &Backend{cfg: cfg, credentials: credentials, budget: budget, log: log, counts: counts, tally: tally,
		post: post, nodes: map[balance.ReplicaID]*node{}, inFlight: map[*core.Attempt]*conn{}}
}

func (b *Backend) maxReply() int { return b.cfg.MaxValue + messagePrefixSize + replyOverhead }

// node is a node with its connections.
type node struct {
	id    balance.ReplicaID
	name  string
	mu    sync.Mutex // guards dest, conns
	dest  Target
	conns []*conn
}

func (n *node) target() Target {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dest
}

func (n *node) removeConn(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for i, x := range n.conns {
		if x == c {
			n.conns = append(n.conns[:i], n.conns[i+1:]...)
			return
		}
	}
}

func (n *node) connections() []*conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]*conn(nil), n.conns...)
}

// SetTargets replaces the list of nodes. Connections to nodes that were removed or whose target changed
// accept no new calls; calls in flight on them continue.
func (b *Backend) SetTargets(list []Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.nodes
	b.nodes = map[balance.ReplicaID]*node{}
	for _, target := range list {
		id := core.ServerID(target.Name)
		n := old[id]
		delete(old, id)
		if n == nil {
			n = &node{id: id, name: target.Name}
		}
		n.mu.Lock()
		changed := n.dest != target
		n.dest = target
		n.mu.Unlock()
		if changed {
			n.retire()
		}
		b.nodes[id] = n
	}
	for _, n := range old {
		n.retire()
	}
}

func (n *node) retire() {
	for _, c := range n.connections() {
		c.retire()
	}
}

// RetireTLSConns retires all TLS connections, so that new calls use connections with the current credentials.
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

// Send sends attempts, each as a call of its own.
func (b *Backend) Send(to balance.ReplicaID, call []*core.Attempt) bool {
	for _, a := range call {
		b.send(to, a)
	}
	return true
}

// send sends one attempt. Its last byte is not written after Attempt.StartBy.
func (b *Backend) send(to balance.ReplicaID, a *core.Attempt) {
	n := b.node(to)
	if n == nil {
		b.reportNotSent(a, balance.NoConnection)
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
	s := &stream{attempt: a, deadline: time.Now().Add(a.Timeout), metadata: [][2]string{{"call-id", q.Name}}}
	if q.Key != "" {
		s.metadata = append(s.metadata, [2]string{"idempotency-key", q.Key})
	}
	s.body = p.Append(make([]byte, 0, messagePrefixSize+64+len(p.ID)+len(p.Class)+len(p.Filter)))
	c, opened := b.pickConn(n)
	if c == nil {
		b.reportNotSent(a, balance.Busy)
		return
	}
	if opened { // behind the call: a dial that fails at once is its outcome
		defer func() { go c.writeLoop() }()
	}
	b.mu.Lock()
	b.inFlight[a] = c
	b.mu.Unlock()
	if !c.enqueue(s) {
		b.forget(a)
		b.reportNotSent(a, balance.NotSent)
	}
}

// forget removes an attempt from those in flight.
func (b *Backend) forget(a *core.Attempt) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.inFlight, a)
}

// reportNotSent reports an attempt that was not sent. It does so on a goroutine of its own, as the core is in
// Send at this point and must not wait for itself.
func (b *Backend) reportNotSent(a *core.Attempt, outcome balance.Outcome) {
	go b.post(core.AttemptDone{Attempt: a, Outcome: outcome})
}

// pickConn returns the connection with the most free capacity, or a new one if all are full; the caller must
// start the write loop of a new one once it has queued its call. It returns nil if the node's queue is full.
func (b *Backend) pickConn(n *node) (c *conn, opened bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var best *conn
	bestFree, queued, live := 0, 0, 0
	for _, c := range n.conns {
		c.mu.Lock()
		free := c.maxCalls() - c.load()
		usable := !c.closed && !c.retired
		c.mu.Unlock()
		if !usable {
			continue
		}
		live++
		queued += max(0, -free)
		if best == nil || free > bestFree {
			best, bestFree = c, free
		}
	}
	if best != nil && bestFree > 0 {
		return best, false
	}
	if live < b.cfg.ConnsPerNode && b.budget.AcquireServer() {
		c := newConn(b, n)
		n.conns = append(n.conns, c)
		return c, true
	}
	if best == nil {
		b.log.Warn("no descriptor is left for a node", "node", n.name)
		return nil, false
	}
	if queued >= b.cfg.QueuePerNode {
		return nil, false
	}
	return best, false
}

// Cancel cancels an attempt. It returns true if the attempt certainly never ran.
func (b *Backend) Cancel(a *core.Attempt) bool {
	b.mu.Lock()
	c := b.inFlight[a]
	delete(b.inFlight, a)
	b.mu.Unlock()
	return c != nil && c.cancel(a)
}

// Probe probes a node with an HTTP/2 ping, on an existing connection if possible.
func (b *Backend) Probe(to balance.ReplicaID) bool {
	n := b.node(to)
	if n == nil {
		return false
	}
	c, opened := b.pickConn(n)
	if opened {
		defer func() { go c.writeLoop() }()
	}
	return c != nil && c.probe()
}

// CloseIdle closes idle connections to a node.
func (b *Backend) CloseIdle(to balance.ReplicaID) {
	if n := b.node(to); n != nil {
		for _, c := range n.connections() {
			if c.idle() {
				c.retire()
			}
		}
	}
}

// CancelQueued removes the attempts that are queued for a node and not started, and returns them.
func (b *Backend) CancelQueued(to balance.ReplicaID) (cancelled []*core.Attempt) {
	if n := b.node(to); n != nil {
		for _, c := range n.connections() {
			cancelled = append(cancelled, c.takePending()...)
		}
	}
	for _, a := range cancelled {
		b.forget(a)
	}
	return cancelled
}

// OpenConns returns the number of open connections.
func (b *Backend) OpenConns() (open int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, n := range b.nodes {
		open += len(n.connections())
	}
	return open
}

// Close closes all connections immediately.
func (b *Backend) Close() {
	b.mu.Lock()
	var all []*conn
	for _, n := range b.nodes {
		all = append(all, n.connections()...)
	}
	b.mu.Unlock()
	for _, c := range all {
		c.close(net.ErrClosed)
	}
}

// finishAttempt reports to the core how an attempt ended.
func (b *Backend) finishAttempt(n *node, a *core.Attempt, r translate.Result, v core.Value,
	report []float32) {
	b.forget(a)
	b.tally.Add(r.Reason)
	if c, ok := a.Query.Data.(QueryInfo); ok && r.Reason != translate.None {
		c.RecordFailure(r.Reason)
	}
	if r.Reason.Untranslatable() {
		b.log.Warn("a node's answer has no equivalent in the old form", "node", n.name, "call", a.Query.Name,
			"shard", a.Shard, "why", r.Reason)
	}
	b.post(core.AttemptDone{Attempt: a, Outcome: r.Outcome, Value: v, Report: report})
}

func (b *Backend) probeDone(n *node, outcome balance.Outcome, elapsed time.Duration) {
	b.post(core.ProbeDone{Replica: n.id, Outcome: outcome, Elapsed: elapsed})
}

// decodeReply converts a complete reply to a value of the old form.
func (b *Backend) decodeReply(s *stream) (translate.Result, core.Value, []float32) {
	bad := func(reason translate.Reason) (translate.Result, core.Value, []float32) {
		return translate.Result{Outcome: balance.Error, Reason: reason}, core.Value{}, nil
	}
	if len(s.reply) < messagePrefixSize {
		return bad(translate.UnreadableReply) // success without a message
	}
	if s.reply[0] != 0 {
		return bad(translate.Compressed)
	}
	if int64(binary.BigEndian.Uint32(s.reply[1:])) != int64(len(s.reply)-messagePrefixSize) {
		return bad(translate.UnreadableReply) // truncated, or more than one message
	}
	a, err := ParseAnswer(s.reply[messagePrefixSize:])
	if err != nil {
		return bad(translate.UnreadableReply)
	}
	text, reason := a.Value(s.attempt.Shard, b.cfg.MaxValue)
	if reason != translate.None {
		return bad(reason)
	}
	var report []float32
	if a.HasReport {
		report = []float32{float32(a.Rate), float32(a.Waiting)}
	}
	return translate.Result{Outcome: balance.OK}, core.Value{Body: text}, report
}
