// Package quota divides fleet-wide limits among the members of a fleet so that together they never exceed
// them. Each member owns a fixed share and lends what it does not need to other members for a fixed period.
// The package does no I/O, reads no clock and starts no goroutine. The design and the proof are in
// docs/LIMITS.md.
package quota

import "math/rand/v2"

// Micros is a point in time or a duration in microseconds on a monotonic clock.
type Micros = int64

// Parameters of lending.
const (
	Term      = 10   // duration of a loan or lease, in periods
	Drift     = 0.01 // maximum clock rate error, fast or slow
	Kept      = 0.1  // fraction of a share that is never lent
	renewAt   = 0.5  // remaining fraction of the term below which a loan is renewed
	spare     = 1.2  // factor on the demand that a member keeps for itself or asks for
	leastLoan = 0.02 // smallest loan, as a fraction of a share
	leastAsks = 4    // minimum and maximum number of members asked per period
	mostAsks  = 64
	asksFor   = 1.25 // members asked per missing share
	demandFor = 2.0  // periods over which falling demand is smoothed
	mostLoans = 2048 // maximum number of loans granted, and of loans borrowed, at a time
	giveBack  = 2    // periods without need after which a loan is returned
)

// Limit is a limit for the whole fleet.
type Limit struct {
	Name  string
	ID    uint64  // identical at all members
	Rate  float64 // requests per second
	Burst float64 // bucket size, in requests
	// Floor is the fraction of each member's share that always belongs to that member. The rest is leased by
	// a majority vote. 0 means 1: the whole share belongs to the member.
	Floor float64
}

func (l *Limit) floorPart() float64 {
	if l.Floor <= 0 || l.Floor > 1 {
		return 1
	}
	return l.Floor
}

// Message is a message to another member.
type Send struct {
	To   string
	Data []byte
}

// Share is one member's share of a rate limit, implemented as a token bucket.
type Share struct {
	Limit
	book
	members int

	usable Micros  // time from which the whole share may be used
	void   bool    // nothing may be used
	part   float64 // fraction of the share for this process; during an upgrade another process has the rest

	rate   float64        // rate of the bucket now
	own    float64        // the part of rate that is not borrowed
	avail  [parts]float64 // own by pool
	change Micros         // time of the next change of these without a message
	tokens float64
	at     Micros

	count    float64 // requests in this period
	demand   float64 // requests per second, smoothed
	idle     int     // consecutive periods in which no loan was needed
	usedAt   Micros  // start of the interval that used counts
	lastTake Micros  // time of the last request here or message of another member
	used     int64
	usedWas  float64 // admitted requests per second in the last complete interval
	Granted  int64
	Refused  int64
	Forget   bool // injected fault for tests: a new process does not wait for its predecessor's loans to end
}

// NewShare returns the share of a member that starts without state from a predecessor.
func NewShare(l Limit, members int, period Micros, seed uint64, now Micros) *Share {
	s := &Share{Limit: l, book: book{id: l.ID, period: period, rng: rand.NewPCG(seed, 9)}, members: members,
		part: 1, at: now, usedAt: now}
	s.usable = now + s.waitFor()
	s.settle(now)
	return s
}

// terms returns the duration of n terms.
func span(period Micros, terms float64) Micros { return Micros(terms * Term * float64(period)) }

// share is the rate this member owns. It is reduced by Drift, as a fast clock fills the bucket that much
// faster.
func (s *Share) share() float64 { return s.Rate / (1 + Drift) / float64(s.members) }

// owned is the rate this member has in a pool, including what is lent.
func (s *Share) amount(p part, now Micros) float64 {
	f := s.floorPart()
	if p != floor {
		f = 1 - f
	}
	return s.share() * s.part * f * float64(s.entitled.count(p, now))
}

// recompute updates the rate that applies from now on.
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

// capacity is the size of the bucket.
func (s *Share) cap() float64 { return s.Burst * s.rate / s.Rate }

// refill adds tokens up to now, using for each interval the rate that applied in it.
func (s *Share) refill(now Micros) {
	for now >= s.change {
		at := max(s.at, s.change)
		s.run(at)
		s.settle(at)
	}
	s.run(now)
}

// fill adds tokens up to now at the current rate.
func (s *Share) run(now Micros) {
	if now > s.at {
		s.tokens = min(s.cap(), s.tokens+s.rate*float64(now-s.at)/1e6)
		s.at = now
	}
}

// Take reports whether one more request may be admitted now, and if not, when to retry.
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

// Tick must be called once per period with the other members that are alive.
func (s *Share) Tick(now Micros, peers []string) (out []Send) {
	s.refill(now)
	if took := now - s.usedAt; took >= 1_000_000 {
		s.usedWas, s.used, s.usedAt = float64(s.used)*1e6/float64(took), 0, now
	}
	asked := s.count * 1e6 / float64(s.period)
	s.demand = max(s.demand+(asked-s.demand)/demandFor, min(asked, s.Rate)*0.9) // a rise counts immediately
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

// SetEntitlement sets the times in which this member holds the leased part of its own share and those of
// other members.
func (s *Share) Entitle(now Micros, e Entitlement) {
	s.refill(now)
	s.entitle(e.windows(s.hold))
	s.settle(now)
}

// returnLoans returns the loans that are not needed to cover want. It stops using a loan before the lender
// is told.
func (s *Share) giveBack(now Micros, want float64) (out []Send) {
	for len(s.in) > 0 && s.rate-s.in[0].rate >= want {
		out = append(out, Send{To: s.in[0].with, Data: s.message(msgBack, &s.in[0], 0)})
		s.in = s.in[1:]
		s.settle(now)
	}
	return out
}

// Receive handles a message from another member.
func (s *Share) Receive(now Micros, from string, data []byte) (out []Send) {
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

// lendable returns how much this member can spare, all from the pool that has most to spare.
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

// needed reports whether this member needs its own share back.
func (s *Share) needed() bool { return s.demand*spare > s.own }

// Stats are the figures that operators see of a share. Rates are per second.
type Figures struct {
	Share   float64 // amount this member may use
	Used    float64 // admitted here in the last second
	InDoubt float64 // part of the own share that is lent, or that a predecessor may have lent
	Stale   Micros  // time since the oldest borrowed loan was last granted or renewed
}

// Stats returns the current figures.
func (s *Share) Figures(now Micros) Figures {
	s.refill(now)
	f := Figures{Share: s.rate, Used: s.usedWas, InDoubt: max(0, s.share()-s.own)}
	f.Stale = s.stalest(now)
	return f
}

// HandOver leaves this process only the fraction that is never lent, and returns the loans that the successor
// has to know. Borrowed loans are dropped.
func (s *Share) Split(now Micros) (lent []Lend) {
	s.refill(now)
	lent = s.save(now)
	s.entitle(window{}, nil)
	s.in, s.lent, s.pending, s.part = nil, nil, nil, Kept
	s.settle(now)
	return lent
}

// TakeOver continues with everything except the fraction that the predecessor keeps until OtherProcessEnded.
func (s *Share) Inherit(now Micros, lent []Lend) {
	s.refill(now)
	s.inherit(now, lent)
	s.usable, s.part = now, 1-Kept
	s.settle(now)
}

// Configure sets the rate, the burst and the number of members. Existing loans continue: if they exceed the
// new share, the limit is exceeded by the difference until they end, for one term at most.
func (s *Share) Configure(now Micros, rate, burst float64, members int) {
	if rate == s.Rate && burst == s.Burst && members == s.members {
		return
	}
	s.refill(now)
	s.Rate, s.Burst, s.members = rate, burst, members
	s.settle(now)
}

// SetDisabled sets whether this member may use nothing, as is the case while other members reject it and do
// not account for what it uses. When enabled again it waits as after a start.
func (s *Share) Void(now Micros, on bool) {
	if on == s.void {
		return
	}
	s.refill(now)
	if s.void = on; !on {
		s.usable = max(s.usable, now+s.waitFor())
	}
	s.settle(now)
}

// Suspend leaves this process nothing until TakeOver or OtherProcessEnded: another process of this member
// has the whole share.
func (s *Share) Hold(now Micros) {
	s.refill(now)
	s.part = 0
	s.settle(now)
}

// Refund returns the token of a request that Take admitted and that was not used.
func (s *Share) Return() {
	s.tokens = min(s.cap(), s.tokens+1)
	s.used--
	s.Granted--
}

// OtherProcessEnded notes that the other process of this member has ended. If the loans of that process are
// unknown, this one waits as after a start.
func (s *Share) Alone(now Micros, unknown bool) {
	s.refill(now)
	s.part = 1
	if unknown {
		s.usable = now + s.waitFor()
	}
	s.settle(now)
}
