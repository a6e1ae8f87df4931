package translate

// The guard of keys: what may have run is not sent again past its window, and not to servers that never heard
// of it. Servers of one domain drop a repeat for as long as the window lasts, counted from the first send
// that may have run; after that, and in another domain, a repeat would be executed. The guard outlives
// queries: a client's own retry is a new query with the same key. It has no clock and no goroutine.

import (
	"lapislever/balance"
)

// Verdict is the guard's word on a send.
type Verdict uint8

// The verdicts.
const (
	Allowed   Verdict = iota
	Past              // the window is over, and an earlier send may have run
	Elsewhere         // an earlier send may have run in another domain
	Crowded           // no room for one more key: none is forgotten early
)

// String is what logs and counts call it.
func (v Verdict) String() string {
	return [...]string{"allowed", "window over", "other domain", "too many keys"}[v]
}

// guardTick is how late an expired key may be forgotten.
const guardTick = 20_000

type guardKey struct {
	key   string
	shard int
}

// sent is one send that may have run.
type sent struct {
	token  uint64
	at     balance.Micros
	domain int
}

type guardEntry struct {
	guardKey
	window balance.Micros
	sends  []sent // in the order in which they were made
	place  Item[*guardEntry]
}

// Guard is the state of the guard. It is not safe for concurrent use.
type Guard struct {
	remember balance.Micros
	most     int
	keys     map[guardKey]*guardEntry
	wheel    *Wheel[*guardEntry]
	token    uint64
	turned   [Crowded + 1]int64
}

// NewGuard returns a guard that starts now. A key is remembered for so long past its window, and there are no
// more than most keys at a time.
func NewGuard(now, remember balance.Micros, most int) *Guard {
	return &Guard{remember: remember, most: most, keys: map[guardKey]*guardEntry{},
		wheel: NewWheel[*guardEntry](guardTick, now)}
}

// Len is how many keys are remembered.
func (g *Guard) Len() int { return len(g.keys) }

// Turned counts the verdicts of a kind.
func (g *Guard) Turned(v Verdict) int64 { return g.turned[v] }

// look is the word on a send of a key's part to a domain; any domain will do where it is below 0.
func (g *Guard) look(now balance.Micros, e *guardEntry, domain int) Verdict {
	switch first := e.sends[0]; {
	case now >= first.at+e.window:
		return Past
	case domain >= 0 && domain != first.domain:
		return Elsewhere
	}
	return Allowed
}

// Known is the word on a query before any of it is sent: whether a part of it could still be sent at all.
func (g *Guard) Known(now balance.Micros, key string, shard int) Verdict {
	g.expire(now)
	if e := g.keys[guardKey{key, shard}]; e != nil {
		return g.look(now, e, -1)
	}
	if len(g.keys) >= g.most {
		return Crowded
	}
	return Allowed
}

// Ask is called before each send. Where the verdict is Allowed the send counts as one that may run, until
// Never takes its token back; its last byte must be written before by.
func (g *Guard) Ask(now balance.Micros, key string, shard, domain int, window balance.Micros) (v Verdict,
	token uint64, by balance.Micros) {
	g.expire(now)
	k := guardKey{key, shard}
	e := g.keys[k]
	switch {
	case e != nil:
		v = g.look(now, e, domain)
	case len(g.keys) >= g.most:
		v = Crowded
	}
	if v != Allowed {
		g.turned[v]++
		return v, 0, 0
	}
	if e == nil {
		e = &guardEntry{guardKey: k, window: window}
		e.place.Value = e
		g.keys[k] = e
	}
	g.token++
	e.sends = append(e.sends, sent{g.token, now, domain})
	g.schedule(e)
	return Allowed, g.token, e.sends[0].at + e.window
}

// Never tells that a send has proved not to have run.
func (g *Guard) Never(now balance.Micros, key string, shard int, token uint64) {
	g.expire(now)
	e := g.keys[guardKey{key, shard}]
	if e == nil {
		return
	}
	for i, s := range e.sends {
		if s.token != token {
			continue
		}
		e.sends = append(e.sends[:i], e.sends[i+1:]...)
		if len(e.sends) == 0 {
			g.wheel.Remove(&e.place)
			delete(g.keys, e.guardKey)
		} else {
			g.schedule(e)
		}
		return
	}
}

func (g *Guard) schedule(e *guardEntry) {
	g.wheel.Add(&e.place, e.sends[len(e.sends)-1].at+e.window+g.remember)
}

func (g *Guard) expire(now balance.Micros) {
	g.wheel.Advance(now, func(it *Item[*guardEntry]) { delete(g.keys, it.Value.guardKey) })
}
