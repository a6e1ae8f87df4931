package quota

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Bounds of a limit that holds for each key on its own.
const (
	MostKeys   = 10_000 // keys with a share of their own at a member; the others are in the sketch
	rows       = 4
	columns    = 16384 // of a row
	keyIdle    = 10    // periods after which a key that asks for nothing has no share of its own any more
	keySends   = 64    // messages of all keys a period
	keysLooked = 2048  // keys that have their turn a period
)

// KeyID is a key of a limit, the same at all members. Two keys of one limit that have the same one (of 10,000
// some two do with a chance of one in a hundred) have one share together: it is stricter then, not over.
func KeyID(limit uint64, key string) uint64 {
	return KeyIDFromNumber(limit, xxhash.Sum64String(key))
}

// KeyIDFromNumber is the same for a key that is a number already.
func KeyIDFromNumber(limit, key uint64) uint64 {
	return limit&^math.MaxUint32 | max(1, key&math.MaxUint32)
}

// LimitIDOf is the limit of a key's number.
func LimitIDOf(id uint64) uint64 { return id &^ math.MaxUint32 }

// LimitID is the number of a limit without its keys.
func LimitID(name string) uint64 { return xxhash.Sum64String(name) &^ math.MaxUint32 }

// cell is a bucket that several keys share: how full it was, and when.
type cell struct {
	level float32
	at    float32 // seconds since the sketch began
}

// sketch bounds what each of very many keys gets, in fixed memory: a count-min sketch (Cormode and
// Muthukrishnan, J. Algorithms 55(1), 2005, §3) with conservative update (Estan and Varghese, SIGCOMM 2002,
// §3.2) of leaky buckets, which run empty with time. No cell of a key is ever less full than a bucket of that
// key's own would be, so that no key gets more than its rate; one may get less where all its cells are filled
// by others.
type sketch struct {
	cells [rows][columns]cell
	begun Micros
}

// take lets one in if the least full of the key's cells has room.
func (s *sketch) take(now Micros, key uint64, rate, most float64) bool {
	at := float32(float64(now-s.begun) / 1e6)
	var mine [rows]*cell
	least := float32(math.MaxFloat32)
	for r := range mine {
		key *= 0x9E3779B97F4A7C15
		c := &s.cells[r][key>>32%columns]
		c.level = max(0, c.level-(at-c.at)*float32(rate))
		c.at = at
		mine[r] = c
		least = min(least, c.level)
	}
	if float64(least)+1 > most {
		return false
	}
	for _, c := range mine {
		c.level = max(c.level, least+1)
	}
	return true
}

// fill is what a key that had a bucket of its own takes along into the sketch.
func (s *sketch) fill(now Micros, key uint64, used float64) {
	at := float32(float64(now-s.begun) / 1e6)
	for r := range rows {
		key *= 0x9E3779B97F4A7C15
		c := &s.cells[r][key>>32%columns]
		c.level, c.at = max(c.level, float32(used)), at
	}
}

// KeyedShares is one member's part in a limit that holds for each key on its own: for each tenant, say. Keys that
// ask for more than the member's share have a share of their own, which borrows and lends; all others are in
// a sketch.
type KeyedShares struct {
	Limit
	members int
	period  Micros
	seed    uint64
	usable  Micros
	held    bool
	void    bool
	tail    *sketch
	known   map[uint64]*Share // by KeyID
	order   []uint64
	turn    int
	left    int // of a period's messages
	Granted int64
	Refused int64
	Crowded int64 // times that a key found no room for a share of its own
}

// NewKeyedShares returns the part of a member that starts from nothing.
func NewKeyedShares(l Limit, members int, period Micros, seed uint64, now Micros) *KeyedShares {
	l.Floor = 1
	return &KeyedShares{Limit: l, members: members, period: period, seed: seed, tail: &sketch{begun: now},
		known: map[uint64]*Share{}, usable: now + span(period, 1+3*Drift)}
}

// Len is how many keys have a share of their own.
func (k *KeyedShares) Len() int { return len(k.known) }

// Take asks whether one more of a key may be let in now, and if not after how long.
func (k *KeyedShares) Take(now Micros, id uint64) (ok bool, after Micros) {
	if s := k.known[id]; s != nil {
		if ok, after = s.Take(now); ok {
			k.Granted++
		} else {
			k.Refused++
		}
		return ok, after
	}
	part := 1.0
	if now < k.usable {
		part = Kept
	}
	rate := k.Rate / (1 + Drift) / float64(k.members) * part
	if !k.void && !k.held && k.tail.take(now, id, rate, k.Burst/float64(k.members)*part) {
		k.Granted++
		return true, 0
	}
	k.Refused++
	if s := k.own(now, id); s != nil {
		s.count++
	}
	return false, k.period
}

// Refund gives back what Take has let in and nobody used.
func (k *KeyedShares) Refund(id uint64) {
	if s := k.known[id]; s != nil {
		s.Refund()
	}
	k.Granted--
}

// own gives a key a share of its own, if there is room. Its bucket is empty: the sketch may have let in as
// much as it holds.
func (k *KeyedShares) own(now Micros, id uint64) *Share {
	if s := k.known[id]; s != nil {
		return s
	}
	if len(k.known) >= MostKeys || k.void || k.held {
		k.Crowded++
		return nil
	}
	l := k.Limit
	l.ID = id
	k.seed++
	s := NewShare(l, k.members, k.period, k.seed, now)
	s.usable = min(s.usable, max(now, k.usable))
	s.settle(now)
	k.known[id] = s
	k.order = append(k.order, id)
	return s
}

// Tick is to be called once a period, with the other members that are alive.
func (k *KeyedShares) Tick(now Micros, peers []string) (out []Message) {
	k.left = keySends
	for range min(keysLooked, len(k.order)) {
		k.turn++
		i := k.turn % len(k.order)
		id := k.order[i]
		s := k.known[id]
		sends := s.Tick(now, peers)
		out = append(out, sends[:min(len(sends), k.left)]...)
		k.left -= min(len(sends), k.left)
		if idle := s.demand < leastLoan*s.share(); idle && now-s.lastTake > keyIdle*k.period &&
			len(s.lent)+len(s.in)+len(s.pending) == 0 {
			k.tail.fill(now, id, max(0, s.cap()-s.tokens))
			delete(k.known, id)
			k.order[i] = k.order[len(k.order)-1]
			if k.order = k.order[:len(k.order)-1]; len(k.order) == 0 {
				break
			}
		}
	}
	return out
}

// Receive takes in a message of another member.
func (k *KeyedShares) Receive(now Micros, from string, data []byte) []Message {
	id, ok := MessageLimitID(data)
	if !ok || id&^math.MaxUint32 != k.ID || k.left <= 0 {
		return nil
	}
	s := k.known[id]
	if s == nil && data[0] == msgAsk { // whoever asks for some of it gets what is not used here
		s = k.own(now, id)
	}
	if s == nil {
		return nil
	}
	s.lastTake = now
	out := s.Receive(now, from, data)
	k.left -= len(out)
	return out
}

// Stats are those of now, over all keys that have a share of their own.
func (k *KeyedShares) Stats(now Micros) (f Stats) {
	for _, s := range k.known {
		g := s.Stats(now)
		f.Share += g.Share
		f.Used += g.Used
		f.InDoubt += g.InDoubt
		f.Stale = max(f.Stale, g.Stale)
	}
	return f
}

// HandOver leaves this process what is never lent, and returns what the next one has to know.
func (k *KeyedShares) HandOver(now Micros) map[uint64][]SavedLoan {
	out := map[uint64][]SavedLoan{}
	for id, s := range k.known {
		if lent := s.HandOver(now); len(lent) > 0 {
			out[id] = lent
		}
	}
	k.held = true // what has no share of its own is the next process's
	return out
}

// TakeOver goes on after another process of this member, with its keys.
func (k *KeyedShares) TakeOver(now Micros, from map[uint64][]SavedLoan) {
	k.held, k.usable = false, now
	for id, lent := range from {
		if id&^math.MaxUint32 == k.ID {
			if s := k.own(now, id); s != nil {
				s.TakeOver(now, lent)
			}
		}
	}
}

// Suspend leaves this process nothing until Inherit or Alone.
func (k *KeyedShares) Suspend(Micros) { k.held = true }

// OtherProcessEnded tells that the other process of this member is over.
func (k *KeyedShares) OtherProcessEnded(now Micros, unknown bool) {
	k.held = false
	if unknown {
		k.usable = now + span(k.period, 1+3*Drift)
	}
	for _, s := range k.known {
		s.OtherProcessEnded(now, unknown)
	}
}

// SetDisabled leaves this member nothing while others turn it down.
func (k *KeyedShares) SetDisabled(now Micros, on bool) {
	if k.void && !on {
		k.usable = max(k.usable, now+span(k.period, 1+3*Drift))
	}
	k.void = on
	for _, s := range k.known {
		s.SetDisabled(now, on)
	}
}

// Configure takes in another rate and burst, and another number of members.
func (k *KeyedShares) Configure(now Micros, rate, burst float64, members int) {
	k.Rate, k.Burst, k.members = rate, burst, members
	for _, s := range k.known {
		s.Configure(now, rate, burst, members)
	}
}

// SetEntitlement does nothing: all of a key's share is its member's own.
func (k *KeyedShares) SetEntitlement(Micros, Entitlement) {}
