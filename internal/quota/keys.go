package quota

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Bounds of a limit that applies to each key separately.
const (
	MaxKeys        = 10_000 // keys with their own share at a member; all others are counted in the sketch
	sketchRows     = 4
	sketchColumns  = 16384 // cells per row
	keyIdlePeriods = 10    // periods without requests after which a key loses its own share
	maxKeyMessages = 64    // maximum number of messages per period for all keys together
	keysPerTick    = 2048  // maximum number of keys whose share is updated per period
)

// KeyID returns the ID of a key of a limit, identical at all members. Two keys with the same ID (the
// probability of any collision among 10,000 keys is about 1%) are limited together: too strictly, but the
// limit is not exceeded.
func KeyID(limit uint64, key string) uint64 {
	return KeyIDFromNumber(limit, xxhash.Sum64String(key))
}

// KeyIDFromNumber is KeyID for a key that is a number.
func KeyIDFromNumber(limit, key uint64) uint64 {
	return limit&^math.MaxUint32 | max(1, key&math.MaxUint32)
}

// LimitIDOf returns the limit that a key ID belongs to.
func LimitIDOf(id uint64) uint64 { return id &^ math.MaxUint32 }

// LimitID returns the ID of a limit by its name; the low 32 bits are left for keys.
func LimitID(name string) uint64 { return xxhash.Sum64String(name) &^ math.MaxUint32 }

// sketchCell is a leaky bucket that several keys share: its level at a time.
type sketchCell struct {
	level float32
	at    float32 // seconds since the sketch was created
}

// sketch limits the rate of each of very many keys in constant memory. It is a count-min sketch (Cormode
// and Muthukrishnan, J. Algorithms 55(1), 2005, §3) with conservative update (Estan and Varghese, SIGCOMM
// 2002, §3.2) whose cells are leaky buckets. No cell of a key is ever less full than a separate bucket for
// that key would be, so no key gets more than its rate; a key may get less if all of its cells are filled
// by others.
type sketch struct {
	cells     [sketchRows][sketchColumns]sketchCell
	createdAt Micros
}

// take admits one request if the least full of the key's cells has room.
func (s *sketch) take(now Micros, key uint64, rate, maxLevel float64) bool {
	seconds := float32(float64(now-s.createdAt) / 1e6)
	var keyCells [sketchRows]*sketchCell
	least := float32(math.MaxFloat32)
	for r := range keyCells {
		key *= 0x9E3779B97F4A7C15
		c := &s.cells[r][key>>32%sketchColumns]
		c.level = max(0, c.level-(seconds-c.at)*float32(rate))
		c.at = seconds
		keyCells[r] = c
		least = min(least, c.level)
	}
	if float64(least)+1 > maxLevel {
		return false
	}
	for _, c := range keyCells {
		c.level = max(c.level, least+1)
	}
	return true
}

// add carries the level of a key that had its own bucket over into the sketch.
func (s *sketch) add(now Micros, key uint64, level float64) {
	seconds := float32(float64(now-s.createdAt) / 1e6)
	for r := range sketchRows {
		key *= 0x9E3779B97F4A7C15
		c := &s.cells[r][key>>32%sketchColumns]
		c.level, c.at = max(c.level, float32(level)), seconds
	}
}

// KeyedShares is one member's share of a limit that applies to each key separately, for example to each
// tenant. Keys that demand more than the member's share get their own Share, which borrows and lends; all
// others are counted in a sketch.
type KeyedShares struct {
	Limit
	members      int
	period       Micros
	seed         uint64
	usableFrom   Micros
	suspended    bool
	disabled     bool
	sketch       *sketch
	shares       map[uint64]*Share // by KeyID
	order        []uint64
	nextKey      int
	messagesLeft int // messages that may still be sent in this period
	Granted      int64
	Refused      int64
	Overflows    int64 // times that a key could not get its own share
}

// NewKeyedShares returns the shares of a member that starts without state from a predecessor.
func NewKeyedShares(l Limit, members int, period Micros, seed uint64, now Micros) *KeyedShares {
	l.Floor = 1
	return &KeyedShares{Limit: l, members: members, period: period, seed: seed, sketch: &sketch{createdAt: now},
		shares: map[uint64]*Share{}, usableFrom: now + terms(period, 1+3*MaxDrift)}
}

// Len returns the number of keys that have their own share.
func (k *KeyedShares) Len() int { return len(k.shares) }

// Take reports whether one more request of a key may be admitted now, and if not, when to retry.
func (k *KeyedShares) Take(now Micros, id uint64) (ok bool, retryAfter Micros) {
	if s := k.shares[id]; s != nil {
		if ok, retryAfter = s.Take(now); ok {
			k.Granted++
		} else {
			k.Refused++
		}
		return ok, retryAfter
	}
	fraction := 1.0
	if now < k.usableFrom {
		fraction = KeptFraction
	}
	rate := k.Rate / (1 + MaxDrift) / float64(k.members) * fraction
	if !k.disabled && !k.suspended && k.sketch.take(now, id, rate, k.Burst/float64(k.members)*fraction) {
		k.Granted++
		return true, 0
	}
	k.Refused++
	if s := k.ensureShare(now, id); s != nil {
		s.requests++
	}
	return false, k.period
}

// Refund returns the token of a request that Take admitted and that was not used.
func (k *KeyedShares) Refund(id uint64) {
	if s := k.shares[id]; s != nil {
		s.Refund()
	}
	k.Granted--
}

// ensureShare returns the key's own share and creates it if there is room. A new bucket is empty, as the
// sketch may already have admitted as much as it holds.
func (k *KeyedShares) ensureShare(now Micros, id uint64) *Share {
	if s := k.shares[id]; s != nil {
		return s
	}
	if len(k.shares) >= MaxKeys || k.disabled || k.suspended {
		k.Overflows++
		return nil
	}
	l := k.Limit
	l.ID = id
	k.seed++
	s := NewShare(l, k.members, k.period, k.seed, now)
	s.usableFrom = min(s.usableFrom, max(now, k.usableFrom))
	s.recompute(now)
	k.shares[id] = s
	k.order = append(k.order, id)
	return s
}

// Tick must be called once per period with the other members that are alive.
func (k *KeyedShares) Tick(now Micros, peers []string) (out []Message) {
	k.messagesLeft = maxKeyMessages
	for range min(keysPerTick, len(k.order)) {
		k.nextKey++
		i := k.nextKey % len(k.order)
		id := k.order[i]
		s := k.shares[id]
		messages := s.Tick(now, peers)
		out = append(out, messages[:min(len(messages), k.messagesLeft)]...)
		k.messagesLeft -= min(len(messages), k.messagesLeft)
		if idle := s.demand < minLoan*s.share(); idle && now-s.lastAsked > keyIdlePeriods*k.period &&
			len(s.lent)+len(s.borrowed)+len(s.pending) == 0 {
			k.sketch.add(now, id, max(0, s.capacity()-s.tokens))
			delete(k.shares, id)
			k.order[i] = k.order[len(k.order)-1]
			if k.order = k.order[:len(k.order)-1]; len(k.order) == 0 {
				break
			}
		}
	}
	return out
}

// Receive handles a message from another member.
func (k *KeyedShares) Receive(now Micros, from string, data []byte) []Message {
	id, ok := MessageLimitID(data)
	if !ok || id&^math.MaxUint32 != k.ID || k.messagesLeft <= 0 {
		return nil
	}
	s := k.shares[id]
	if s == nil && data[0] == msgRequest { // create the share, so that the unused amount can be lent
		s = k.ensureShare(now, id)
	}
	if s == nil {
		return nil
	}
	s.lastAsked = now
	out := s.Receive(now, from, data)
	k.messagesLeft -= len(out)
	return out
}

// Stats returns the current figures, summed over all keys that have their own share.
func (k *KeyedShares) Stats(now Micros) (f Stats) {
	for _, s := range k.shares {
		g := s.Stats(now)
		f.Share += g.Share
		f.Used += g.Used
		f.InDoubt += g.InDoubt
		f.Stale = max(f.Stale, g.Stale)
	}
	return f
}

// HandOver leaves this process only what is never lent, and returns the loans that the successor has to know.
func (k *KeyedShares) HandOver(now Micros) map[uint64][]SavedLoan {
	out := map[uint64][]SavedLoan{}
	for id, s := range k.shares {
		if lent := s.HandOver(now); len(lent) > 0 {
			out[id] = lent
		}
	}
	k.suspended = true // keys without their own share belong to the successor
	return out
}

// TakeOver continues after another process of this member, with its loans by key.
func (k *KeyedShares) TakeOver(now Micros, lentByKey map[uint64][]SavedLoan) {
	k.suspended, k.usableFrom = false, now
	for id, lent := range lentByKey {
		if id&^math.MaxUint32 == k.ID {
			if s := k.ensureShare(now, id); s != nil {
				s.TakeOver(now, lent)
			}
		}
	}
}

// Suspend leaves this process nothing until TakeOver or OtherProcessEnded.
func (k *KeyedShares) Suspend(Micros) { k.suspended = true }

// OtherProcessEnded notes that the other process of this member has ended; see Share.OtherProcessEnded.
func (k *KeyedShares) OtherProcessEnded(now Micros, unknown bool) {
	k.suspended = false
	if unknown {
		k.usableFrom = now + terms(k.period, 1+3*MaxDrift)
	}
	for _, s := range k.shares {
		s.OtherProcessEnded(now, unknown)
	}
}

// SetDisabled sets whether this member may use nothing; see Share.SetDisabled.
func (k *KeyedShares) SetDisabled(now Micros, on bool) {
	if k.disabled && !on {
		k.usableFrom = max(k.usableFrom, now+terms(k.period, 1+3*MaxDrift))
	}
	k.disabled = on
	for _, s := range k.shares {
		s.SetDisabled(now, on)
	}
}

// Configure sets the rate, the burst and the number of members.
func (k *KeyedShares) Configure(now Micros, rate, burst float64, members int) {
	k.Rate, k.Burst, k.members = rate, burst, members
	for _, s := range k.shares {
		s.Configure(now, rate, burst, members)
	}
}

// SetEntitlement does nothing: the whole share of a key always belongs to its member.
func (k *KeyedShares) SetEntitlement(Micros, Entitlement) {}
