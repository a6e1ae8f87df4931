package translate

// The guard of keys: what may have run is not sent again past its window, and not to servers that never heard
// of it. Servers of one domain drop a repeat for as long as the window lasts, counted from the first send
// that may have run; after that, and in another domain, a repeat would be executed. The guard outlives
// queries: a client's own retry is a new query with the same key. It has no clock and no goroutine.

import (
	"lapislever/balance"
)

// Decision is the guard's word on a send.
type Decision uint8

// The verdicts.
const (
	Allowed     Decision = iota
	WindowOver           // the window is over, and an earlier send may have run
	OtherDomain          // an earlier send may have run in another domain
	TooManyKeys          // no room for one more key: none is forgotten early
)

// String is what logs and counts call it.
func (v Decision) String() string {
	return [...]string{"allowed", "window over", "other domain", "too many keys"}[v]
}

// expiryTick is how late an expired key may be forgotten.
const expiryTick = 20_000

type guardKey struct {
	key   string
	shard int
}

// guardSend is one send that may have run.
type guardSend struct {
	token  uint64
	at     balance.Micros
	domain int
}

type guardEntry struct {
	guardKey
	window balance.Micros
	sends  []guardSend // in the order in which they were made
	timer  Item[*guardEntry]
}

// Guard is the state of the guard. It is not safe for concurrent use.
type Guard struct {
	retention balance.Micros
	maxKeys   int
	entries   map[guardKey]*guardEntry
	wheel     *Wheel[*guardEntry]
	lastToken uint64
	rejected  [TooManyKeys + 1]int64
}

// NewGuard returns a guard that starts now. A key is remembered for so long past its window, and there are no
// more than most keys at a time.
func NewGuard(now, remember balance.Micros, most int) *Guard {
	return &Guard{retention: remember, maxKeys: most, entries: map[guardKey]*guardEntry{},
		wheel: NewWheel[*guardEntry](expiryTick, now)}
}

// Len is how many keys are remembered.
func (g *Guard) Len() int { return len(g.entries) }

// Rejected counts the verdicts of a kind.
func (g *Guard) Rejected(v Decision) int64 { return g.rejected[v] }

// check is the word on a send of a key's part to a domain; any domain will do where it is below 0.
func (g *Guard) check(now balance.Micros, e *guardEntry, domain int) Decision {
	switch first := e.sends[0]; {
	case now >= first.at+e.window:
		return WindowOver
	case domain >= 0 && domain != first.domain:
		return OtherDomain
	}
	return Allowed
}

// CheckQuery is the word on a query before any of it is sent: whether a part of it could still be sent at all.
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

// BeginSend is called before each send. Where the verdict is Allowed the send counts as one that may run, until
// Never takes its token back; its last byte must be written before by.
func (g *Guard) BeginSend(now balance.Micros, key string, shard, domain int, window balance.Micros) (v Decision,
	token uint64, by balance.Micros) {
	g.expire(now)
	k := guardKey{key, shard}
	e := g.entries[k]
	switch {
	case e != nil:
		v = g.check(now, e, domain)
	case len(g.entries) >= g.maxKeys:
		v = TooManyKeys
	}
	if v != Allowed {
		g.rejected[v]++
		return v, 0, 0
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

// CancelSend tells that a send has proved not to have run.
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

func (g *Guard) schedule(e *guardEntry) {
	g.wheel.Add(&e.timer, e.sends[len(e.sends)-1].at+e.window+g.retention)
}

func (g *Guard) expire(now balance.Micros) {
	g.wheel.Advance(now, func(it *Item[*guardEntry]) { delete(g.entries, it.Value.guardKey) })
}
