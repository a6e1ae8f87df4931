// Package core holds the one goroutine that owns the decision module, and with it each query's life and
// values. Fronts hand it queries and backends hand it outcomes, all through one bounded queue; it steps the
// module and carries out what the module says. It must never know a wire: what a query looks like to its
// client and a part to its server is behind the interfaces that this file defines. It must never decide
// either, beyond the bounds that the settings place on it.
package core

import (
	"container/heap"
	"hash/fnv"
	"log/slog"
	"maps"
	"sync/atomic"
	"time"

	"lapislever/balance"
	"lapislever/internal/delay"
	"lapislever/internal/verdict"
	"lapislever/internal/watchdog"
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
	// Cancel gives an attempt up. It returns true where it is certain that it never ran.
	Cancel(a *Attempt) bool
	// Probe looks at a server; the outcome comes as ProbeDone.
	Probe(to balance.ReplicaID) bool
	// CloseIdle closes connections that carry nothing.
	CloseIdle(to balance.ReplicaID)
	// CancelQueued withdraws what is queued for a server and not begun, and returns it.
	CancelQueued(to balance.ReplicaID) []*Attempt
}

// Peers carries messages to other coordinators.
type Peers interface {
	Tell(to uint32, text string)
}

// Discovery asks discovery, where the list does not come by itself.
type Discovery interface {
	Watch(on bool)
	Fetch()
}

// AdmissionController limits what is let in and sent beside what the module decides. No method may block.
type AdmissionController interface {
	// Admit is asked before a query is queued, from any goroutine: whether it may be let in, and if not after
	// how long and why. Ended is called once for each that was, when it has its final answer or its client is
	// gone, which counts as Failed.
	Admit(q *Query) (ok bool, after time.Duration, why string)
	QueryEnded(q *Query, e QueryOutcome)
	// AllowSend is asked before an attempt is handed to its backend, by the core's goroutine; one that may not be
	// ends as told. Over is called once for each that may, at its end.
	AllowSend(a *Attempt) (ok bool, otherwise balance.Outcome)
	AttemptEnded(a *Attempt)
}

// AttemptResult is how an attempt at a server ended.
type AttemptResult struct {
	Replica    balance.ReplicaID
	Class      int
	Outcome    balance.Outcome
	Elapsed    time.Duration
	Superseded bool // it was given up, and an attempt of its part that was sent later has been answered
}

// Config is what a core is made of.
type Config struct {
	Settings  balance.Settings
	Seed      uint64
	Backends  []Backend
	Peers     Peers
	Discovery Discovery
	Log       *slog.Logger
	Counts    *Counts // where this core's figures go; nil: nowhere
	// Admission is asked before a query is queued and before an attempt is sent. Nil: all may.
	Admission AdmissionController
	// OnAttemptEnd is told how each attempt ended, by the core's goroutine. It must not wait. Nil: nobody is.
	OnAttemptEnd func(AttemptResult)
	// LimitCordons chooses which of the servers that are out by evidence, the first to be judged first, may be so.
	// Nil: none.
	LimitCordons func(listed []verdict.ListedNode, sick []uint64) map[uint64]bool
	// ServerName is a server's name for the log; nil: its number stands for it.
	ServerName func(id balance.ReplicaID) (string, bool)
	// OnFirstList is called after the first Step that knew a server.
	OnFirstList func()
	// Delays hears of Steps that came late; nil: nobody does.
	Delays *delay.Recorder
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
	watch  watchdog.Watchdog
	advice atomic.Int64 // the longest that clients follow, a time.Duration; 0: they are told nothing

	// What follows belongs to the goroutine of Run alone.
	now      balance.Micros
	logs     []func() // lines put off to the end of the Step
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
		since: map[balance.ReplicaID]balance.Micros{}, starts: newStartTimes(),
		order: map[balance.ReplicaID]uint64{},
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

// Abandon tells that the client of a query has left. From here on no attempt of it begins, also where the queue
// is long.
func (c *Core) Abandon(q *Query) {
	q.writes.close(nil)
	c.Post(ClientGone{Query: q})
}

// admit asks the gate. One that it turns away has had its final answer.
func (c *Core) admit(q *Query) bool {
	c.cfg.Counts.ActiveQueries.Add(1)
	if c.cfg.Admission == nil {
		return true
	}
	ok, after, why := c.cfg.Admission.Admit(q)
	if q.admitted = ok; !ok {
		c.reply(q, FinalAnswer{Outcome: Refused, RetryAfter: after, Why: why})
	}
	return ok
}

// Counts are this process's figures.
func (c *Core) Counts() *Counts { return c.cfg.Counts }

// FullRetryAfter is when to come back where there was no room.
func (c *Core) FullRetryAfter() time.Duration { return c.CapRetryAfter(fullAdvice) }

// CapRetryAfter is what a client may be told of when to come back: no longer than the settings in force say that it
// follows, and nothing, 0, where they let it hear nothing.
func (c *Core) CapRetryAfter(after time.Duration) time.Duration {
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

// Shutdown tells the module that this instance ends at the time given, and returns a channel that is closed
// once no query is open.
func (c *Core) Shutdown(until time.Time) <-chan struct{} {
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

// Close ends Run.
func (c *Core) Close() { close(c.quit) }

// timer is a moment at which the core has to look at an attempt or at a query.
type timer struct {
	at balance.Micros
	a  *Attempt
	q  *Query
}

type timers []timer

func (t timers) Len() int { return len(t) }

func (t timers) Less(i, j int) bool { return t[i].at < t[j].at }

func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

func (t *timers) Push(x any) { *t = append(*t, x.(timer)) }

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
	case AttemptDone:
		c.settle(e.Attempt, e.Outcome, e.Report, &e.Value)
	case ClientGone:
		if e.Query.open {
			c.events = append(c.events, balance.Event{Kind: balance.ClientGone, ID: e.Query.id})
			c.logEnd(e.Query, "abandoned", "its client has left")
			e.Query.writes.close(nil)
			c.end(e.Query)
			c.left(e.Query, Failed)
		}
	case ListUpdate:
		c.learn(&e)
		c.tell(e.Mode, e.Replicas)
	case Cordon:
		c.cordon(e)
	case HandoverState: // it comes before any list
		e.shift(e.Clock, c.clock(time.Now()))
		maps.Copy(c.outs[ByOperator], e.Cordons)
		maps.Copy(c.outs[ByFleetOperator], e.FleetCordons)
		maps.Copy(c.since, e.RestoredAt)
		for id, at := range e.Memory.Starts { // some of them the list may not tell yet
			c.since[id] = max(c.since[id], at)
		}
		c.events = append(c.events, balance.Event{Kind: balance.Restored, Memory: &e.Memory})
	case SettingsChanged:
		c.adopt(e.Settings)
		c.events = append(c.events, balance.Event{Kind: balance.SettingsChanged, Settings: &e.Settings})
	case cordons:
		e.done <- HandoverState{Cordons: maps.Clone(c.outs[ByOperator]), FleetCordons: maps.Clone(c.outs[ByFleetOperator]),
			RestoredAt: maps.Clone(c.since), Memory: c.module.Memory(), Clock: c.clock(time.Now())}
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
		c.events = append(c.events, balance.Event{Kind: balance.Stopping, Deadline: c.until})
		for _, q := range c.queries {
			heap.Push(&c.timers, timer{at: c.guardAt(q), q: q})
		}
	}
}

// begin takes a query and gives the module what it needs to know of it.
func (c *Core) begin(q *Query) {
	if q.Finished() { // its client left while it was queued
		c.left(q, Failed)
		return
	}
	if c.names[q.Name] != nil { // its parts could not be told from those of the other one
		c.logEnd(q, Failed.String(), "an open query bears the same name")
		c.reply(q, FinalAnswer{Outcome: Failed, NameTaken: true})
		return
	}
	if most := c.cfg.Settings.MaxOpen; most > 0 && c.held+1+len(q.Parts) > most {
		c.logEnd(q, Refused.String(), "too many queries are open")
		c.reply(q, FinalAnswer{Outcome: Refused, RetryAfter: fullAdvice})
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
		Rules: q.Rules, MaxAttempts: q.MaxAttempts})
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
		c.cfg.Admission.AttemptEnded(a)
	}
	if c.cfg.OnAttemptEnd != nil {
		c.cfg.OnAttemptEnd(AttemptResult{a.Replica, a.Query.Class, o, micros(c.now - a.sent), o == balance.Cancelled && a.beaten()})
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
	var overdue []*Query
	late := time.Duration(0)
	if due := c.nextTime(); due > 0 && c.now > 0 {
		late = micros(now - max(due, c.now))
	}
	c.logLater(func() { c.cfg.Delays.Record(delay.Step, late, "open", len(c.queries)) })
	c.now = now
	for len(c.timers) > 0 && c.timers[0].at <= now {
		t := heap.Pop(&c.timers).(timer)
		switch {
		case t.a != nil && !t.a.over:
			o := balance.TimedOut
			if t.a.Query.Backend.Cancel(t.a) {
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
		c.events = append(c.events, balance.Event{Kind: balance.WakeUp})
	}
	events := c.events
	c.actions = c.module.Step(now, events, c.actions[:0])
	clear(events)
	c.events = events[:0]
	c.carryOut()
	c.countList()
	if c.sawList && c.cfg.OnFirstList != nil {
		c.cfg.OnFirstList()
		c.cfg.OnFirstList = nil
	}
	for _, q := range overdue {
		if q.open {
			c.logEnd(q, Failed.String(), "no decision in time")
			c.logLater(func() { c.cfg.Log.Error("query ended without a decision", "query", q.Name) })
			c.events = append(c.events, balance.Event{Kind: balance.ClientGone, ID: q.id})
			c.final(q, FinalAnswer{Outcome: Failed, Overdue: true})
		}
	}
	if c.until > 0 && len(c.queries) == 0 && !c.idleDone {
		c.idleDone = true
		close(c.idle)
	}
	c.flushLogs()
}

func (c *Core) guardAt(q *Query) balance.Micros {
	at := q.deadline
	if c.until > 0 {
		at = min(at, c.until)
	}
	return at + guardSlack.Microseconds()
}

// final gives a query its final answer. It is the only place that does, and a query is open only once.
func (c *Core) final(q *Query, f FinalAnswer) {
	if !q.open {
		return
	}
	c.end(q)
	f.Decided = c.moment(c.now)
	c.reply(q, f)
}

// reply hands out the final answer of a query that is not open, or not any more. The client hears it once no
// write can put out the first byte of an attempt any more: what is sent on for a request that has its answer
// is a request lost, however long a writer's thread is held up.
func (c *Core) reply(q *Query, f FinalAnswer) {
	c.left(q, f.Outcome)
	f.RetryAfter = c.CapRetryAfter(f.RetryAfter)
	q.writes.close(func() { q.Client.Final(f) })
}

// left books that a query that was submitted is over.
func (c *Core) left(q *Query, e QueryOutcome) {
	c.cfg.Counts.ActiveQueries.Add(-1)
	if q.admitted {
		q.admitted = false
		c.cfg.Admission.QueryEnded(q, e)
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
