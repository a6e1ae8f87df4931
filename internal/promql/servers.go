package promql

// The way to the servers: the backend of range queries, its connections, and one attempt at a time.

import (
	"errors"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"lapislever/balance"
	"lapislever/internal/core"
	lnet "lapislever/internal/net"
)

// flight is one attempt on its way.
type flight struct {
	f         *Front
	a         *core.Attempt
	s         *server
	mu        sync.Mutex
	c         *lnet.Client
	began     bool // something of the request may have been written
	cancelled bool
	granted   int64
}

// Send starts the attempts of a call; each is a request of its own.
func (f *Front) Send(to balance.ReplicaID, call []*core.Attempt) bool {
	s := f.servers[to]
	if s == nil {
		f.place.Log.Warn("no range-query address is known", "server", uint64(to))
		return false
	}
	for _, a := range call {
		fl := &flight{f: f, a: a, s: s}
		f.mu.Lock()
		f.flights[a] = fl
		f.mu.Unlock()
		go fl.run()
	}
	return true
}

// Cancel ends an attempt: its connection is closed, as HTTP knows no other way.
func (f *Front) Cancel(a *core.Attempt) bool {
	f.mu.Lock()
	fl := f.flights[a]
	f.mu.Unlock()
	if fl == nil {
		return false
	}
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.cancelled = true
	if fl.c != nil {
		fl.c.Close()
	}
	return !fl.began
}

// CancelQueued withdraws what is not begun.
func (f *Front) CancelQueued(to balance.ReplicaID) []*core.Attempt {
	f.mu.Lock()
	defer f.mu.Unlock()
	var back []*core.Attempt
	for a, fl := range f.flights {
		if a.Replica == to {
			fl.mu.Lock()
			if !fl.began && !fl.cancelled {
				fl.cancelled = true
				back = append(back, a)
			}
			fl.mu.Unlock()
		}
	}
	return back
}

// CloseIdle closes connections that carry nothing.
func (f *Front) CloseIdle(to balance.ReplicaID) {
	if s := f.servers[to]; s != nil {
		s.mu.Lock()
		idle := s.idle
		s.idle = nil
		s.mu.Unlock()
		for _, c := range idle {
			f.drop(c)
		}
	}
}

func (f *Front) drop(c *lnet.Client) {
	c.Close()
	f.budget.Release()
}

// Probe asks a server whether it is healthy. Where the platform's nodes are known by frames, those are
// probed.
func (f *Front) Probe(to balance.ReplicaID) bool {
	s := f.servers[to]
	if s == nil {
		return false
	}
	go func() {
		at, o := time.Now(), balance.NoConnection
		until := at.Add(f.place.DialTimeout)
		if c := f.connect(s, f.place.DialTimeout); c != nil {
			o = balance.Error
			reply, err := c.Do("GET", s.path+"/-/healthy", s.addr, nil, nil, until)
			if err == nil && reply.Status == 200 {
				o = balance.OK
			}
			f.put(s, c)
		}
		f.core.Post(core.ProbeDone{Replica: to, Outcome: o, Elapsed: time.Since(at)})
	}()
	return true
}

func (f *Front) idleLimit() time.Duration {
	return time.Duration(idleShare * float64(f.place.ConnIdle))
}

// sweep closes connections that have been idle for too long: their server would, and leave us the
// descriptor.
func (f *Front) sweep(s *server) {
	s.mu.Lock()
	var old []*lnet.Client
	s.idle = slices.DeleteFunc(s.idle, func(c *lnet.Client) bool {
		over := time.Since(c.IdleSince) >= f.idleLimit()
		if over {
			old = append(old, c)
		}
		return over
	})
	if s.sweeps = len(s.idle) > 0; s.sweeps {
		time.AfterFunc(f.idleLimit(), func() { f.sweep(s) })
	}
	s.mu.Unlock()
	for _, c := range old {
		f.drop(c)
	}
}

// connect takes an idle connection that is fresh enough, or opens one.
func (f *Front) connect(s *server, timeout time.Duration) *lnet.Client {
	s.mu.Lock()
	for len(s.idle) > 0 {
		last := s.idle[len(s.idle)-1] // the freshest
		s.idle = s.idle[:len(s.idle)-1]
		if time.Since(last.IdleSince) < f.idleLimit() {
			s.mu.Unlock()
			return last
		}
		defer f.drop(last)
	}
	s.mu.Unlock()
	if !f.budget.AcquireServer() {
		f.place.Log.Warn("no descriptor is left for a server", "server", s.name)
		return nil
	}
	c, err := lnet.Dial(s.addr, timeout, maxReply)
	if err != nil {
		f.budget.Release()
		return nil
	}
	return c
}

// put keeps a connection that may go on.
func (f *Front) put(s *server, c *lnet.Client) {
	if c.ReserveBytes = nil; c.Reusable() {
		s.mu.Lock()
		keep := len(s.idle) < maxIdle
		if keep {
			s.idle = append(s.idle, c)
			if !s.sweeps {
				s.sweeps = true
				time.AfterFunc(f.idleLimit(), func() { f.sweep(s) })
			}
		}
		s.mu.Unlock()
		if keep {
			return
		}
	}
	f.drop(c)
}

// run carries an attempt to its end.
func (fl *flight) run() {
	o, v := fl.fly()
	fl.f.mu.Lock()
	delete(fl.f.flights, fl.a)
	fl.f.mu.Unlock()
	fl.mu.Lock()
	cancelled := fl.cancelled
	fl.mu.Unlock()
	// What the reply took is given back now, or with the query's end if it is part of that.
	if o != balance.OK || cancelled || !fl.a.Query.Data.(*job).keep(fl.granted) {
		fl.f.held.Add(-fl.granted)
	}
	if !cancelled {
		fl.f.core.Post(core.AttemptDone{Attempt: fl.a, Outcome: o, Value: v})
	}
}

// grant takes memory for a reply.
func (fl *flight) grant(n int) bool {
	if fl.f.held.Add(int64(n)) > maxHeld {
		fl.f.held.Add(int64(-n))
		return false
	}
	fl.granted += int64(n)
	return true
}

// fly sends the request and reads the reply.
func (fl *flight) fly() (balance.Outcome, core.Value) {
	f, j := fl.f, fl.a.Query.Data.(*job)
	begun := time.Now()
	c := f.connect(fl.s, f.place.DialTimeout)
	if c == nil {
		return balance.NoConnection, core.Value{}
	}
	c.ReserveBytes = fl.grant
	until := begun.Add(fl.a.Timeout)
	now := time.Now()
	body := j.q.form(fl.a.Shard, until.Sub(now)).Encode()
	head := [][2]string{{"Content-Type", "application/x-www-form-urlencoded"}, {"Accept", "application/json"}}
	if !fl.begin(c, now) {
		f.put(fl.s, c)
		return balance.NotSent, core.Value{}
	}
	err := c.Write("POST", fl.s.path+rangePath, fl.s.addr, head, []byte(body), now.Add(writeLimit))
	fl.a.EndWrite(c)
	if err != nil { // its last byte was not written: it never ran
		fl.leave()
		return balance.NoConnection, core.Value{}
	}
	fl.f.core.Counts().AttemptsSent.Add(1)
	reply, err := c.Read(until.Add(readSlack))
	fl.leave()
	if err != nil {
		f.place.Log.Debug("no reply from a server", "server", fl.s.name, "err", err)
		var bad *lnet.BadMessage
		if errors.As(err, &bad) {
			return balance.Error, core.Value{}
		}
		return balance.Reset, core.Value{}
	}
	if reply.Status == 429 {
		return balance.Busy, core.Value{}
	}
	r, err := readReply(reply.Status, reply.Body, j.q)
	if err != nil {
		f.place.Log.Warn("a server's reply is not used", "server", fl.s.name, "shard", fl.a.Shard, "why", err)
		var word *serverError
		if errors.As(err, &word) {
			j.mu.Lock()
			j.refused = word
			j.mu.Unlock()
		}
		return balance.Error, core.Value{}
	}
	r.shard = fl.a.Shard
	return balance.OK, core.Value{Data: r}
}

// begin begins the request's write on a connection; it may not where the attempt was given up or must not
// begin any more.
func (fl *flight) begin(c *lnet.Client, now time.Time) bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if fl.cancelled {
		return false
	}
	if _, hold := fl.a.BeginWrite(c, now); hold != core.NoHold {
		fl.f.place.Log.Info("attempt not begun", "server", fl.s.name, "query", fl.a.Query.Name,
			"shard", fl.a.Shard, "why", string(hold))
		return false
	}
	fl.c, fl.began = c, true
	return true
}

// leave parts from the connection, so that a withdrawal that comes later closes nothing of others.
func (fl *flight) leave() {
	fl.mu.Lock()
	c := fl.c
	fl.c = nil
	fl.mu.Unlock()
	fl.f.put(fl.s, c)
}

// form is the request to one server. The end is the client's own, as the expression may refer to it.
func (q *rangeQuery) form(shard int, left time.Duration) url.Values {
	seconds := func(ms int64) string { return strconv.FormatFloat(float64(ms)/1000, 'f', -1, 64) }
	v := url.Values{"query": {q.plan.text(shard)}, "start": {seconds(q.start)}, "end": {seconds(q.end)},
		"step": {seconds(q.step)}, "timeout": {seconds(max(1, left.Milliseconds()))}}
	if q.lookback != "" {
		v.Set("lookback_delta", q.lookback)
	}
	return v
}
