package platform

// The set of data nodes, and which connection a call goes to (nodeconn.go, nodewrite.go, noderead.go). What
// is here tells the core how each attempt ended, and whether it may have run. It must never retry, choose
// another node or answer a client.

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

// The states of a data node in discovery's list.
const (
	inService   = "in_service"
	terminating = "terminating"
	terminated  = "terminated"
)

// Nodes is the backend of the platform's queries.
type Nodes struct {
	conf   atomic.Pointer[Config]
	log    *slog.Logger
	budget *lnet.Budget
	post   func(core.Event)
	count  *core.Counts
	delays *delay.Recorder
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
	// draining tells that the list says the node is to get nothing new, also before the core has heard of it.
	draining atomic.Bool
	conns    []*nodeConn
	took     latency
}

// NewNodes returns the way to the nodes; post is the core's queue.
func NewNodes(cfg *Config, budget *lnet.Budget, log *slog.Logger, count *core.Counts,
	post func(core.Event)) *Nodes {
	n := &Nodes{log: log, budget: budget, post: post, count: count, nodes: map[balance.ReplicaID]*node{}}
	n.conf.Store(cfg)
	return n
}

// UpdateHosts takes in where nodes are; of a whole list, that the others are gone. It must come before the core
// hears of them. What is gone is forgotten once nothing of it is out: ids never come again, and would else
// pile up. What is new is returned, to be logged once the core has heard of it.
func (n *Nodes) UpdateHosts(hosts []Host, whole bool) (news []nodeNews) {
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
		if gone := h.Health == terminated; gone != x.gone || h.Health != x.health || h.Born > x.born {
			news = append(news, nodeNews{levelOfNews(first), h.Host, id, h.Health, h.Born})
			x.gone, x.health = gone, h.Health
		}
		x.draining.Store(h.Health != inService)
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
			x.draining.Store(true)
			news = append(news, nodeNews{slog.LevelInfo, x.name, id, "not listed any more", x.born})
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
	return news
}

// nodeNews is a node's new state.
type nodeNews struct {
	level  slog.Level
	name   string
	id     balance.ReplicaID
	health string
	born   float64
}

// logNews logs nodes' new states.
func (n *Nodes) logNews(news []nodeNews) {
	for _, x := range news {
		n.log.Log(context.Background(), x.level, "data node", "node", x.name, "id", fmt.Sprintf("%x", uint64(x.id)),
			"health", x.health, "born_ms", x.born)
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
	if !n.budget.AcquireServer() {
		return best // no descriptor is left: it waits behind others
	}
	c := &nodeConn{n: n, node: x, waiting: map[string]*core.Attempt{},
		given: map[string]time.Time{}, written: map[string]time.Time{}, wake: make(chan struct{}, 1),
		used: time.Now(), opened: time.Now()}
	x.conns = append(x.conns, c)
	go c.write(x.addr)
	return c
}

// Cancel gives an attempt up: if its frame is not begun it is taken back, else the node is told.
func (n *Nodes) Cancel(a *core.Attempt) bool {
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
		c.expectResponse() // given up for a reason of its own; it may never be answered
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

// CancelQueued takes back what is queued for a node and not begun: nothing of it may go out any more.
func (n *Nodes) CancelQueued(to balance.ReplicaID) []*core.Attempt {
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
		c.filterQueue(func(f *frame) bool { return f.call == nil && f.probe == nil })
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
