// Package core runs the single goroutine that owns the decision module and the state of all open queries.
// Fronts submit queries and backends report outcomes through one bounded queue; the core steps the module
// and executes its actions. It is independent of any protocol: the interfaces in this file hide the
// representation of a query towards its client and of a part towards its server. It makes no decisions of
// its own beyond enforcing limits from the settings.
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

// Limits and intervals of the core.
const (
	queueSize      = 4096
	maxStepEvents  = 1024                   // maximum events per Step
	overdueSlack   = 10 * time.Millisecond  // after its deadline plus this a query is ended without the module
	fullRetryAfter = 250 * time.Millisecond // retry advice when the queue or the table of queries is full
	countInterval  = 100 * time.Millisecond // interval for updating the counts of listed and avoided servers
	numberLimit    = 1 << 24                // query numbers must be exactly representable as a float32
)

// ServerID returns the module's ID of a server. It is the same at every coordinator, because messages
// between peers refer to servers by it.
func ServerID(name string) balance.ReplicaID {
	h := fnv.New64a()
	h.Write([]byte(name))
	return balance.ReplicaID(h.Sum64())
}

// Backend sends attempts to servers. Its methods are called by the core's goroutine: they must not block
// and must not call Post.
type Backend interface {
	// Send sends attempts that share a call. It returns false if they cannot even be queued; they have
	// then never run.
	Send(to balance.ReplicaID, call []*Attempt) bool
	// Cancel cancels an attempt. It returns true if the attempt certainly never ran.
	Cancel(a *Attempt) bool
	// Probe starts a probe of a server; its outcome is posted as ProbeDone. It returns false if the server
	// cannot be probed.
	Probe(to balance.ReplicaID) bool
	// CloseIdle closes the idle connections to a server.
	CloseIdle(to balance.ReplicaID)
	// CancelQueued removes the attempts that are queued for a server and not yet begun, and returns them.
	CancelQueued(to balance.ReplicaID) []*Attempt
}

// Peers sends messages to other coordinators.
type Peers interface {
	Tell(to uint32, text string)
}

// Discovery requests updates from the discovery service, for settings in which the list does not arrive by
// itself.
type Discovery interface {
	Watch(on bool)
	Fetch()
}

// AdmissionController limits queries and attempts in addition to the decisions of the module. Its methods
// must not block.
type AdmissionController interface {
	// Admit is called before a query is queued, from any goroutine. It returns whether the query is
	// admitted and, if not, the suggested retry delay and the reason. QueryEnded is called once for each
	// admitted query, when it has its final answer or its client has left, which counts as Failed.
	Admit(q *Query) (ok bool, after time.Duration, why string)
	QueryEnded(q *Query, e QueryOutcome)
	// AllowSend is called by the core's goroutine before an attempt is passed to its backend. An attempt that is
	// not allowed ends with the outcome returned. AttemptEnded is called once for each allowed attempt.
	AllowSend(a *Attempt) (ok bool, otherwise balance.Outcome)
	AttemptEnded(a *Attempt)
}

// AttemptResult describes how an attempt ended.
type AttemptResult struct {
	Replica    balance.ReplicaID
	Class      int
	Outcome    balance.Outcome
	Elapsed    time.Duration
	Superseded bool // it was cancelled, and a later attempt of the same part has been answered
}

// Config configures a core.
type Config struct {
	Settings  balance.Settings
	Seed      uint64
	Backends  []Backend
	Peers     Peers
	Discovery Discovery
	Log       *slog.Logger
	Counts    *Counts // counters to update; nil: none
	// Admission limits queries and attempts; nil: no limit.
	Admission AdmissionController
	// Names asks the process that owns the names of queries; nil: this one does.
	Names NameOwner
	// OnAttemptEnd is called by the core's goroutine at the end of each attempt. It must not block. Nil: not
	// called.
	OnAttemptEnd func(AttemptResult)
	// LimitCordons selects which of the servers with evidence against them, given in the order of their
	// verdicts, are actually cordoned. Nil: none.
	LimitCordons func(listed []verdict.ListedNode, sick []uint64) map[uint64]bool
	// ServerName returns the name of a server for the log; nil: its ID is logged.
	ServerName func(id balance.ReplicaID) (string, bool)
	// OnFirstList is called after the first Step with a listed server.
	OnFirstList func()
	// Delays records Steps that ran late; nil: not recorded.
	Delays *delay.Recorder
}

// Core owns the decision module and the open queries.
type Core struct {
	cfg           Config
	module        *balance.Balancer
	queue         chan Event
	done          chan struct{}
	quit          chan struct{}
	epoch         time.Time
	base          balance.Micros
	watchdog      watchdog.Watchdog
	maxRetryAfter atomic.Int64 // longest retry delay that clients follow, a time.Duration; 0: they receive none
	refusing      atomic.Bool  // every new query is refused

	// The following fields are used only by the goroutine of Run.
	now             balance.Micros
	deferredLogs    []func() // log lines deferred to the end of the Step
	events          []balance.Event
	actions         []balance.Action
	sends           []*Attempt
	timers          timers
	wakeAt          balance.Micros // earliest wake-up requested by the module; 0: none
	queries         map[uint32]*Query
	parts           map[uint32]*part
	byName          map[string]*Query
	held            heldNames // of queries that have ended and may still run
	claiming        int       // queries whose names are being claimed
	numbers         map[float32]bool
	nextID          uint32
	nextNumber      uint32
	openCount       int // queries and parts
	shutdownAt      balance.Micros
	listSeen        bool
	servers         map[balance.ReplicaID]balance.Replica               // as listed by discovery
	cordons         [cordonSources]map[balance.ReplicaID]balance.Micros // by source: since when
	verdictOrder    map[balance.ReplicaID]uint64                        // order of the verdicts by evidence
	evidenceCordons map[uint64]bool                                     // within LimitCordons
	restoredAt      map[balance.ReplicaID]balance.Micros                // when uncordoned: counts as a start
	starts          startTimes
	nextCount       balance.Micros // when the list counts are next updated
	drained         chan struct{}  // closed when no query is open during shutdown
	drainedClosed   bool
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
		quit: make(chan struct{}), drained: make(chan struct{}),
		epoch: now, base: now.UnixMicro(), queries: map[uint32]*Query{}, parts: map[uint32]*part{},
		byName: map[string]*Query{}, numbers: map[float32]bool{}, servers: map[balance.ReplicaID]balance.Replica{},
		restoredAt: map[balance.ReplicaID]balance.Micros{}, starts: newStartTimes(),
		verdictOrder: map[balance.ReplicaID]uint64{},
	}
	c.applySettings(cfg.Settings)
	for i := range c.cordons {
		c.cordons[i] = map[balance.ReplicaID]balance.Micros{}
	}
	return c, nil
}

// toMicros converts a time to the module's clock: Unix microseconds at the start, monotonic from there.
func (c *Core) toMicros(t time.Time) balance.Micros {
	return c.base + t.Sub(c.epoch).Microseconds()
}

// toTime is the inverse of toMicros.
func (c *Core) toTime(at balance.Micros) time.Time {
	return c.epoch.Add(time.Duration(at-c.base) * time.Microsecond)
}

// Post queues an event and blocks while the queue is full, so that a socket is not read faster than the
// module processes its events. It must not be called from a Backend's methods.
func (c *Core) Post(e Event) {
	select {
	case c.queue <- e:
	case <-c.done:
	}
}

// RefuseQueries begins or ends the time in which every new query is refused.
func (c *Core) RefuseQueries(on bool) { c.refusing.Store(on) }

// RefusesQueries reports whether every new query is refused.
func (c *Core) RefusesQueries() bool { return c.refusing.Load() }

// Submit queues a query. It returns false if the queue is full; the query was then not accepted. A query
// that is refused at once has already received its final answer.
func (c *Core) Submit(q *Query) bool {
	if c.refusing.Load() {
		c.cfg.Counts.ActiveQueries.Add(1)
		c.reply(q, FinalAnswer{Outcome: Refused, RetryAfter: fullRetryAfter, Why: "not ready yet"})
		return true
	}
	if !c.admit(q) {
		return true
	}
	select {
	case c.queue <- q:
		return true
	default:
		c.queryEnded(q, Refused)
		return false
	}
}

// Abandon ends a query whose client has left. From this call on no attempt of it begins, even if the queue
// is long.
func (c *Core) Abandon(q *Query) {
	q.writes.close(nil)
	c.Post(ClientGone{Query: q})
}

// Reject ends a query whose client breaks the protocol. Its final answer is a failure, and comes behind the
// writes under way.
func (c *Core) Reject(q *Query) { c.Post(rejection{q}) }

// admit asks the admission controller, and gives a refused query its final answer.
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

// Counts returns the counters of this process.
func (c *Core) Counts() *Counts { return c.cfg.Counts }

// FullRetryAfter returns the retry advice for a request that found the queue or the table of queries full.
func (c *Core) FullRetryAfter() time.Duration { return c.CapRetryAfter(fullRetryAfter) }

// CapRetryAfter limits a retry delay to the longest that clients follow according to the current settings.
// It returns 0 if clients receive no advice.
func (c *Core) CapRetryAfter(after time.Duration) time.Duration {
	return min(after, time.Duration(c.maxRetryAfter.Load()))
}

// applySettings stores the settings in force.
func (c *Core) applySettings(s balance.Settings) {
	c.cfg.Settings = s
	maxDelay := time.Duration(0)
	if s.CanAdvise {
		maxDelay = time.Duration(s.MaxRetryAfter) * time.Microsecond
	}
	c.maxRetryAfter.Store(int64(maxDelay))
}

// Shutdown tells the module that this instance shuts down at the given time, and returns a channel that is
// closed once no query is open.
func (c *Core) Shutdown(until time.Time) <-chan struct{} {
	c.Post(shutdown{until: until})
	return c.drained
}

// request queues an event that is answered on done, and waits up to the given time for the answer.
func request[T any](c *Core, e Event, done <-chan T, timeout time.Duration) (answer T, inTime bool) {
	timeoutTimer := time.NewTimer(timeout)
	defer timeoutTimer.Stop()
	select {
	case c.queue <- e:
	case <-timeoutTimer.C:
		return answer, false
	case <-c.done:
		return answer, false
	}
	select {
	case answer = <-done:
		return answer, true
	case <-timeoutTimer.C:
	case <-c.done:
	}
	return answer, false
}

// Close stops Run.
func (c *Core) Close() { close(c.quit) }

// Run runs the core until Close. Each Step takes all queued events, and there is at most one Step per
// tick.
func (c *Core) Run() {
	defer close(c.done)
	tick := time.Duration(c.cfg.Settings.Tick) * time.Microsecond
	wakeTimer := time.NewTimer(time.Hour)
	defer wakeTimer.Stop()
	last := time.Now()
	// If the list has to be requested, the module does so in a Step, and without a cached list no other
	// event may ever cause one.
	c.step(c.toMicros(last))
	for {
		// Wait for an event or a timer.
		if len(c.events) == 0 {
			if at := c.nextTime(); at > 0 {
				wakeTimer.Reset(time.Duration(at-c.toMicros(time.Now())) * time.Microsecond)
			} else {
				wakeTimer.Reset(time.Hour)
			}
			select {
			case e := <-c.queue:
				c.handle(e)
			case <-wakeTimer.C:
			case <-c.quit:
				return
			}
		}
		// There is at most one Step per tick: events that arrive before it are part of the same Step.
		if wait := tick - time.Since(last); wait > 0 {
			wakeTimer.Reset(wait)
			for waiting := true; waiting; {
				in := c.queue
				if len(c.events) >= maxStepEvents {
					in = nil
				}
				select {
				case e := <-in:
					c.handle(e)
				case <-wakeTimer.C:
					waiting = false
				case <-c.quit:
					return
				}
			}
		}
		for more := true; more && len(c.events) < maxStepEvents; {
			select {
			case e := <-c.queue:
				c.handle(e)
			default:
				more = false
			}
		}
		last = time.Now()
		c.step(c.toMicros(last))
	}
}

// nextTime returns the time of the next timer or wake-up; 0: none.
func (c *Core) nextTime() balance.Micros {
	at := c.wakeAt
	if len(c.timers) > 0 && (at == 0 || c.timers[0].at < at) {
		at = c.timers[0].at
	}
	return at
}

// handle processes an event, and translates it to events of the module.
func (c *Core) handle(e Event) {
	switch e := e.(type) {
	case *Query:
		c.openQuery(e)
	case AttemptDone:
		c.endAttempt(e.Attempt, e.Outcome, e.Report, &e.Value)
	case ClientGone:
		if e.Query.open {
			c.events = append(c.events, balance.Event{Kind: balance.ClientGone, ID: e.Query.id})
			c.logEnd(e.Query, "abandoned", "its client has left")
			e.Query.writes.close(nil)
			c.holdName(e.Query)
			c.closeQuery(e.Query)
			c.queryEnded(e.Query, Failed)
		}
	case rejection:
		c.reject(e.query)
	case ListUpdate:
		c.applyList(&e)
		c.notifyModule(e.Mode, e.Replicas)
	case Cordon:
		c.cordon(e)
	case HandoverState: // arrives before any list
		e.shift(e.Clock, c.toMicros(time.Now()))
		maps.Copy(c.cordons[ByOperator], e.Cordons)
		maps.Copy(c.cordons[ByFleetOperator], e.FleetCordons)
		maps.Copy(c.restoredAt, e.RestoredAt)
		c.holdNames(HoldNames{e.HeldNames})
		for id, at := range e.Memory.Starts { // some may be missing in the list so far
			c.restoredAt[id] = max(c.restoredAt[id], at)
		}
		c.events = append(c.events, balance.Event{Kind: balance.Restored, Memory: &e.Memory})
	case SettingsChanged:
		c.applySettings(e.Settings)
		c.events = append(c.events, balance.Event{Kind: balance.SettingsChanged, Settings: &e.Settings})
	case handoverRequest:
		e.done <- HandoverState{Cordons: maps.Clone(c.cordons[ByOperator]),
			FleetCordons: maps.Clone(c.cordons[ByFleetOperator]), RestoredAt: maps.Clone(c.restoredAt),
			HeldNames: c.heldNames(), Memory: c.module.Memory(), Clock: c.toMicros(time.Now())}
	case RemoteClaim:
		c.answerClaim(e)
	case HoldNames:
		c.holdNames(e)
	case nameClaimed:
		c.endClaim(e)
	case isListedRequest:
		_, ok := c.servers[e.server]
		e.done <- ok
	case ProbeDone:
		c.events = append(c.events, balance.Event{Kind: balance.ProbeResult, Replica: e.Replica,
			Outcome: e.Outcome, Elapsed: e.Elapsed.Microseconds(), Report: e.Report})
	case PeerMessage:
		c.events = append(c.events, balance.Event{Kind: balance.Message, From: e.From, Data: e.Data})
	case shutdown:
		c.shutdownAt = c.toMicros(e.until)
		c.events = append(c.events, balance.Event{Kind: balance.Stopping, Deadline: c.shutdownAt})
		for _, q := range c.queries {
			c.timers.move(q.timer, c.overdueAt(q))
		}
	}
}

// openQuery opens a query, once its name is known to be free.
func (c *Core) openQuery(q *Query) {
	if q.Finished() { // the client left while the query was queued
		c.queryEnded(q, Failed)
		return
	}
	if c.nameTaken(q.Name, c.toMicros(time.Now())) { // parts of two queries of one name cannot be told apart
		c.logEnd(q, Failed.String(), "a query with the same name is open, or may still run")
		c.reply(q, FinalAnswer{Outcome: Failed, NameTaken: true})
		return
	}
	if !c.claimName(q, c.toMicros(time.Now())) {
		c.begin(q)
	}
}

// begin opens a query whose name is free and passes it to the module.
func (c *Core) begin(q *Query) {
	if q.Finished() { // the client left while the name was claimed
		c.queryEnded(q, Failed)
		return
	}
	if q.rejected { // while the name was claimed
		c.reply(q, FinalAnswer{Outcome: Failed})
		return
	}
	if limit := c.cfg.Settings.MaxOpen; limit > 0 && c.openCount+1+len(q.Parts) > limit {
		c.logEnd(q, Refused.String(), "too many queries are open")
		c.reply(q, FinalAnswer{Outcome: Refused, RetryAfter: fullRetryAfter})
		return
	}
	q.open, q.deadline, q.openedAt = true, c.toMicros(q.Deadline), c.toMicros(time.Now())
	for c.nextNumber++; c.numbers[float32(c.nextNumber%numberLimit)]; c.nextNumber++ {
	}
	q.number = float32(c.nextNumber % numberLimit)
	c.numbers[q.number] = true
	q.id = c.newID()
	c.queries[q.id], c.byName[q.Name] = q, q
	total, totalHint, allHinted := 0.0, balance.Micros(0), true
	for i := range q.Parts {
		total += q.Parts[i].Weight
		totalHint += q.Parts[i].Hint
		allHinted = allHinted && q.Parts[i].Hint > 0
	}
	if !allHinted {
		totalHint = 0
	}
	c.events = append(c.events, balance.Event{Kind: balance.Query, ID: q.id, Number: q.number, Class: q.Class,
		Tenant: q.Tenant, Weight: float64(len(q.Parts)), Hint: totalHint, Deadline: q.deadline, Repeat: q.Repeat,
		Rules: q.Rules, MaxAttempts: q.MaxAttempts})
	for i := range q.Parts {
		s := &q.Parts[i]
		p := &part{query: q, spec: s, id: c.newID()}
		q.parts = append(q.parts, p)
		c.parts[p.id] = p
		c.events = append(c.events, balance.Event{Kind: balance.Part, ID: p.id, Number: q.number, Class: q.Class,
			Tenant: q.Tenant, Shard: s.Shard, Weight: s.Weight / total, Hint: s.Hint, Key: s.Key,
			Deadline: q.deadline, Repeat: q.Repeat})
	}
	c.openCount += 1 + len(q.Parts)
	q.timer = &timer{at: c.overdueAt(q), query: q}
	heap.Push(&c.timers, q.timer)
}

// reject ends a query with a failure, at the latest when it would be opened.
func (c *Core) reject(q *Query) {
	q.rejected = true
	if !q.open {
		return
	}
	c.logEnd(q, Failed.String(), "its client breaks the protocol")
	c.events = append(c.events, balance.Event{Kind: balance.ClientGone, ID: q.id})
	c.finish(q, FinalAnswer{Outcome: Failed})
}

// newID returns an ID that no open query or part has.
func (c *Core) newID() uint32 {
	for {
		c.nextID++
		if c.queries[c.nextID] == nil && c.parts[c.nextID] == nil {
			return c.nextID
		}
	}
}

// endAttempt records the end of an attempt and tells the module. Only the first outcome counts: anything
// after a time-out or a cancellation is late and ignored.
func (c *Core) endAttempt(a *Attempt, o balance.Outcome, report []float32, v *Value) {
	if a.done {
		return
	}
	a.done, a.endedAt, a.outcome = true, c.now, o
	c.timers.remove(a.timer)
	if a.admitted {
		c.cfg.Admission.AttemptEnded(a)
	}
	if c.cfg.OnAttemptEnd != nil {
		c.cfg.OnAttemptEnd(AttemptResult{a.Replica, a.Query.Class, o, toDuration(c.now - a.sent),
			o == balance.Cancelled && a.superseded()})
	}
	p := a.part
	p.pending--
	if o == balance.OK && !p.answered && v != nil {
		v.Shard = a.Shard
		p.value, p.answered = v, true
	}
	c.events = append(c.events, balance.Event{Kind: balance.Result, ID: p.id, Attempt: a.number,
		Closed: p.answered || !p.query.open, Outcome: o, Replica: a.Replica, Elapsed: c.now - a.sent,
		Report: report})
	c.dropPart(p)
}

// dropPart removes a part once its query is closed and none of its attempts is pending.
func (c *Core) dropPart(p *part) {
	if !p.query.open && p.pending == 0 {
		delete(c.parts, p.id)
	}
}

// step runs the module once and executes its actions.
func (c *Core) step(now balance.Micros) {
	var overdue []*Query
	delayed := time.Duration(0)
	if due := c.nextTime(); due > 0 && c.now > 0 {
		delayed = toDuration(now - max(due, c.now))
	}
	c.deferLog(func() { c.cfg.Delays.Record(delay.Step, delayed, "open", len(c.queries)) })
	c.now = now
	for len(c.timers) > 0 && c.timers[0].at <= now {
		t := heap.Pop(&c.timers).(*timer)
		switch {
		case t.attempt != nil && !t.attempt.done:
			o := balance.TimedOut
			if t.attempt.Query.Backend.Cancel(t.attempt) {
				o = balance.NotSent
			}
			c.endAttempt(t.attempt, o, nil, nil)
		case t.query != nil && t.query.open:
			// Normally the module answers in time. This ensures a final answer even if something keeps it from
			// doing so, such as a clock that stood still.
			overdue = append(overdue, t.query)
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
	c.execute()
	c.updateListCounts()
	if c.listSeen && c.cfg.OnFirstList != nil {
		c.cfg.OnFirstList()
		c.cfg.OnFirstList = nil
	}
	for _, q := range overdue {
		if q.open {
			c.logEnd(q, Failed.String(), "no decision in time")
			c.deferLog(func() { c.cfg.Log.Error("query ended without a decision", "query", q.Name) })
			c.events = append(c.events, balance.Event{Kind: balance.ClientGone, ID: q.id})
			c.finish(q, FinalAnswer{Outcome: Failed, Overdue: true})
		}
	}
	if c.shutdownAt > 0 && len(c.queries)+c.claiming == 0 && !c.drainedClosed {
		c.drainedClosed = true
		close(c.drained)
	}
	c.flushLogs()
}

// overdueAt returns when a query is ended without the module.
func (c *Core) overdueAt(q *Query) balance.Micros {
	at := q.deadline
	if c.shutdownAt > 0 {
		at = min(at, c.shutdownAt)
	}
	return at + overdueSlack.Microseconds()
}

// finish gives an open query its final answer. Only this function does so, and a query is opened only
// once.
func (c *Core) finish(q *Query, f FinalAnswer) {
	if !q.open {
		return
	}
	if f.Outcome == Failed {
		c.holdName(q)
	}
	c.closeQuery(q)
	f.Decided = c.toTime(c.now)
	c.reply(q, f)
}

// reply delivers the final answer of a query that is not open, or no longer open. The client receives it
// only when no write can send the first byte of an attempt any more: an attempt sent after the final
// answer would execute a request that has already been reported as ended, however long a writer's thread
// is held up.
func (c *Core) reply(q *Query, f FinalAnswer) {
	c.queryEnded(q, f.Outcome)
	f.RetryAfter = c.CapRetryAfter(f.RetryAfter)
	q.writes.close(func() { q.Client.Final(f) })
}

// queryEnded records that a submitted query has ended.
func (c *Core) queryEnded(q *Query, e QueryOutcome) {
	c.cfg.Counts.ActiveQueries.Add(-1)
	if q.admitted {
		q.admitted = false
		c.cfg.Admission.QueryEnded(q, e)
	}
}

// closeQuery removes a query. Its pending attempts are cancelled by the module or time out.
func (c *Core) closeQuery(q *Query) {
	q.open = false
	c.timers.remove(q.timer)
	delete(c.queries, q.id)
	delete(c.byName, q.Name)
	delete(c.numbers, q.number)
	c.openCount -= 1 + len(q.parts)
	for _, p := range q.parts {
		p.value = nil
		c.dropPart(p)
	}
}
