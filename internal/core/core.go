// Package core holds the one goroutine that owns the decision module, and with it each query's life and
// values. Fronts hand it queries and backends hand it outcomes, all through one bounded queue; it steps the
// module and carries out what the module says. It must never know a wire: what a query looks like to its
// client and a part to its server is behind the interfaces that this file defines. It must never decide
// either, beyond the bounds that the settings place on it.
package core

import (
	"cmp"
	"container/heap"
	"hash/fnv"
	"log/slog"
	"maps"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"lapislever/balance"
	"lapislever/internal/verdict"
)

// Sizes of the core.
const (
	queueSize   = 4096
	maxBatch    = 1024                   // events of one Step
	guardSlack  = 10 * time.Millisecond  // past its time a query is ended without the module
	fullAdvice  = 250 * time.Millisecond // when to come back after the queue or the table was full
	countSpan   = 100 * time.Millisecond // between looks at what the module avoids
	numberLimit = 1 << 24                // a query's number must be exact as a float32
)

// Ending is the kind of a final answer.
type Ending uint8

// The kinds of final answer.
const (
	Answered Ending = iota
	Refused
	Failed
)

// Value is what a server gave for a part.
type Value struct {
	Shard int
	Body  []byte
	Data  any // what a backend has made of it, for its own front
}

// Final is the one final answer of a query.
type Final struct {
	Ending     Ending
	Whole      bool
	Values     []Value       // in the order of the parts; those that are in
	RetryAfter time.Duration // of a refusal: when to come back
	Overdue    bool          // the time was over before there was a decision
	Why        string        // of a refusal that the module did not make
	NameTaken  bool          // an open query bears the same name
}

// Client hears the final answer of its query, exactly once, from any goroutine, and must not block.
type Client interface {
	Final(Final)
}

// PartSpec is one part of a query as its front describes it.
type PartSpec struct {
	Shard  int
	Weight float64
	Hint   balance.Micros
	Key    uint64
}

// Query is one query as its front hands it over. Nothing of it may be changed afterwards.
type Query struct {
	Name     string // what its parts are named by on a wire; unique among those that are open
	Class    int
	Tenant   int
	Deadline time.Time // when the client gives this try up
	Repeat   bool
	Key      string         // idempotency key
	Rules    *balance.Class // what binds it where that is not its class; nil: the class
	Most     int            // attempts for a part, where that differs from the settings; 0: it does not
	Text     []byte         // what each part carries
	Parts    []PartSpec
	Client   Client
	Via      Backend // takes the parts to their servers
	Data     any     // what the front and its backend share
	Caller   string  // who asks, by the name that limits know; empty: nobody has said
	Ticket   any     // the gate's
	// ClientLeft looks whether the client's connection has been closed by it, without waiting. Nil: nobody can
	// tell.
	ClientLeft func() bool

	admitted bool
	id       uint32
	number   float32
	parts    []*part
	open     bool
	began    balance.Micros // when the core took it
	deadline balance.Micros
	writes   writeBarrier // closed once it has its final answer or its client has left
}

// Over tells that the query has its final answer, or that its client has left: nothing of it may begin.
func (q *Query) Over() bool { return q.writes.closed.Load() }

type part struct {
	q     *Query
	spec  *PartSpec
	id    uint32
	tries []*Attempt
	live  int
	value *Value
	over  bool
}

// Counts are the figures of this process since its start. Each is written where the thing happens and may be
// read at any time from any goroutine.
type Counts struct {
	Tries    atomic.Int64 // attempts whose last byte was written to a server
	Active   atomic.Int64 // queries taken and not yet ended
	Listed   atomic.Int64 // servers in the list
	Avoided  atomic.Int64 // of those, the ones that get nothing: put out by hand, or avoided by the module
	Applied  atomic.Int64 // configurations taken in while running
	Rejected atomic.Int64 // and turned down

	mu      sync.Mutex // guards the map; the counts in it are atomics
	classes map[string]*ClassCount
}

// ClassCount counts the replies to a class's queries. Whoever words the reply counts it, as only there it is
// known what the client is told.
type ClassCount struct{ ends [Failed + 1]atomic.Int64 }

// Add counts one reply.
func (c *ClassCount) Add(e Ending) { c.ends[e].Add(1) }

// Of is how many ended in a way.
func (c *ClassCount) Of(e Ending) int64 { return c.ends[e].Load() }

// Class is the count of a class by its name, the same for as long as the process runs.
func (c *Counts) Class(name string) *ClassCount {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.classes == nil {
		c.classes = map[string]*ClassCount{}
	}
	x := c.classes[name]
	if x == nil {
		x = &ClassCount{}
		c.classes[name] = x
	}
	return x
}

// Classes are the counts of all classes that were ever named.
func (c *Counts) Classes() map[string]*ClassCount {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.classes)
}

// ServerID is the module's name for a server: the same at every coordinator, as peers name servers by it.
func ServerID(name string) balance.ReplicaID {
	h := fnv.New64a()
	h.Write([]byte(name))
	return balance.ReplicaID(h.Sum64())
}

// Backend takes attempts to servers. The core's goroutine calls it: no method may block, none may queue an
// event from inside the call.
type Backend interface {
	// Send passes on attempts that share a call. It returns false where they cannot even be queued; they
	// have then never run.
	Send(to balance.ReplicaID, call []*Attempt) bool
	// Withdraw gives an attempt up. It returns true where it is certain that it never ran.
	Withdraw(a *Attempt) bool
	// Probe looks at a server; the outcome comes as ProbeDone.
	Probe(to balance.ReplicaID) bool
	// CloseIdle closes connections that carry nothing.
	CloseIdle(to balance.ReplicaID)
	// Stop withdraws what is queued for a server and not begun, and returns it.
	Stop(to balance.ReplicaID) []*Attempt
}

// Peers carries messages to other coordinators.
type Peers interface {
	Tell(to uint32, text string)
}

// Lister asks discovery, where the list does not come by itself.
type Lister interface {
	Watch(on bool)
	Fetch()
}

// Event is something that sockets have to say. The types below are all there are.
type Event interface{ isEvent() }

// Outcome tells how an attempt ended.
type Outcome struct {
	Attempt *Attempt
	Outcome balance.Outcome
	Report  []float32
	Value   Value
}

// Gone tells that the client of a query has left.
type Gone struct{ Query *Query }

// Listed brings news of the servers.
type Listed struct {
	Mode     balance.ListMode
	Replicas []balance.Replica
	// Heard is when, where the starts of the servers are told by the wall clock; zero: by the module's.
	Heard time.Time
}

// ProbeDone tells how a probe ended.
type ProbeDone struct {
	Replica balance.ReplicaID
	Outcome balance.Outcome
	Elapsed time.Duration
	Report  []float32
}

// PeerMessage is a message of another coordinator.
type PeerMessage struct {
	From uint32
	Data []byte
}

// Reconfigured brings new settings. Classes keep their places and none goes; open queries keep their rules.
type Reconfigured struct{ Settings balance.Settings }

// stopping tells that this instance ends: no query may be held beyond until.
type stopping struct{ until time.Time }

// Cordon is an operator's call to put a server out, or back. While out it gets nothing new, whatever the list
// says: the module is told that it drains. Back, it counts as started at that moment, for it may have been
// restarted without the list's telling yet, unless the list has told of a start while it was out.
type Cordon struct {
	Server balance.ReplicaID
	Out    bool
	By     Author         // each who has put it out has to put it back
	At     balance.Micros // when it was called, in Unix microseconds; 0: now
	Sure   bool           // another process of this coordinator knows the server: no question
	Order  uint64         // of a Judged one: which goes first where not all may be out
	Done   chan<- bool    // hears once whether the server is known; it has room. Or nil
}

// Author is who puts servers out.
type Author uint8

// The authors: an operator at this coordinator, one for the whole fleet, and the fleet by evidence.
const (
	Here Author = iota
	ByFleet
	Judged // by evidence, for the whole fleet and for a zone: the only ones that the guard may leave in
	JudgedHere
	authors
)

// Inherited is what another process of this coordinator has been told by operators, and what its module hands
// over.
type Inherited struct {
	Out    map[balance.ReplicaID]balance.Micros // and when
	Barred map[balance.ReplicaID]balance.Micros // the same by operators for the whole fleet
	Since  map[balance.ReplicaID]balance.Micros
	Memory balance.Memory
	// Now is what the module's clock read there, which the moments are told by; 0: the same as here.
	Now balance.Micros
}

// cordons asks for what Inherited tells the next process.
type cordons struct{ done chan<- Inherited }

func (*Query) isEvent()       {}
func (Cordon) isEvent()       {}
func (Inherited) isEvent()    {}
func (cordons) isEvent()      {}
func (Reconfigured) isEvent() {}
func (Outcome) isEvent()      {}
func (Gone) isEvent()         {}
func (Listed) isEvent()       {}
func (ProbeDone) isEvent()    {}
func (PeerMessage) isEvent()  {}
func (stopping) isEvent()     {}

// Gate limits what is let in and sent beside what the module decides. No method may block.
type Gate interface {
	// Admit is asked before a query is queued, from any goroutine: whether it may be let in, and if not after
	// how long and why. Ended is called once for each that was, when it has its final answer or its client is
	// gone, which counts as Failed.
	Admit(q *Query) (ok bool, after time.Duration, why string)
	Ended(q *Query, e Ending)
	// Send is asked before an attempt is handed to its backend, by the core's goroutine; one that may not be
	// ends as told. Over is called once for each that may, at its end.
	Send(a *Attempt) (ok bool, otherwise balance.Outcome)
	Over(a *Attempt)
}

// Config is what a core is made of.
type Config struct {
	Settings balance.Settings
	Seed     uint64
	Backends []Backend
	Peers    Peers
	Lister   Lister
	Log      *slog.Logger
	Counts   *Counts // where this core's figures go; nil: nowhere
	// Gate is asked before a query is queued and before an attempt is sent. Nil: all may.
	Gate Gate
	// Saw is told how each attempt ended, by the core's goroutine. It must not wait. Nil: nobody is.
	Saw func(id balance.ReplicaID, class int, o balance.Outcome, took time.Duration)
	// Guard chooses which of the servers that are out by evidence, the first to be judged first, may be so.
	// Nil: none.
	Guard func(listed []verdict.Holder, sick []uint64) map[uint64]bool
	// Named is a server's name for the log; nil: its number stands for it.
	Named func(id balance.ReplicaID) (string, bool)
	// Listed is called after the first Step that knew a server.
	Listed func()
}

// Core is the owner of the module.
type Core struct {
	cfg    Config
	module *balance.Balancer
	queue  chan Event
	done   chan struct{}
	quit   chan struct{}
	epoch  time.Time
	base   balance.Micros
	advice atomic.Int64 // the longest that clients follow, a time.Duration; 0: they are told nothing

	// What follows belongs to the goroutine of Run alone.
	now      balance.Micros
	events   []balance.Event
	actions  []balance.Action
	sends    []*Attempt
	timers   timers
	wakeAt   balance.Micros // earliest wake-up that was asked for; 0: none
	queries  map[uint32]*Query
	parts    map[uint32]*part
	names    map[string]*Query
	numbers  map[float32]bool
	nextID   uint32
	nextNum  uint32
	held     int // queries and parts
	until    balance.Micros
	sawList  bool
	listed   map[balance.ReplicaID]balance.Replica         // as discovery tells
	outs     [authors]map[balance.ReplicaID]balance.Micros // put out, by whom and when
	order    map[balance.ReplicaID]uint64                  // of those that are judged
	judged   map[uint64]bool                               // of those, the ones that are out
	since    map[balance.ReplicaID]balance.Micros          // put back then: started no earlier
	starts   startTimes
	countAt  balance.Micros // when the list's figures are next due
	idle     chan struct{}  // closed once nothing is open while stopping
	idleDone bool
}

// New returns a core whose module starts now.
func New(cfg Config) (*Core, error) {
	m, err := balance.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, err
	}
	if cfg.Counts == nil {
		cfg.Counts = &Counts{}
	}
	now := time.Now()
	c := &Core{
		cfg: cfg, module: m, queue: make(chan Event, queueSize), done: make(chan struct{}),
		quit: make(chan struct{}), idle: make(chan struct{}),
		epoch: now, base: now.UnixMicro(), queries: map[uint32]*Query{}, parts: map[uint32]*part{},
		names: map[string]*Query{}, numbers: map[float32]bool{}, listed: map[balance.ReplicaID]balance.Replica{},
		since: map[balance.ReplicaID]balance.Micros{}, starts: newStartTimes(), order: map[balance.ReplicaID]uint64{},
	}
	c.adopt(cfg.Settings)
	for i := range c.outs {
		c.outs[i] = map[balance.ReplicaID]balance.Micros{}
	}
	return c, nil
}

// clock is the module's time: Unix microseconds at the start, and monotonic from there.
func (c *Core) clock(t time.Time) balance.Micros {
	return c.base + t.Sub(c.epoch).Microseconds()
}

// moment is the module's time on the clock that clock reads.
func (c *Core) moment(at balance.Micros) time.Time {
	return c.epoch.Add(time.Duration(at-c.base) * time.Microsecond)
}

// Post queues an event and waits for room in the queue, so that a socket that brings more than the module
// takes is read no further. It must not be called from inside a Backend's methods.
func (c *Core) Post(e Event) {
	select {
	case c.queue <- e:
	case <-c.done:
	}
}

// Submit queues a query. It returns false where the queue is full; the query was then not taken. One that a
// limit turns away has had its final answer by then.
func (c *Core) Submit(q *Query) bool {
	if !c.admit(q) {
		return true
	}
	select {
	case c.queue <- q:
		return true
	default:
		c.left(q, Refused)
		return false
	}
}

// Leave tells that the client of a query has left. From here on no attempt of it begins, also where the queue
// is long.
func (c *Core) Leave(q *Query) {
	q.writes.close(nil)
	c.Post(Gone{Query: q})
}

// admit asks the gate. One that it turns away has had its final answer.
func (c *Core) admit(q *Query) bool {
	c.cfg.Counts.Active.Add(1)
	if c.cfg.Gate == nil {
		return true
	}
	ok, after, why := c.cfg.Gate.Admit(q)
	if q.admitted = ok; !ok {
		c.reply(q, Final{Ending: Refused, RetryAfter: after, Why: why})
	}
	return ok
}

// Counts are this process's figures.
func (c *Core) Counts() *Counts { return c.cfg.Counts }

// FullAdvice is when to come back where there was no room.
func (c *Core) FullAdvice() time.Duration { return c.Advise(fullAdvice) }

// Advise is what a client may be told of when to come back: no longer than the settings in force say that it
// follows, and nothing, 0, where they let it hear nothing.
func (c *Core) Advise(after time.Duration) time.Duration {
	return min(after, time.Duration(c.advice.Load()))
}

// adopt notes the settings in force.
func (c *Core) adopt(s balance.Settings) {
	c.cfg.Settings = s
	longest := time.Duration(0)
	if s.CanAdvise {
		longest = time.Duration(s.MaxRetryAfter) * time.Microsecond
	}
	c.advice.Store(int64(longest))
}

// Finish tells the module that this instance ends at the time given, and returns a channel that is closed
// once no query is open.
func (c *Core) Finish(until time.Time) <-chan struct{} {
	c.Post(stopping{until: until})
	return c.idle
}

// ask queues an event that is answered on done, and waits for that for as long as is given.
func ask[T any](c *Core, e Event, done <-chan T, within time.Duration) (answer T, inTime bool) {
	late := time.NewTimer(within)
	defer late.Stop()
	select {
	case c.queue <- e:
	case <-late.C:
		return answer, false
	case <-c.done:
		return answer, false
	}
	select {
	case answer = <-done:
		return answer, true
	case <-late.C:
	case <-c.done:
	}
	return answer, false
}

// Cordon puts a server out or back, and returns once that holds. It gives up waiting after the time given;
// the call may then be carried out all the same.
func (c *Core) Cordon(id balance.ReplicaID, out bool, within time.Duration) (known, inTime bool) {
	done := make(chan bool, 1)
	return ask(c, Cordon{Server: id, Out: out, Done: done}, done, within)
}

// knows asks whether a server is listed.
type knows struct {
	server balance.ReplicaID
	done   chan<- bool
}

func (knows) isEvent() {}

// Knows tells that a server is listed; false too where the core does not say so in time.
func (c *Core) Knows(id balance.ReplicaID, within time.Duration) bool {
	done := make(chan bool, 1)
	known, _ := ask(c, knows{server: id, done: done}, done, within)
	return known
}

// Bar puts a server out or back by the fleet's word, and returns once that holds here, or false once the core
// has ended. The server need not be listed: it may be yet.
func (c *Core) Bar(id balance.ReplicaID, by Author, out bool, order uint64) bool {
	for {
		done := make(chan bool, 1)
		if _, inTime := ask(c, Cordon{Server: id, Out: out, By: by, Sure: true, Order: order, Done: done}, done,
			time.Second); inTime {
			return true
		}
		select {
		case <-c.done:
			return false
		default: // it is busy: once more, which does no more than once
		}
	}
}

// Cordoned is what operators have said so far. What was queued before has then been taken in.
func (c *Core) Cordoned(within time.Duration) (Inherited, bool) {
	done := make(chan Inherited, 1)
	return ask(c, cordons{done: done}, done, within)
}

// Close ends Run.
func (c *Core) Close() { close(c.quit) }

// timer is a moment at which the core has to look at an attempt or at a query.
type timer struct {
	at balance.Micros
	a  *Attempt
	q  *Query
}

type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at < t[j].at }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)        { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	old := *t
	x := old[len(old)-1]
	old[len(old)-1] = timer{}
	*t = old[:len(old)-1]
	return x
}

// Run owns the module until Close. One Step takes all that is queued, and there is at most one a tick.
func (c *Core) Run() {
	defer close(c.done)
	tick := time.Duration(c.cfg.Settings.Tick) * time.Microsecond
	alarm := time.NewTimer(time.Hour)
	defer alarm.Stop()
	last := time.Now()
	// Where the list has to be asked for, the module says so in a Step, and without a list from before nothing
	// else may ever call for one.
	c.step(c.clock(last))
	for {
		// Wait for something to do.
		if len(c.events) == 0 {
			if at := c.nextTime(); at > 0 {
				alarm.Reset(time.Duration(at-c.clock(time.Now())) * time.Microsecond)
			} else {
				alarm.Reset(time.Hour)
			}
			select {
			case e := <-c.queue:
				c.take(e)
			case <-alarm.C:
			case <-c.quit:
				return
			}
		}
		// At most one Step a tick: what comes until then goes into the same one.
		if wait := tick - time.Since(last); wait > 0 {
			alarm.Reset(wait)
			for waiting := true; waiting; {
				in := c.queue
				if len(c.events) >= maxBatch {
					in = nil
				}
				select {
				case e := <-in:
					c.take(e)
				case <-alarm.C:
					waiting = false
				case <-c.quit:
					return
				}
			}
		}
		for more := true; more && len(c.events) < maxBatch; {
			select {
			case e := <-c.queue:
				c.take(e)
			default:
				more = false
			}
		}
		last = time.Now()
		c.step(c.clock(last))
	}
}

// nextTime is the next moment at which there is something to do; 0: none.
func (c *Core) nextTime() balance.Micros {
	at := c.wakeAt
	if len(c.timers) > 0 && (at == 0 || c.timers[0].at < at) {
		at = c.timers[0].at
	}
	return at
}

// take turns what sockets said into the module's events.
func (c *Core) take(e Event) {
	switch e := e.(type) {
	case *Query:
		c.begin(e)
	case Outcome:
		c.settle(e.Attempt, e.Outcome, e.Report, &e.Value)
	case Gone:
		if e.Query.open {
			c.events = append(c.events, balance.Event{Kind: balance.ClientGone, ID: e.Query.id})
			c.logEnd(e.Query, "abandoned", "its client has left")
			e.Query.writes.close(nil)
			c.end(e.Query)
			c.left(e.Query, Failed)
		}
	case Listed:
		c.learn(&e)
		c.tell(e.Mode, e.Replicas)
	case Cordon:
		c.cordon(e)
	case Inherited: // it comes before any list
		e.shift(e.Now, c.clock(time.Now()))
		maps.Copy(c.outs[Here], e.Out)
		maps.Copy(c.outs[ByFleet], e.Barred)
		maps.Copy(c.since, e.Since)
		for id, at := range e.Memory.Starts { // some of them the list may not tell yet
			c.since[id] = max(c.since[id], at)
		}
		c.events = append(c.events, balance.Event{Kind: balance.Recalled, Memory: &e.Memory})
	case Reconfigured:
		c.adopt(e.Settings)
		c.events = append(c.events, balance.Event{Kind: balance.Changed, Settings: &e.Settings})
	case cordons:
		e.done <- Inherited{Out: maps.Clone(c.outs[Here]), Barred: maps.Clone(c.outs[ByFleet]),
			Since: maps.Clone(c.since), Memory: c.module.Memory(), Now: c.clock(time.Now())}
	case knows:
		_, ok := c.listed[e.server]
		e.done <- ok
	case ProbeDone:
		c.events = append(c.events, balance.Event{Kind: balance.ProbeResult, Replica: e.Replica,
			Outcome: e.Outcome, Elapsed: e.Elapsed.Microseconds(), Report: e.Report})
	case PeerMessage:
		c.events = append(c.events, balance.Event{Kind: balance.Message, From: e.From, Data: e.Data})
	case stopping:
		c.until = c.clock(e.until)
		c.events = append(c.events, balance.Event{Kind: balance.Ending, Deadline: c.until})
		for _, q := range c.queries {
			heap.Push(&c.timers, timer{at: c.guardAt(q), q: q})
		}
	}
}

// learn remembers what discovery lists, and lays over it what operators have said.
func (c *Core) learn(e *Listed) {
	if !e.Heard.IsZero() {
		c.starts.take(e.Replicas, c.clock(e.Heard), wallMicros(e.Heard), e.Mode == balance.Cached)
	}
	if e.Mode == balance.Full || e.Mode == balance.Cached {
		clear(c.listed)
	}
	c.sawList = c.sawList || len(e.Replicas) > 0
	for _, r := range e.Replicas {
		if r.State == balance.Gone {
			delete(c.listed, r.ID)
		} else {
			c.listed[r.ID] = r
		}
	}
	c.guard(0)
	replicas := make([]balance.Replica, 0, len(e.Replicas))
	for _, r := range e.Replicas {
		replicas = append(replicas, c.overlay(r))
	}
	e.Replicas = replicas
	if e.Mode != balance.Cached { // ids never come again, and would else pile up
		maps.DeleteFunc(c.since, func(id balance.ReplicaID, _ balance.Micros) bool {
			_, ok := c.listed[id]
			return !ok
		})
		c.starts.forget(c.listed)
	}
}

// overlay is what the module is told of a listed server.
func (c *Core) overlay(r balance.Replica) balance.Replica {
	r.Started = max(r.Started, c.since[r.ID])
	if c.isOut(r.ID) && r.State == balance.Ready {
		r.State = balance.Draining
	}
	return r
}

// tell has the module hear of servers. What is queued for one that must stop does not go out any more.
func (c *Core) tell(mode balance.ListMode, replicas []balance.Replica) {
	for i := range replicas {
		if r := &replicas[i]; r.State != balance.Ready {
			c.stopSends(r.ID)
		}
	}
	c.countAt = 0
	c.events = append(c.events, balance.Event{Kind: balance.List, Mode: mode, Replicas: replicas})
}

// isOut tells that somebody has put a server out.
func (c *Core) isOut(id balance.ReplicaID) bool {
	return c.byHand(id) || c.judged[uint64(id)]
}

// byHand tells that an operator has.
func (c *Core) byHand(id balance.ReplicaID) bool {
	for _, by := range c.outs[:Judged] {
		if _, out := by[id]; out {
			return true
		}
	}
	return false
}

// isJudged tells that evidence speaks against a server, whether or not it is out for that.
func (c *Core) isJudged(id balance.ReplicaID) bool {
	_, all := c.outs[Judged][id]
	_, here := c.outs[JudgedHere][id]
	return all || here
}

// guard chooses anew which of the servers that are judged are out, and has the module hear of those for which
// that has changed, but for what it is about to hear of anyway.
func (c *Core) guard(but balance.ReplicaID) {
	if c.cfg.Guard == nil || len(c.outs[Judged])+len(c.outs[JudgedHere])+len(c.judged) == 0 {
		return
	}
	nodes := make([]verdict.Holder, 0, len(c.listed))
	for id, r := range c.listed {
		nodes = append(nodes, verdict.Holder{ID: uint64(id), Cell: r.Cell,
			Up: r.State == balance.Ready && !c.byHand(id)})
	}
	var sick []uint64
	for _, by := range c.outs[Judged:] {
		for id := range by {
			sick = append(sick, uint64(id))
		}
	}
	slices.SortFunc(sick, func(a, b uint64) int {
		return cmp.Or(cmp.Compare(c.order[balance.ReplicaID(a)], c.order[balance.ReplicaID(b)]), cmp.Compare(a, b))
	})
	was := c.judged
	c.judged = c.cfg.Guard(nodes, slices.Compact(sick))
	now := c.clock(time.Now())
	var told []balance.Replica
	for id, r := range c.listed {
		if out := c.judged[uint64(id)]; out != was[uint64(id)] {
			if !out {
				c.since[id] = now // nobody knows in what state it comes back
			}
			if id != but {
				told = append(told, c.overlay(r))
			}
		}
	}
	if len(told) > 0 {
		c.tell(balance.Local, told)
	}
}

// cordon puts a server out or back. Called twice it does no more than once.
func (c *Core) cordon(e Cordon) {
	r, listed := c.listed[e.Server]
	by := c.outs[e.By]
	since, out := by[e.Server]
	known := listed || out || e.Sure
	if known && e.Out != out {
		if e.At == 0 {
			e.At = c.clock(time.Now())
		}
		if e.Out {
			by[e.Server] = e.At
		} else {
			delete(by, e.Server)
			// Else the list has told of the start, and knows better when that was, or it is the guard's to say.
			if r.Started <= since && e.By < Judged {
				c.since[e.Server] = e.At
			}
		}
		if e.By >= Judged {
			c.order[e.Server] = e.Order
			if !e.Out && !c.isJudged(e.Server) {
				delete(c.order, e.Server)
			}
		}
		c.guard(e.Server)
		if listed {
			c.tell(balance.Local, []balance.Replica{c.overlay(r)})
		}
	}
	if e.Done != nil {
		e.Done <- known
	}
}

// countList writes the list's figures, now and then and after each change.
func (c *Core) countList() {
	if c.now < c.countAt {
		return
	}
	c.countAt = c.now + countSpan.Microseconds()
	c.cfg.Counts.Listed.Store(int64(len(c.listed)))
	avoided := c.module.Avoided()
	for id := range c.listed {
		if c.isOut(id) {
			avoided++
		}
	}
	c.cfg.Counts.Avoided.Store(int64(avoided))
}

func (c *Core) stopSends(to balance.ReplicaID) {
	for _, b := range c.cfg.Backends {
		for _, a := range b.Stop(to) {
			c.settle(a, balance.NotSent, nil, nil)
		}
	}
}

// begin takes a query and gives the module what it needs to know of it.
func (c *Core) begin(q *Query) {
	if q.Over() { // its client left while it was queued
		c.left(q, Failed)
		return
	}
	if c.names[q.Name] != nil { // its parts could not be told from those of the other one
		c.logEnd(q, Failed.String(), "an open query bears the same name")
		c.reply(q, Final{Ending: Failed, NameTaken: true})
		return
	}
	if most := c.cfg.Settings.MaxOpen; most > 0 && c.held+1+len(q.Parts) > most {
		c.logEnd(q, Refused.String(), "too many queries are open")
		c.reply(q, Final{Ending: Refused, RetryAfter: fullAdvice})
		return
	}
	q.open, q.deadline, q.began = true, c.clock(q.Deadline), c.clock(time.Now())
	for c.nextNum++; c.numbers[float32(c.nextNum%numberLimit)]; c.nextNum++ {
	}
	q.number = float32(c.nextNum % numberLimit)
	c.numbers[q.number] = true
	q.id = c.freshID()
	c.queries[q.id], c.names[q.Name] = q, q
	total, hints, all := 0.0, balance.Micros(0), true
	for i := range q.Parts {
		total += q.Parts[i].Weight
		hints += q.Parts[i].Hint
		all = all && q.Parts[i].Hint > 0
	}
	if !all {
		hints = 0
	}
	c.events = append(c.events, balance.Event{Kind: balance.Query, ID: q.id, Number: q.number, Class: q.Class,
		Tenant: q.Tenant, Weight: float64(len(q.Parts)), Hint: hints, Deadline: q.deadline, Repeat: q.Repeat,
		Rules: q.Rules, Most: q.Most})
	for i := range q.Parts {
		s := &q.Parts[i]
		p := &part{q: q, spec: s, id: c.freshID()}
		q.parts = append(q.parts, p)
		c.parts[p.id] = p
		c.events = append(c.events, balance.Event{Kind: balance.Part, ID: p.id, Number: q.number, Class: q.Class,
			Tenant: q.Tenant, Shard: s.Shard, Weight: s.Weight / total, Hint: s.Hint, Key: s.Key,
			Deadline: q.deadline, Repeat: q.Repeat})
	}
	c.held += 1 + len(q.Parts)
	heap.Push(&c.timers, timer{at: c.guardAt(q), q: q})
}

// freshID returns an id that nothing open bears.
func (c *Core) freshID() uint32 {
	for {
		c.nextID++
		if c.queries[c.nextID] == nil && c.parts[c.nextID] == nil {
			return c.nextID
		}
	}
}

// settle books the end of an attempt and tells the module. Only the first end counts: what comes after a
// time-out or a withdrawal is late, and dropped.
func (c *Core) settle(a *Attempt, o balance.Outcome, report []float32, v *Value) {
	if a.over {
		return
	}
	a.over, a.ended, a.outcome = true, c.now, o
	if a.passed {
		c.cfg.Gate.Over(a)
	}
	if c.cfg.Saw != nil {
		c.cfg.Saw(a.Replica, a.Query.Class, o, time.Duration(c.now-a.sent)*time.Microsecond)
	}
	p := a.p
	p.live--
	if o == balance.OK && !p.over && v != nil {
		v.Shard = a.Shard
		p.value, p.over = v, true
	}
	c.events = append(c.events, balance.Event{Kind: balance.Result, ID: p.id, Attempt: a.number,
		Closed: p.over || !p.q.open, Outcome: o, Replica: a.Replica, Elapsed: c.now - a.sent, Report: report})
	c.forget(p)
}

// forget drops a part that nothing more can come of.
func (c *Core) forget(p *part) {
	if !p.q.open && p.live == 0 {
		delete(c.parts, p.id)
	}
}

// step runs the module once and carries out its actions.
func (c *Core) step(now balance.Micros) {
	c.now = now
	var overdue []*Query
	for len(c.timers) > 0 && c.timers[0].at <= now {
		t := heap.Pop(&c.timers).(timer)
		switch {
		case t.a != nil && !t.a.over:
			o := balance.TimedOut
			if t.a.Query.Via.Withdraw(t.a) {
				o = balance.NotSent
			}
			c.settle(t.a, o, nil, nil)
		case t.q != nil && t.q.open:
			// The module answers in time by itself; this guards the rule against whatever keeps it from
			// that, such as a clock that stood still: an overdue query gets its answer all the same.
			overdue = append(overdue, t.q)
		}
	}
	if c.wakeAt > 0 && c.wakeAt <= now {
		c.wakeAt = 0
		c.events = append(c.events, balance.Event{Kind: balance.Awake})
	}
	events := c.events
	c.actions = c.module.Step(now, events, c.actions[:0])
	clear(events)
	c.events = events[:0]
	c.carryOut()
	c.countList()
	if c.sawList && c.cfg.Listed != nil {
		c.cfg.Listed()
		c.cfg.Listed = nil
	}
	for _, q := range overdue {
		if q.open {
			c.logEnd(q, Failed.String(), "no decision in time")
			c.cfg.Log.Error("query ended without a decision", "query", q.Name)
			c.events = append(c.events, balance.Event{Kind: balance.ClientGone, ID: q.id})
			c.final(q, Final{Ending: Failed, Overdue: true})
		}
	}
	if c.until > 0 && len(c.queries) == 0 && !c.idleDone {
		c.idleDone = true
		close(c.idle)
	}
}

func (c *Core) guardAt(q *Query) balance.Micros {
	at := q.deadline
	if c.until > 0 {
		at = min(at, c.until)
	}
	return at + guardSlack.Microseconds()
}

// carryOut does what the module said, in its order, but for sends: those of this Step to one server go
// together, in calls of as many parts as one may hold.
func (c *Core) carryOut() {
	for i := range c.actions {
		a := &c.actions[i]
		switch a.Kind {
		case balance.Send:
			c.send(a)
		case balance.Cancel:
			if p := c.parts[a.ID]; p != nil && a.Attempt >= 0 && a.Attempt < len(p.tries) {
				if t := p.tries[a.Attempt]; !t.over {
					o := balance.Cancelled
					if c.withdraw(t) {
						o = balance.NotSent
					}
					c.settle(t, o, nil, nil)
				}
			}
		case balance.Answer:
			if q := c.queries[a.ID]; q != nil {
				f := Final{Ending: Answered, Whole: a.Whole}
				for _, p := range q.parts {
					if p.value != nil {
						f.Values = append(f.Values, *p.value)
					}
				}
				c.final(q, f)
			}
		case balance.Refuse, balance.Fail:
			if q := c.queries[a.ID]; q != nil {
				f := Final{Ending: Failed}
				if a.Kind == balance.Refuse {
					f = Final{Ending: Refused, RetryAfter: time.Duration(a.After) * time.Microsecond}
				}
				c.logEnd(q, f.Ending.String(), a.Text)
				c.final(q, f)
			}
		case balance.Probe:
			sent := false
			for _, b := range c.cfg.Backends {
				sent = sent || b.Probe(a.Replica)
			}
			if !sent {
				c.events = append(c.events, balance.Event{Kind: balance.ProbeResult, Replica: a.Replica,
					Outcome: balance.NoConnection})
			}
		case balance.Wake:
			if at := c.now + max(1, a.After); c.wakeAt == 0 || at < c.wakeAt {
				c.wakeAt = at
			}
		case balance.Watch, balance.Unwatch:
			if c.cfg.Lister != nil {
				c.cfg.Lister.Watch(a.Kind == balance.Watch)
			}
		case balance.Fetch:
			if c.cfg.Lister != nil {
				c.cfg.Lister.Fetch()
			}
		case balance.Note:
			c.cfg.Log.Info("module", "note", a.Text)
		case balance.Tell:
			if c.cfg.Peers != nil {
				c.cfg.Peers.Tell(a.To, a.Text)
			}
		case balance.Close:
			for _, b := range c.cfg.Backends {
				b.CloseIdle(a.Replica)
			}
		}
	}
	c.flush()
}

// withdraw gives an attempt up. One of this very Step that has not been handed over is just taken out.
func (c *Core) withdraw(a *Attempt) bool {
	for i, s := range c.sends {
		if s == a {
			c.sends = append(c.sends[:i], c.sends[i+1:]...)
			return true
		}
	}
	return a.Query.Via.Withdraw(a)
}

// send makes an attempt and keeps it until the Step's other actions are read.
func (c *Core) send(act *balance.Action) {
	p := c.parts[act.ID]
	if p == nil || !p.q.open || p.over {
		c.cfg.Log.Error("module sent a part that is over", "id", act.ID)
		return
	}
	after := min(max(act.After, 0), math.MaxInt32)
	a := &Attempt{Query: p.q, Shard: p.spec.Shard, Replica: act.Replica, p: p, number: len(p.tries), sent: c.now}
	until := min(c.now+after, p.q.deadline)
	if after == 0 {
		until = p.q.deadline
	}
	a.Timeout = time.Duration(max(0, until-c.now)) * time.Microsecond
	a.Until = c.moment(until)
	if act.Before > 0 {
		a.Before = c.moment(act.Before)
	}
	p.tries = append(p.tries, a)
	p.live++
	if c.cfg.Gate != nil {
		var otherwise balance.Outcome
		if a.passed, otherwise = c.cfg.Gate.Send(a); !a.passed {
			c.settle(a, otherwise, nil, nil)
			return
		}
	}
	heap.Push(&c.timers, timer{at: until, a: a})
	c.sends = append(c.sends, a)
}

// flush hands the sends of this Step to their backends.
func (c *Core) flush() {
	for len(c.sends) > 0 {
		first := c.sends[0]
		var call, rest []*Attempt
		for _, a := range c.sends {
			if len(call) < max(1, c.cfg.Settings.BatchMax) && a.Replica == first.Replica &&
				a.Query.Via == first.Query.Via {
				call = append(call, a)
			} else {
				rest = append(rest, a)
			}
		}
		c.sends = rest
		if !first.Query.Via.Send(first.Replica, call) {
			for _, a := range call {
				c.settle(a, balance.NoConnection, nil, nil)
			}
		}
	}
}

// final gives a query its final answer. It is the only place that does, and a query is open only once.
func (c *Core) final(q *Query, f Final) {
	if !q.open {
		return
	}
	c.end(q)
	c.reply(q, f)
}

// reply hands out the final answer of a query that is not open, or not any more. The client hears it once no
// write can put out the first byte of an attempt any more: what is sent on for a request that has its answer
// is a request lost, however long a writer's thread is held up.
func (c *Core) reply(q *Query, f Final) {
	c.left(q, f.Ending)
	f.RetryAfter = c.Advise(f.RetryAfter)
	q.writes.close(func() { q.Client.Final(f) })
}

// left books that a query that was submitted is over.
func (c *Core) left(q *Query, e Ending) {
	c.cfg.Counts.Active.Add(-1)
	if q.admitted {
		q.admitted = false
		c.cfg.Gate.Ended(q, e)
	}
}

// end forgets a query. What it still has out is withdrawn by the module or runs into its time-out.
func (c *Core) end(q *Query) {
	q.open = false
	delete(c.queries, q.id)
	delete(c.names, q.Name)
	delete(c.numbers, q.number)
	c.held -= 1 + len(q.parts)
	for _, p := range q.parts {
		p.value = nil
		c.forget(p)
	}
}
