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
	TermPeriods      = 10   // duration of a loan or lease, in periods
	MaxDrift         = 0.01 // maximum clock rate error, fast or slow
	KeptFraction     = 0.1  // fraction of a share that is never lent
	renewBelow       = 0.5  // remaining fraction of the term below which a loan is renewed
	headroom         = 1.2  // factor on the demand that a member keeps for itself or asks for
	minLoan          = 0.02 // smallest loan, as a fraction of a share
	minAsks          = 4    // minimum and maximum number of members asked per period
	maxAsks          = 64
	asksPerShare     = 1.25 // members asked per missing share
	demandDecay      = 2.0  // periods over which falling demand is smoothed
	maxLoans         = 2048 // maximum number of loans granted, and of loans borrowed, at a time
	idleBeforeReturn = 2    // periods without need after which a loan is returned
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

func (l *Limit) floorFraction() float64 {
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

// Share is one member's share of a rate limit, implemented as a token bucket.
type Share struct {
	Limit
	loanLedger
	members int

	usableFrom Micros  // time from which the whole share may be used
	disabled   bool    // nothing may be used
	fraction   float64 // fraction of the share for this process; during an upgrade another process has the rest

	rate       float64            // rate of the bucket now
	ownRate    float64            // the part of rate that is not borrowed
	available  [poolCount]float64 // own by pool
	changesAt  Micros             // time of the next change of these without a message
	tokens     float64
	refilledAt Micros

	requests         float64 // requests in this period
	demand           float64 // requests per second, smoothed
	idlePeriods      int     // consecutive periods in which no loan was needed
	usedSince        Micros  // start of the interval that used counts
	lastAsked        Micros  // time of the last request here or message of another member
	used             int64
	usedRate         float64 // admitted requests per second in the last complete interval
	Granted          int64
	Refused          int64
	FaultNoStartWait bool // injected fault for tests: a new process does not wait for old loans to end
}

// NewShare returns the share of a member that starts without state from a predecessor.
func NewShare(l Limit, members int, period Micros, seed uint64, now Micros) *Share {
	s := &Share{Limit: l, loanLedger: loanLedger{limitID: l.ID, period: period, rng: rand.NewPCG(seed, 9)},
		members: members, fraction: 1, refilledAt: now, usedSince: now}
	s.usableFrom = now + s.startWait()
	s.recompute(now)
	return s
}

// terms returns the duration of n terms.
func terms(period Micros, n float64) Micros { return Micros(n * TermPeriods * float64(period)) }

// share is the rate this member owns. It is reduced by MaxDrift, as a fast clock fills the bucket that much
// faster.
func (s *Share) share() float64 { return s.Rate / (1 + MaxDrift) / float64(s.members) }

// owned is the rate this member has in a pool, including what is lent.
func (s *Share) owned(p pool, now Micros) float64 {
	fraction := s.floorFraction()
	if p != floor {
		fraction = 1 - fraction
	}
	return s.share() * s.fraction * fraction * float64(s.leaseWindows.count(p, now))
}

// recompute updates the rate that applies from now on.
func (s *Share) recompute(now Micros) {
	s.expire(now)
	s.changesAt = min(s.nextExpiry(), s.nextChange(now))
	s.ownRate = 0
	waiting := now < s.usableFrom && !s.FaultNoStartWait
	for p := range poolCount {
		amount := s.owned(p, now)
		if waiting && p == floor {
			amount = min(amount, s.share()*KeptFraction)
		} else if waiting {
			amount = 0
		}
		s.available[p] = max(0, amount-s.lentFrom(p))
		s.ownRate += s.available[p]
	}
	if waiting {
		s.changesAt = min(s.changesAt, s.usableFrom)
	}
	if s.disabled {
		s.ownRate, s.available, s.borrowed = 0, [poolCount]float64{}, nil
	}
	s.rate = s.ownRate
	for i := range s.borrowed {
		s.rate += s.borrowed[i].amount
	}
	s.tokens = min(s.tokens, s.capacity())
}

// capacity is the size of the bucket.
func (s *Share) capacity() float64 { return s.Burst * s.rate / s.Rate }

// refill adds tokens up to now, using for each interval the rate that applied in it.
func (s *Share) refill(now Micros) {
	for now >= s.changesAt {
		at := max(s.refilledAt, s.changesAt)
		s.fill(at)
		s.recompute(at)
	}
	s.fill(now)
}

// fill adds tokens up to now at the current rate.
func (s *Share) fill(now Micros) {
	if now > s.refilledAt {
		s.tokens = min(s.capacity(), s.tokens+s.rate*float64(now-s.refilledAt)/1e6)
		s.refilledAt = now
	}
}

// Take reports whether one more request may be admitted now, and if not, when to retry.
func (s *Share) Take(now Micros) (ok bool, retryAfter Micros) {
	s.refill(now)
	s.lastAsked = now
	s.requests++
	if s.tokens >= 1 {
		s.tokens--
		s.used++
		s.Granted++
		return true, 0
	}
	s.Refused++
	if s.rate <= 0 || s.capacity() < 1 {
		return false, terms(s.period, 0.5)
	}
	return false, Micros((1 - s.tokens) / s.rate * 1e6)
}

// Tick must be called once per period with the other members that are alive.
func (s *Share) Tick(now Micros, peers []string) (out []Message) {
	s.refill(now)
	if elapsed := now - s.usedSince; elapsed >= 1_000_000 {
		s.usedRate, s.used, s.usedSince = float64(s.used)*1e6/float64(elapsed), 0, now
	}
	asked := s.requests * 1e6 / float64(s.period)
	s.demand = max(s.demand+(asked-s.demand)/demandDecay, min(asked, s.Rate)*0.9) // a rise counts immediately
	s.requests = 0
	s.dropUnanswered(now)
	want := min(s.Rate, s.demand*headroom)
	missing := want - s.rate
	if s.disabled {
		return nil
	}
	if s.idlePeriods++; len(s.borrowed) == 0 || s.rate-s.borrowed[0].amount < want {
		s.idlePeriods = 0
	}
	if s.idlePeriods >= idleBeforeReturn {
		out = append(out, s.returnLoans(now, want)...)
	}
	if s.idlePeriods == 0 {
		out = append(out, s.renew(now)...)
	}
	if missing <= minLoan*s.share() {
		return out
	}
	return append(out, s.borrow(now, missing, s.share(), peers)...)
}

// SetEntitlement sets the times in which this member holds the leased part of its own share and those of
// other members.
func (s *Share) SetEntitlement(now Micros, e Entitlement) {
	s.refill(now)
	s.setWindows(e.windows(s.hold))
	s.recompute(now)
}

// returnLoans returns the loans that are not needed to cover wanted. It stops using a loan before the lender
// is told.
func (s *Share) returnLoans(now Micros, wanted float64) (out []Message) {
	for len(s.borrowed) > 0 && s.rate-s.borrowed[0].amount >= wanted {
		out = append(out, Message{To: s.borrowed[0].peer, Data: s.encode(msgReturn, &s.borrowed[0], 0)})
		s.borrowed = s.borrowed[1:]
		s.recompute(now)
	}
	return out
}

// Receive handles a message from another member.
func (s *Share) Receive(now Micros, from string, data []byte) (out []Message) {
	kind, l, rate, ok := s.decode(from, data)
	if !ok {
		return nil
	}
	s.refill(now)
	s.recompute(now)
	switch kind {
	case msgRequest:
		out = s.grant(now, l, func() (float64, pool) {
			spare, p := s.lendable(now)
			if rate = min(rate, spare); rate < minLoan*s.share() {
				return 0, p
			}
			return rate, p
		}, func(p pool) bool { return !s.needed() && s.owned(p, now) >= s.lentFrom(p) })
	case msgGrant:
		s.acceptGrant(now, l, rate)
	case msgReturn:
		s.endLoan(l)
	}
	s.recompute(now)
	return out
}

// lendable returns how much this member can spare, all from the pool that has most to spare.
func (s *Share) lendable(now Micros) (float64, pool) {
	if s.disabled || now < s.usableFrom && !s.FaultNoStartWait {
		return 0, floor
	}
	reserved := max(KeptFraction*s.share(), min(s.share(), s.demand*headroom))
	best, unlendable := leased, [poolCount]float64{floor: KeptFraction * s.share()}
	for p := range poolCount {
		if s.available[p]-unlendable[p] > s.available[best]-unlendable[best] {
			best = p
		}
	}
	return max(0, min(s.ownRate-reserved, s.available[best]-unlendable[best])), best
}

// needed reports whether this member needs its own share back.
func (s *Share) needed() bool { return s.demand*headroom > s.ownRate }

// Stats are the figures that operators see of a share. Rates are per second.
type Stats struct {
	Share   float64 // amount this member may use
	Used    float64 // admitted here in the last second
	InDoubt float64 // part of the own share that is lent, or that a predecessor may have lent
	Stale   Micros  // time since the oldest borrowed loan was last granted or renewed
}

// Stats returns the current figures.
func (s *Share) Stats(now Micros) Stats {
	s.refill(now)
	f := Stats{Share: s.rate, Used: s.usedRate, InDoubt: max(0, s.share()-s.ownRate)}
	f.Stale = s.stalest(now)
	return f
}

// HandOver leaves this process only the fraction that is never lent, and returns the loans that the successor
// has to know. Borrowed loans are dropped.
func (s *Share) HandOver(now Micros) (lent []SavedLoan) {
	s.refill(now)
	lent = s.saveLent(now)
	s.setWindows(window{}, nil)
	s.borrowed, s.lent, s.pending, s.fraction = nil, nil, nil, KeptFraction
	s.recompute(now)
	return lent
}

// TakeOver continues with everything except the fraction that the predecessor keeps until OtherProcessEnded.
func (s *Share) TakeOver(now Micros, lent []SavedLoan) {
	s.refill(now)
	s.restoreLent(now, lent)
	s.usableFrom, s.fraction = now, 1-KeptFraction
	s.recompute(now)
}

// Configure sets the rate, the burst and the number of members. Existing loans continue: if they exceed the
// new share, the limit is exceeded by the difference until they end, for one term at most.
func (s *Share) Configure(now Micros, rate, burst float64, members int) {
	if rate == s.Rate && burst == s.Burst && members == s.members {
		return
	}
	s.refill(now)
	s.Rate, s.Burst, s.members = rate, burst, members
	s.recompute(now)
}

// SetDisabled sets whether this member may use nothing, as is the case while other members reject it and do
// not account for what it uses. When enabled again it waits as after a start.
func (s *Share) SetDisabled(now Micros, on bool) {
	if on == s.disabled {
		return
	}
	s.refill(now)
	if s.disabled = on; !on {
		s.usableFrom = max(s.usableFrom, now+s.startWait())
	}
	s.recompute(now)
}

// Suspend leaves this process nothing until TakeOver or OtherProcessEnded: another process of this member
// has the whole share.
func (s *Share) Suspend(now Micros) {
	s.refill(now)
	s.fraction = 0
	s.recompute(now)
}

// Refund returns the token of a request that Take admitted and that was not used.
func (s *Share) Refund() {
	s.tokens = min(s.capacity(), s.tokens+1)
	s.used--
	s.Granted--
}

// OtherProcessEnded notes that the other process of this member has ended. If the loans of that process are
// unknown, this one waits as after a start.
func (s *Share) OtherProcessEnded(now Micros, unknown bool) {
	s.refill(now)
	s.fraction = 1
	if unknown {
		s.usableFrom = now + s.startWait()
	}
	s.recompute(now)
}
