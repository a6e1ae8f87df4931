package platform

// The set of data nodes, and the choice of a connection for a call (nodeconn.go, nodewrite.go,
// noderead.go). This file reports to the core how each attempt ended and whether it may have run. It must
// never retry, choose another node or answer a client.

import (
	"context"
	"encoding/binary"
	"fmt"
	"log/slog"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"lapislever/balance"
	"lapislever/internal/core"
	"lapislever/internal/delay"
	lnet "lapislever/internal/net"
)

const (
	maxLine        = 1024                   // of a data node's answer
	maxFrame       = lnet.MaxBody + maxLine // a value and its line
	maxQueuedBytes = 256 << 10              // bytes queued for one connection
	partOverhead   = 96                     // bytes of a part's line apart from its names: numbers, separators
	maxSendTries   = 3                      // closing connections that a call may meet before it is refused
	writeTimeout   = 300 * time.Millisecond
	// A frame from a node is complete within 1/frameAimShare of the shortest aim after its first byte.
	frameAimShare   = 8
	minFrameTimeout = 50 * time.Millisecond
	// A connection is silent when it has owed an answer for longer than all but the slowest of the node's
	// answers take. It gets nothing new as long as another one may be opened.
	minSilence     = 30 * time.Millisecond
	maxSilence     = time.Second
	maxSilentConns = 3   // at one node; with more, the node is silent and no connection is to blame
	maxAbandoned   = 256 // cancelled parts whose answers a connection remembers to expect
	// Connections are retired after idleShare of the nodes' idle limit: a request that is written to a
	// connection which its node is about to close ends as a reset.
	idleShare = 0.7
)

// The states of a data node in discovery's list.
const (
	inService   = "in_service"
	terminating = "terminating"
	terminated  = "terminated"
)

// Nodes is the backend of the platform's queries.
type Nodes struct {
	cfg    atomic.Pointer[Config]
	log    *slog.Logger
	budget *lnet.Budget
	post   func(core.Event)
	counts *core.Counts
	delays *delay.Recorder
	mu     sync.Mutex // guards nodes and each node's address and connections
	nodes  map[balance.ReplicaID]*node
}

type node struct {
	id      balance.ReplicaID
	name    string
	addr    string
	born    float64
	removed bool // no longer listed: deleted with its last connection
	// missing is set while a full list is processed that has not named the node so far.
	missing bool
	health  string // as in the last list
	// draining is set when the list says that the node gets nothing new, even before the core has processed
	// that.
	draining atomic.Bool
	conns    []*nodeConn
	latency  latency
}

// NewNodes returns an empty set of nodes. post queues an event for the core.
func NewNodes(cfg *Config, budget *lnet.Budget, log *slog.Logger, counts *core.Counts,
	post func(core.Event)) *Nodes {
	n := &Nodes{log: log, budget: budget, post: post, counts: counts, nodes: map[balance.ReplicaID]*node{}}
	n.cfg.Store(cfg)
	return n
}

// UpdateHosts takes in the nodes' addresses. A full list implies that other nodes are gone. It must be
// called before the core learns of the nodes. Nodes that are gone are deleted once nothing is in flight to
// them: ids are never reused and would accumulate. It returns the changes, to be logged once the core has
// learnt of them.
func (n *Nodes) UpdateHosts(hosts []Host, full bool) (changes []nodeChange) {
	n.mu.Lock()
	var stale, retiring []*nodeConn
	first := len(n.nodes) == 0
	for _, x := range n.nodes {
		if full && !x.removed {
			x.removed, x.missing = true, true
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
		if x.missing {
			x.removed, x.missing = false, false
		}
		if gone := h.Health == terminated; gone != x.removed || h.Health != x.health || h.Born > x.born {
			changes = append(changes, nodeChange{changeLevel(first), h.Host, id, h.Health, h.Born})
			x.removed, x.health = gone, h.Health
		}
		x.draining.Store(h.Health != inService)
		if h.Born > x.born || h.Dial != x.addr {
			// A new process runs there now: it will not answer what its predecessor received.
			for _, c := range x.conns {
				if h.Dial != x.addr || c.openedAt.UnixMilli() < int64(h.Born) {
					stale = append(stale, c)
				}
			}
		}
		x.addr, x.born = h.Dial, max(x.born, h.Born)
	}
	for id, x := range n.nodes {
		if x.missing {
			x.missing = false
			x.draining.Store(true)
			changes = append(changes, nodeChange{slog.LevelInfo, x.name, id, "not listed any more", x.born})
		}
		if x.removed {
			retiring = append(retiring, x.conns...)
			if len(x.conns) == 0 {
				delete(n.nodes, id)
			}
		}
	}
	n.mu.Unlock()
	for _, c := range stale {
		c.close(fmt.Errorf("the node was restarted"))
	}
	for _, c := range retiring {
		c.retire()
	}
	return changes
}

// nodeChange is a node's new state.
type nodeChange struct {
	level  slog.Level
	name   string
	id     balance.ReplicaID
	health string
	born   float64
}

// logChanges logs nodes' new states.
func (n *Nodes) logChanges(changes []nodeChange) {
	for _, x := range changes {
		n.log.Log(context.Background(), x.level, "data node", "node", x.name, "id", fmt.Sprintf("%x", uint64(x.id)),
			"health", x.health, "born_ms", x.born)
	}
}

// changeLevel returns the log level for a node's new state. Those of the first list after a start matter
// less.
func changeLevel(first bool) slog.Level {
	if first {
		return slog.LevelDebug
	}
	return slog.LevelInfo
}

// Name returns a node's name by its id, or false if there is no such node.
func (n *Nodes) Name(id balance.ReplicaID) (string, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if x := n.nodes[id]; x != nil {
		return x.name, true
	}
	return "", false
}

func wireID(a *core.Attempt) string { return a.Query.Name + "." + strconv.Itoa(a.Shard) }

// Send queues one call on a connection with free capacity, or on a new one.
func (n *Nodes) Send(to balance.ReplicaID, call []*core.Attempt) bool {
	return n.enqueue(to, frame{call: call, size: callSize(call)})
}

// enqueue queues a frame on a connection that accepts it.
func (n *Nodes) enqueue(to balance.ReplicaID, f frame) bool {
	for range maxSendTries {
		c, opened := n.pickConn(to, true)
		if c == nil {
			return false
		}
		ok, closing := c.enqueue(f)
		if opened { // behind the frame: a dial that fails at once is the outcome of its call
			go c.dialAndWrite()
		}
		if ok || !closing {
			return ok
		}
	}
	return false
}

// pickConn returns a connection with capacity for a call, or a new one. The caller must dial a new one once
// it has queued its frame.
func (n *Nodes) pickConn(to balance.ReplicaID, open bool) (c *nodeConn, opened bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	x := n.nodes[to]
	if x == nil || x.addr == "" {
		return nil, false
	}
	var best, silentConn *nodeConn
	bestFree, silentFree, silentCount := 0, 0, 0
	silenceLimit := x.latency.upperBound()
	for _, c := range x.conns {
		c.mu.Lock()
		free := n.cfg.Load().StreamsPerConn - c.inFlight
		switch {
		case c.closed || c.retired:
		case !c.owedSince.IsZero() && time.Since(c.owedSince) > silenceLimit:
			if silentCount++; silentConn == nil || free > silentFree {
				silentConn, silentFree = c, free
			}
		case best == nil || free > bestFree:
			best, bestFree = c, free
		}
		c.mu.Unlock()
	}
	if silentConn != nil && best == nil && (silentCount > maxSilentConns || !open) {
		best, bestFree = silentConn, silentFree
	}
	if best != nil && bestFree > 0 || !open {
		return best, false
	}
	if best == nil {
		best = silentConn
	}
	if !n.budget.AcquireServer() {
		return best, false // no descriptor is left: the call queues behind others
	}
	c = &nodeConn{backend: n, node: x, addr: x.addr, pending: map[string]*core.Attempt{},
		abandoned: map[string]time.Time{}, writtenAt: map[string]time.Time{}, wake: make(chan struct{}, 1),
		lastUsed: time.Now(), openedAt: time.Now()}
	x.conns = append(x.conns, c)
	return c, true
}

// Cancel cancels an attempt, and reports whether it has certainly never run. One that has not started is
// withdrawn from the queue. Otherwise the node is told, where the settings allow it.
func (n *Nodes) Cancel(a *core.Attempt) bool {
	id := wireID(a)
	n.mu.Lock()
	var c *nodeConn
	if x := n.nodes[a.Replica]; x != nil {
		for _, k := range x.conns {
			k.mu.Lock()
			if k.pending[id] == a {
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
	delete(c.pending, id)
	delete(c.writtenAt, id)
	if !c.owedSince.IsZero() && time.Since(c.owedSince) <= c.node.latency.upperBound() {
		c.updateOwed() // cancelled for another reason than silence; it may never be answered
	}
	unsent := c.dequeue(a)
	if !unsent && !c.closed {
		c.markAbandoned(id)
		if c.isWriting(a) { // once cancelled, it must not be sent behind what replaces it
			c.abortWriteAfter(core.WriteGrace)
		}
	}
	c.mu.Unlock()
	if !unsent && n.cfg.Load().Module.CanCancel { // otherwise the node's answer is discarded
		b := append([]byte{0, 0, 0, 0, '2'}, id...)
		binary.LittleEndian.PutUint32(b, uint32(len(b)-4))
		c.enqueue(frame{payload: b, size: len(b)})
	}
	return unsent
}

// Probe sends a probe, over an existing connection if possible.
func (n *Nodes) Probe(to balance.ReplicaID) bool {
	text := []byte{1, 0, 0, 0, '3'}
	return n.enqueue(to, frame{payload: text, size: len(text), probe: &probe{sentAt: time.Now()}})
}

// CloseIdle closes the connections to a node that have nothing in flight.
func (n *Nodes) CloseIdle(to balance.ReplicaID) {
	for _, c := range n.connsTo(to) {
		c.mu.Lock()
		idle := c.connected && len(c.pending) == 0 && len(c.frames) == 0 && len(c.probes) == 0
		c.retired = c.retired || idle
		c.mu.Unlock()
		if idle {
			c.close(nil)
		}
	}
}

// CancelQueued withdraws what is queued for a node and has not started: none of it may be sent any more.
func (n *Nodes) CancelQueued(to balance.ReplicaID) []*core.Attempt {
	var withdrawn []*core.Attempt
	for _, c := range n.connsTo(to) {
		c.mu.Lock()
		for _, f := range c.frames {
			if f.started && len(f.call) > 0 && c.writing { // the node drains: it must not arrive late
				c.abortWriteAfter(core.WriteGrace)
			}
			if !f.started {
				for _, a := range f.call {
					if c.pending[wireID(a)] == a {
						delete(c.pending, wireID(a))
						withdrawn = append(withdrawn, a)
					}
				}
			}
		}
		c.filterQueue(func(f *frame) bool { return f.call == nil && f.probe == nil })
		c.inFlight = c.countCalls()
		c.mu.Unlock()
	}
	return withdrawn
}

func (n *Nodes) connsTo(to balance.ReplicaID) []*nodeConn {
	n.mu.Lock()
	defer n.mu.Unlock()
	if x := n.nodes[to]; x != nil {
		return append([]*nodeConn(nil), x.conns...)
	}
	return nil
}
