package translate

// The idempotency guard keeps a keyed part from being executed twice. Servers of one domain drop repeats of a
// key for the length of its window, counted from the first send that may have run. After the window, or in
// another domain, a repeat would be executed again, so the guard rejects such sends. Its state outlives
// queries, because a client's own retry is a new query with the same key. It has no clock and no goroutine.

import (
	"lapislever/balance"
)

// Decision tells whether a send is allowed and, if not, why.
type Decision uint8

// The decisions.
const (
	Allowed     Decision = iota
	WindowOver           // an earlier send may have run, and the window has ended
	OtherDomain          // an earlier send may have run in another domain
	TooManyKeys          // the table of keys is full; keys are never evicted early
)

// String returns the decision's name in logs.
func (d Decision) String() string {
	return [...]string{"allowed", "window over", "other domain", "too many keys"}[d]
}

// expiryTick, in microseconds, bounds how late an expired key is removed.
const expiryTick = 20_000

type guardKey struct {
	key   string
	shard int
}

// guardSend is a send that may have run.
type guardSend struct {
	token  uint64
	at     balance.Micros
	domain int
}

type guardEntry struct {
	guardKey
	window balance.Micros
	sends  []guardSend // oldest first
	timer  Item[*guardEntry]
}

// Guard tracks which keyed parts may have run, where and when. It is not safe for concurrent use.
type Guard struct {
	retention balance.Micros
	maxKeys   int
	entries   map[guardKey]*guardEntry
	wheel     *Wheel[*guardEntry]
	lastToken uint64
	rejected  [TooManyKeys + 1]int64
}

// NewGuard returns an empty guard whose time starts at now. It keeps a key for retention beyond its window,
// and at most maxKeys keys at a time.
func NewGuard(now, retention balance.Micros, maxKeys int) *Guard {
	return &Guard{retention: retention, maxKeys: maxKeys, entries: map[guardKey]*guardEntry{},
		wheel: NewWheel[*guardEntry](expiryTick, now)}
}

// Len returns the number of keys held; each shard of a key counts.
func (g *Guard) Len() int { return len(g.entries) }

// Rejected returns the number of sends rejected with decision d.
func (g *Guard) Rejected(d Decision) int64 { return g.rejected[d] }

// check decides on a further send of e's part to domain. A negative domain skips the domain check.
func (g *Guard) check(now balance.Micros, e *guardEntry, domain int) Decision {
	switch first := e.sends[0]; {
	case now >= first.at+e.window:
		return WindowOver
	case domain >= 0 && domain != first.domain:
		return OtherDomain
	}
	return Allowed
}

// CheckQuery decides, before any part of a query is sent, whether its part for shard could be sent to any
// domain at all.
func (g *Guard) CheckQuery(now balance.Micros, key string, shard int) Decision {
	g.expire(now)
	if e := g.entries[guardKey{key, shard}]; e != nil {
		return g.check(now, e, -1)
	}
	if len(g.entries) >= g.maxKeys {
		return TooManyKeys
	}
	return Allowed
}

// BeginSend must be called before each send. If the decision is Allowed, the send counts as one that may have
// run until CancelSend is called with its token, and its last byte must be written before writeBy.
func (g *Guard) BeginSend(now balance.Micros, key string, shard, domain int, window balance.Micros) (
	d Decision, token uint64, writeBy balance.Micros) {
	g.expire(now)
	k := guardKey{key, shard}
	e := g.entries[k]
	switch {
	case e != nil:
		e.window = min(e.window, window) // new settings may have shortened it since
		d = g.check(now, e, domain)
	case len(g.entries) >= g.maxKeys:
		d = TooManyKeys
	}
	if d != Allowed {
		g.rejected[d]++
		return d, 0, 0
	}
	if e == nil {
		e = &guardEntry{guardKey: k, window: window}
		e.timer.Value = e
		g.entries[k] = e
	}
	g.lastToken++
	e.sends = append(e.sends, guardSend{g.lastToken, now, domain})
	g.schedule(e)
	return Allowed, g.lastToken, e.sends[0].at + e.window
}

// CancelSend removes a send that is known not to have run. Once none is left, the key is free again.
func (g *Guard) CancelSend(now balance.Micros, key string, shard int, token uint64) {
	g.expire(now)
	e := g.entries[guardKey{key, shard}]
	if e == nil {
		return
	}
	for i, s := range e.sends {
		if s.token != token {
			continue
		}
		e.sends = append(e.sends[:i], e.sends[i+1:]...)
		if len(e.sends) == 0 {
			g.wheel.Remove(&e.timer)
			delete(g.entries, e.guardKey)
		} else {
			g.schedule(e)
		}
		return
	}
}

// schedule sets the entry's expiry: retention after the window of its latest send.
func (g *Guard) schedule(e *guardEntry) {
	g.wheel.Add(&e.timer, e.sends[len(e.sends)-1].at+e.window+g.retention)
}

func (g *Guard) expire(now balance.Micros) {
	g.wheel.Advance(now, func(it *Item[*guardEntry]) { delete(g.entries, it.Value.guardKey) })
}
