// Package quota divides limits among the members of a fleet so that together they are never over them: each
// owns a fixed share and lends what it does not need for a term. It does no input or output, reads no clock
// and starts no goroutine. docs/LIMITS.md has the design and the proof.
package quota

import "math/rand/v2"

// Micros is a time or a span in microseconds, of a clock that only goes forward.
type Micros = int64

// Rules of lending.
const (
	Term      = 10   // periods that a loan is for
	Drift     = 0.01 // by which clocks may run fast or slow
	Kept      = 0.1  // of a share: never lent
	renewAt   = 0.5  // of the term
	spare     = 1.2  // times the demand that a member keeps for itself, or asks for
	leastLoan = 0.02 // of a share
	leastAsks = 4    // members asked a period, at the least and the most,
	mostAsks  = 64
	asksFor   = 1.25 // and for each share that lacks
	demandFor = 2.0  // periods over which demand is smoothed as it falls
	mostLoans = 2048 // out, or in, at a time
	giveBack  = 2    // periods without need after which a loan goes back
)

// Limit is a limit over the whole fleet.
type Limit struct {
	Name  string
	ID    uint64  // the same at all members
	Rate  float64 // a second
	Burst float64 // and at once
	// Floor is the part of each member's share that is its own whatever happens; of the rest a majority says
	// whose it is. 0 counts as 1: all is its own.
	Floor float64
}

func (l *Limit) floorPart() float64 {
	if l.Floor <= 0 || l.Floor > 1 {
		return 1
	}
	return l.Floor
}

// Message is a message to another member.
type Message struct {
	To   string
	Data []byte
}

// Share is one member's part in one limit by rate.
type Share struct {
	Limit
	book
	members int

	usable Micros  // from then on the whole share is
	void   bool    // nothing is
	part   float64 // of the share that is this process's: an upgrade leaves a part to another one

	rate   float64        // in use now
	own    float64        // of it, what is not borrowed
	avail  [parts]float64 // and of that, what is of which part
	change Micros         // when that changes by itself next
	tokens float64
	at     Micros

	count    float64 // asked for in this period
	demand   float64 // a second, smoothed
	idle     int     // periods in which no loan was needed
	usedAt   Micros
	lastTake Micros // when something was last asked for here, or by another member
	used     int64
	usedWas  float64 // a second, of the last whole second
	Granted  int64
	Refused  int64
	Forget   bool // planted, for checkers: a start does not wait for its predecessor's loans
}

// NewShare returns the share of a member that starts from nothing.
func NewShare(l Limit, members int, period Micros, seed uint64, now Micros) *Share {
	s := &Share{Limit: l, book: book{id: l.ID, period: period, rng: rand.NewPCG(seed, 9)}, members: members,
		part: 1, at: now, usedAt: now}
	s.usable = now + s.waitFor()
	s.settle(now)
	return s
}

// span is so many terms.
func span(period Micros, terms float64) Micros { return Micros(terms * Term * float64(period)) }

// share is what this member owns. A clock that runs fast lets more in by as much.
func (s *Share) share() float64 { return s.Rate / (1 + Drift) / float64(s.members) }

// amount is what this member has of a part, lent or not.
func (s *Share) amount(p part, now Micros) float64 {
	f := s.floorPart()
	if p != floor {
		f = 1 - f
	}
	return s.share() * s.part * f * float64(s.entitled.count(p, now))
}

// settle finds the rate that is in use from now on.
func (s *Share) settle(now Micros) {
	s.expire(now)
	s.change = min(s.nextEnd(), s.next(now))
	s.own = 0
	waits := now < s.usable && !s.Forget
	for p := range parts {
		have := s.amount(p, now)
		if waits && p == floor {
			have = min(have, s.share()*Kept)
		} else if waits {
			have = 0
		}
		s.avail[p] = max(0, have-s.out(p))
		s.own += s.avail[p]
	}
	if waits {
		s.change = min(s.change, s.usable)
	}
	if s.void {
		s.own, s.avail, s.in = 0, [parts]float64{}, nil
	}
	s.rate = s.own
	for i := range s.in {
		s.rate += s.in[i].rate
	}
	s.tokens = min(s.tokens, s.cap())
}

// cap is how much the bucket holds.
func (s *Share) cap() float64 { return s.Burst * s.rate / s.Rate }

// refill lets the bucket run up to now, each stretch by the rate that held then.
func (s *Share) refill(now Micros) {
	for now >= s.change {
		at := max(s.at, s.change)
		s.run(at)
		s.settle(at)
	}
	s.run(now)
}

// run fills the bucket by the rate in use.
func (s *Share) run(now Micros) {
	if now > s.at {
		s.tokens = min(s.cap(), s.tokens+s.rate*float64(now-s.at)/1e6)
		s.at = now
	}
}

// Take asks whether one more may be let in now. If not, it returns after how long it may be.
func (s *Share) Take(now Micros) (ok bool, after Micros) {
	s.refill(now)
	s.lastTake = now
	s.count++
	if s.tokens >= 1 {
		s.tokens--
		s.used++
		s.Granted++
		return true, 0
	}
	s.Refused++
	if s.rate <= 0 || s.cap() < 1 {
		return false, span(s.period, 0.5)
	}
	return false, Micros((1 - s.tokens) / s.rate * 1e6)
}

// Tick is to be called once a period, with the other members that are alive.
func (s *Share) Tick(now Micros, peers []string) (out []Message) {
	s.refill(now)
	if took := now - s.usedAt; took >= 1_000_000 {
		s.usedWas, s.used, s.usedAt = float64(s.used)*1e6/float64(took), 0, now
	}
	asked := s.count * 1e6 / float64(s.period)
	s.demand = max(s.demand+(asked-s.demand)/demandFor, min(asked, s.Rate)*0.9) // it rises at once
	s.count = 0
	s.forgetAsked(now)
	want := min(s.Rate, s.demand*spare)
	lacks := want - s.rate
	if s.void {
		return nil
	}
	if s.idle++; len(s.in) == 0 || s.rate-s.in[0].rate < want {
		s.idle = 0
	}
	if s.idle >= giveBack {
		out = append(out, s.giveBack(now, want)...)
	}
	if s.idle == 0 {
		out = append(out, s.renew(now)...)
	}
	if lacks <= leastLoan*s.share() {
		return out
	}
	return append(out, s.borrow(now, lacks, s.share(), peers)...)
}

// SetEntitlement takes in from and until when this member has the rest of its own share, and those of others.
func (s *Share) SetEntitlement(now Micros, e Entitlement) {
	s.refill(now)
	s.entitle(e.windows(s.hold))
	s.settle(now)
}

// giveBack gives back the loans without which there is enough. They are not used any more before anybody
// hears of it.
func (s *Share) giveBack(now Micros, want float64) (out []Message) {
	for len(s.in) > 0 && s.rate-s.in[0].rate >= want {
		out = append(out, Message{To: s.in[0].with, Data: s.message(msgBack, &s.in[0], 0)})
		s.in = s.in[1:]
		s.settle(now)
	}
	return out
}

// Receive takes in a message of another member.
func (s *Share) Receive(now Micros, from string, data []byte) (out []Message) {
	kind, l, rate, ok := s.parse(from, data)
	if !ok {
		return nil
	}
	s.refill(now)
	s.settle(now)
	switch kind {
	case msgAsk:
		out = s.grant(now, l, func() (float64, part) {
			most, p := s.lendable(now)
			if rate = min(rate, most); rate < leastLoan*s.share() {
				return 0, p
			}
			return rate, p
		}, func(p part) bool { return !s.needed() && s.amount(p, now) >= s.out(p) })
	case msgGrant:
		s.granted(now, l, rate)
	case msgBack:
		s.back(l)
	}
	s.settle(now)
	return out
}

// lendable is what a member can spare, of the part of which that is most.
func (s *Share) lendable(now Micros) (float64, part) {
	if s.void || now < s.usable && !s.Forget {
		return 0, floor
	}
	keep := max(Kept*s.share(), min(s.share(), s.demand*spare))
	most, least := rest, [parts]float64{floor: Kept * s.share()}
	for p := range parts {
		if s.avail[p]-least[p] > s.avail[most]-least[most] {
			most = p
		}
	}
	return max(0, min(s.own-keep, s.avail[most]-least[most])), most
}

// needed tells that this member wants its share back.
func (s *Share) needed() bool { return s.demand*spare > s.own }

// Stats are what operators see of a share. Rates are a second.
type Stats struct {
	Share   float64 // in use here
	Used    float64 // let in here in the last second
	InDoubt float64 // of the own share: lent, or may have been by a predecessor
	Stale   Micros  // how long ago the oldest loan here was last granted
}

// Stats are those of now.
func (s *Share) Stats(now Micros) Stats {
	s.refill(now)
	f := Stats{Share: s.rate, Used: s.usedWas, InDoubt: max(0, s.share()-s.own)}
	f.Stale = s.stalest(now)
	return f
}

// HandOver leaves this process the part that is never lent, and returns what the next one has to know. What was
// borrowed is given up.
func (s *Share) HandOver(now Micros) (lent []SavedLoan) {
	s.refill(now)
	lent = s.save(now)
	s.entitle(window{}, nil)
	s.in, s.lent, s.pending, s.part = nil, nil, nil, Kept
	s.settle(now)
	return lent
}

// TakeOver goes on with all but the part that the process before this one keeps; until Alone.
func (s *Share) TakeOver(now Micros, lent []SavedLoan) {
	s.refill(now)
	s.inherit(now, lent)
	s.usable, s.part = now, 1-Kept
	s.settle(now)
}

// Configure takes in another rate and burst, and another number of members. What is lent stays lent: where
// the new share is less than that, it is over by as much until the loans end, a term at most.
func (s *Share) Configure(now Micros, rate, burst float64, members int) {
	if rate == s.Rate && burst == s.Burst && members == s.members {
		return
	}
	s.refill(now)
	s.Rate, s.Burst, s.members = rate, burst, members
	s.settle(now)
}

// SetDisabled leaves this member nothing while others turn it down: they do not count on it. Afterwards it waits as
// after a start.
func (s *Share) SetDisabled(now Micros, on bool) {
	if on == s.void {
		return
	}
	s.refill(now)
	if s.void = on; !on {
		s.usable = max(s.usable, now+s.waitFor())
	}
	s.settle(now)
}

// Suspend leaves this process nothing until Inherit or Alone: another one of this member has all.
func (s *Share) Suspend(now Micros) {
	s.refill(now)
	s.part = 0
	s.settle(now)
}

// Refund gives back what Take has let in and nobody used.
func (s *Share) Refund() {
	s.tokens = min(s.cap(), s.tokens+1)
	s.used--
	s.Granted--
}

// OtherProcessEnded tells that the other process of this member is over. One that goes on in its own place does not know
// what that one has lent, and waits as after a start.
func (s *Share) OtherProcessEnded(now Micros, unknown bool) {
	s.refill(now)
	s.part = 1
	if unknown {
		s.usable = now + s.waitFor()
	}
	s.settle(now)
}
