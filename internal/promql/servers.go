package promql

// The backend of range queries: connections to servers, and one HTTP request per attempt.

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

// roundTrip is one attempt's request to a server and the reply to it.
type roundTrip struct {
	front         *Front
	attempt       *core.Attempt
	server        *server
	mu            sync.Mutex
	conn          *lnet.Client
	writeBegun    bool // part of the request may have been written
	cancelled     bool
	reservedBytes int64 // buffer memory reserved for the reply
}

// Send starts the attempts of a call. Each is sent as a separate request.
func (f *Front) Send(to balance.ReplicaID, call []*core.Attempt) bool {
	s := f.servers[to]
	if s == nil {
		f.env.Log.Warn("server has no range-query address in the front's file", "server", uint64(to))
		return false
	}
	for _, a := range call {
		rt := &roundTrip{front: f, attempt: a, server: s}
		f.mu.Lock()
		f.inFlight[a] = rt
		f.mu.Unlock()
		go rt.run()
	}
	return true
}

// Cancel cancels an attempt by closing its connection, the only way that HTTP/1.1 has. It reports whether the
// attempt is certain not to have run.
func (f *Front) Cancel(a *core.Attempt) bool {
	f.mu.Lock()
	rt := f.inFlight[a]
	f.mu.Unlock()
	if rt == nil {
		return false
	}
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.cancelled = true
	if rt.conn != nil {
		rt.conn.Close()
	}
	return !rt.writeBegun
}

// CancelQueued cancels and returns the attempts for a server whose request has not begun to be written.
func (f *Front) CancelQueued(to balance.ReplicaID) []*core.Attempt {
	f.mu.Lock()
	defer f.mu.Unlock()
	var cancelled []*core.Attempt
	for a, rt := range f.inFlight {
		if a.Replica == to {
			rt.mu.Lock()
			if !rt.writeBegun && !rt.cancelled {
				rt.cancelled = true
				cancelled = append(cancelled, a)
			}
			rt.mu.Unlock()
		}
	}
	return cancelled
}

// CloseIdle closes a server's idle connections.
func (f *Front) CloseIdle(to balance.ReplicaID) {
	if s := f.servers[to]; s != nil {
		s.mu.Lock()
		idle := s.idle
		s.idle = nil
		s.mu.Unlock()
		for _, c := range idle {
			f.closeConn(c)
		}
	}
}

// closeConn closes a connection and releases its place in the budget.
func (f *Front) closeConn(c *lnet.Client) {
	c.Close()
	f.budget.Release()
}

// Probe requests a server's /-/healthy. The core turns to this backend only for servers that no earlier
// backend can probe: nodes that speak the platform's protocol are probed over that.
func (f *Front) Probe(to balance.ReplicaID) bool {
	s := f.servers[to]
	if s == nil {
		return false
	}
	go func() {
		startedAt, outcome := time.Now(), balance.NoConnection
		deadline := startedAt.Add(f.env.Config.DialTimeout)
		for again := true; again; {
			c, used := f.getConn(s, f.env.Config.DialTimeout)
			if c == nil {
				break
			}
			outcome = balance.Error
			reply, err := c.Do("GET", s.path+"/-/healthy", s.addr, nil, nil, deadline)
			if err == nil && reply.Status == 200 {
				outcome = balance.OK
			}
			f.putConn(s, c)
			again = used && errors.Is(err, lnet.ErrUnsolicited)
		}
		f.core.Post(core.ProbeDone{Replica: to, Outcome: outcome, Elapsed: time.Since(startedAt)})
	}()
	return true
}

// reuseLimit is how long a connection may be idle and still be reused.
func (f *Front) reuseLimit() time.Duration {
	return time.Duration(idleReuseFraction * float64(f.env.Config.ConnIdle))
}

// closeExpired closes connections that have been idle for too long. The server would close its end of them
// anyway, and the descriptor here would stay in use.
func (f *Front) closeExpired(s *server) {
	s.mu.Lock()
	var expired []*lnet.Client
	s.idle = slices.DeleteFunc(s.idle, func(c *lnet.Client) bool {
		tooOld := time.Since(c.IdleSince) >= f.reuseLimit()
		if tooOld {
			expired = append(expired, c)
		}
		return tooOld
	})
	if s.sweepScheduled = len(s.idle) > 0; s.sweepScheduled {
		time.AfterFunc(f.reuseLimit(), func() { f.closeExpired(s) })
	}
	s.mu.Unlock()
	for _, c := range expired {
		f.closeConn(c)
	}
}

// getConn returns an idle connection that may still be reused, or else a new one, and whether it was used
// before. It returns nil if there is no free descriptor or the server cannot be reached.
func (f *Front) getConn(s *server, timeout time.Duration) (c *lnet.Client, used bool) {
	s.mu.Lock()
	for len(s.idle) > 0 {
		last := s.idle[len(s.idle)-1] // the most recently used
		s.idle = s.idle[:len(s.idle)-1]
		if time.Since(last.IdleSince) < f.reuseLimit() {
			s.mu.Unlock()
			return last, true
		}
		defer f.closeConn(last)
	}
	s.mu.Unlock()
	if !f.budget.AcquireServer() {
		f.env.Log.Warn("no descriptor is left for a server", "server", s.name)
		return nil, false
	}
	c, err := lnet.Dial(s.addr, timeout, maxReplyBytes)
	if err != nil {
		f.budget.Release()
		return nil, false
	}
	return c, false
}

// putConn keeps a reusable connection as idle, and closes any other.
func (f *Front) putConn(s *server, c *lnet.Client) {
	if c.ReserveBytes = nil; c.Reusable() {
		s.mu.Lock()
		keep := len(s.idle) < maxIdleConns
		if keep {
			s.idle = append(s.idle, c)
			if !s.sweepScheduled {
				s.sweepScheduled = true
				time.AfterFunc(f.reuseLimit(), func() { f.closeExpired(s) })
			}
		}
		s.mu.Unlock()
		if keep {
			return
		}
	}
	f.closeConn(c)
}

// run sends the attempt and posts its outcome to the core.
func (rt *roundTrip) run() {
	outcome, v := rt.do()
	rt.front.mu.Lock()
	delete(rt.front.inFlight, rt.attempt)
	rt.front.mu.Unlock()
	rt.mu.Lock()
	cancelled := rt.cancelled
	rt.mu.Unlock()
	// The reply's memory is released now or, if the reply is part of the result, when the query ends.
	if outcome != balance.OK || cancelled || !rt.attempt.Query.Data.(*pendingQuery).retain(rt.reservedBytes) {
		rt.front.bufferedBytes.Add(-rt.reservedBytes)
	}
	if !cancelled {
		rt.front.core.Post(core.AttemptDone{Attempt: rt.attempt, Outcome: outcome, Value: v})
	}
}

// reserve reserves memory for a reply, and returns false if the buffered replies leave too little.
func (rt *roundTrip) reserve(n int) bool {
	if rt.front.bufferedBytes.Add(int64(n)) > rt.front.bufferLimit {
		rt.front.bufferedBytes.Add(int64(-n))
		return false
	}
	rt.reservedBytes += int64(n)
	return true
}

// send writes the request to a connection and returns that, or the outcome if the request is not written to
// its end and thus never runs.
func (rt *roundTrip) send(deadline time.Time) (*lnet.Client, balance.Outcome) {
	f, pq := rt.front, rt.attempt.Query.Data.(*pendingQuery)
	header := [][2]string{{"Content-Type", "application/x-www-form-urlencoded"}, {"Accept", "application/json"}}
	for {
		c, used := f.getConn(rt.server, f.env.Config.DialTimeout)
		if c == nil {
			return nil, balance.NoConnection
		}
		c.ReserveBytes = rt.reserve
		now := time.Now()
		body := pq.query.serverParams(rt.attempt.Shard, deadline.Sub(now)).Encode()
		if !rt.beginWrite(c, now) {
			f.putConn(rt.server, c)
			return nil, balance.NotSent
		}
		err := c.Write("POST", rt.server.path+rangePath, rt.server.addr, header, []byte(body),
			now.Add(writeTimeout))
		rt.attempt.EndWrite(c)
		if err == nil {
			return c, 0
		}
		unsolicited := errors.Is(err, lnet.ErrUnsolicited)
		rt.mu.Lock()
		rt.writeBegun = !unsolicited
		rt.mu.Unlock()
		rt.releaseConn()
		if !used || !unsolicited {
			return nil, balance.NoConnection
		}
		f.env.Log.Info("connection to a server not used again", "server", rt.server.name, "err", err)
	}
}

// do sends the request, and reads and parses the reply.
func (rt *roundTrip) do() (balance.Outcome, core.Value) {
	f, pq := rt.front, rt.attempt.Query.Data.(*pendingQuery)
	deadline := time.Now().Add(rt.attempt.Timeout)
	c, outcome := rt.send(deadline)
	if c == nil {
		return outcome, core.Value{}
	}
	rt.front.core.Counts().AttemptsSent.Add(1)
	reply, err := c.Read(deadline.Add(readSlack))
	rt.releaseConn()
	if err != nil {
		f.env.Log.Debug("reading a server's reply failed", "server", rt.server.name, "err", err)
		var bad *lnet.BadMessage
		if errors.As(err, &bad) {
			return balance.Error, core.Value{}
		}
		return balance.Reset, core.Value{}
	}
	if reply.Status == 429 {
		return balance.Busy, core.Value{}
	}
	r, err := parseReply(reply.Status, reply.Body, pq.query)
	if err != nil {
		f.env.Log.Warn("server reply rejected", "server", rt.server.name, "shard", rt.attempt.Shard, "why", err)
		var permanent *permanentError
		if errors.As(err, &permanent) {
			pq.mu.Lock()
			pq.permanent = permanent
			pq.mu.Unlock()
		}
		return balance.Error, core.Value{}
	}
	r.shard = rt.attempt.Shard
	return balance.OK, core.Value{Data: r}
}

// beginWrite marks the request as being written to a connection. It returns false if the attempt has been
// cancelled or may no longer begin.
func (rt *roundTrip) beginWrite(c *lnet.Client, now time.Time) bool {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	if rt.cancelled {
		return false
	}
	if _, reason := rt.attempt.BeginWrite(c, now); reason != core.NoHold {
		rt.front.env.Log.Info("attempt not begun", "server", rt.server.name, "query", rt.attempt.Query.Name,
			"shard", rt.attempt.Shard, "why", string(reason))
		return false
	}
	rt.conn, rt.writeBegun = c, true
	return true
}

// releaseConn gives the connection back. A later Cancel no longer closes it, as another attempt may use it by
// then.
func (rt *roundTrip) releaseConn() {
	rt.mu.Lock()
	c := rt.conn
	rt.conn = nil
	rt.mu.Unlock()
	rt.front.putConn(rt.server, c)
}

// serverParams returns the parameters of the request for one shard. The end is passed on exactly as the
// client gave it, because the expression may refer to it.
func (q *rangeQuery) serverParams(shard int, remaining time.Duration) url.Values {
	seconds := func(ms int64) string { return strconv.FormatFloat(float64(ms)/1000, 'f', -1, 64) }
	v := url.Values{"query": {q.plan.shardQuery(shard)}, "start": {seconds(q.start)}, "end": {seconds(q.end)},
		"step": {seconds(q.step)}, "timeout": {seconds(max(1, remaining.Milliseconds()))}}
	if q.lookback != "" {
		v.Set("lookback_delta", q.lookback)
	}
	return v
}
