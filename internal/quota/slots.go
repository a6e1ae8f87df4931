package quota

import (
	"math"
	"math/rand/v2"
)

// Slots is one member's share of a fleet-wide concurrency limit. It owns whole concurrency slots and lends
// them as a Share lends rates. A request admitted on a borrowed slot may end after the loan, but at most the
// limit's hold time later: the lender counts the slot as lent for that long (see loanLedger.lentTime).
type Slots struct {
	Limit // Rate is the number of requests in flight
	loanLedger
	members     int
	rosterIndex int // index in the roster: the first members own the remainder of the division; -1: unknown

	usableFrom          Micros
	disabled            bool
	keptByPredecessor   float64 // slots of the floor that the predecessor keeps
	keptBesideSuccessor float64 // slots of the floor kept beside the successor; -1: no successor
	available           [poolCount]float64
	inFlightOwn         [poolCount]int // requests in flight on own slots
	changesAt           Micros

	peak            int // maximum number of requests in flight in this period
	refusedInPeriod int // requests refused in this period
	demand          float64
	idlePeriods     int
	Granted         int64
	Refused         int64
}

// Slot identifies the slot that an admitted request holds until it ends.
type Slot struct {
	pool   pool
	loanID uint64 // 0: an own slot
}

// NewSlots returns the slots of a member that starts without state from a predecessor. hold is the longest
// duration of a request on a slot outside the floor.
func NewSlots(l Limit, members, rosterIndex int, period, hold Micros, seed uint64, now Micros) *Slots {
	s := &Slots{Limit: l,
		loanLedger: loanLedger{limitID: l.ID, period: period, hold: hold, rng: rand.NewPCG(seed, 10)},
		members:    members, rosterIndex: rosterIndex, keptBesideSuccessor: -1}
	s.usableFrom = now + s.startWait()
	s.recompute(now)
	return s
}

// share is the number of slots this member owns.
func (s *Slots) share() float64 {
	n := math.Floor(s.Rate / float64(s.members))
	if s.rosterIndex >= 0 && float64(s.rosterIndex) < s.Rate-n*float64(s.members) {
		n++
	}
	return n
}

// kept is the number of slots that are never lent.
func (s *Slots) kept() float64 { return min(s.share(), max(1, math.Floor(KeptFraction*s.share()))) }

func (s *Slots) owned(p pool, now Micros) float64 {
	own := math.Ceil(s.share() * s.floorFraction())
	switch {
	case p == floor && s.keptBesideSuccessor >= 0:
		return min(own, s.keptBesideSuccessor)
	case p == floor:
		return max(0, own-s.keptByPredecessor)
	case s.keptBesideSuccessor >= 0:
		return 0
	}
	return (s.share() - own) * float64(s.leaseWindows.count(p, now))
}

// recompute updates how many requests may be in flight from now on.
func (s *Slots) recompute(now Micros) {
	s.expire(now)
	s.changesAt = min(s.nextExpiry(), s.nextChange(now))
	for p := range poolCount {
		amount := s.owned(p, now)
		if now < s.usableFrom {
			if s.changesAt = min(s.changesAt, s.usableFrom); p == floor {
				amount = min(amount, s.kept())
			} else {
				amount = 0
			}
		}
		if s.available[p] = max(0, amount-s.lentFrom(p)); s.disabled {
			s.available[p] = 0
		}
	}
}

func (s *Slots) refresh(now Micros) {
	for now >= s.changesAt {
		s.recompute(s.changesAt)
	}
}

// inFlight returns the number of requests in flight.
func (s *Slots) inFlight() (n int) {
	for p := range poolCount {
		n += s.inFlightOwn[p]
	}
	for i := range s.borrowed {
		n += s.borrowed[i].inFlight
	}
	return n
}

// total returns the number of requests that may be in flight here now.
func (s *Slots) total(now Micros) (sum float64) {
	for p := range poolCount {
		sum += s.available[p]
	}
	for i := range s.borrowed {
		if s.borrowed[i].until > now {
			sum += s.borrowed[i].amount
		}
	}
	return sum
}

// Take reports whether one more request that ends by the given time may be admitted now, and returns the slot
// that it holds until Release.
func (s *Slots) Take(now, ends Micros) (slot Slot, ok bool, retryAfter Micros) {
	s.refresh(now)
	s.peak = max(s.peak, s.inFlight()+1)
	for p := range poolCount {
		// Slots outside the floor are only for requests that end within the hold time.
		if float64(s.inFlightOwn[p]) < s.available[p] && (p == floor || ends-now <= s.hold) {
			s.inFlightOwn[p]++
			s.Granted++
			return Slot{pool: p}, true, 0
		}
	}
	for i := range s.borrowed {
		if l := &s.borrowed[i]; float64(l.inFlight) < l.amount && now < l.until && ends-now <= s.hold &&
			!s.disabled {
			l.inFlight++
			s.Granted++
			return Slot{loanID: l.id}, true, 0
		}
	}
	s.Refused++
	s.refusedInPeriod++
	return Slot{}, false, s.period
}

// Release frees the slot of a request that has ended.
func (s *Slots) Release(now Micros, slot Slot) {
	s.refresh(now)
	if slot.loanID == 0 {
		s.inFlightOwn[slot.pool] = max(0, s.inFlightOwn[slot.pool]-1)
		return
	}
	for i := range s.borrowed {
		if l := &s.borrowed[i]; l.id == slot.loanID && l.inFlight > 0 {
			l.inFlight--
			return
		}
	}
}

// free returns how many slots of a pool may be lent: those that hold no request and are not reserved.
func (s *Slots) free(p pool) float64 {
	n := s.available[p] - float64(s.inFlightOwn[p])
	if p == floor {
		n -= s.kept()
	}
	return n
}

// Tick must be called once per period with the other members that are alive.
func (s *Slots) Tick(now Micros, peers []string) (out []Message) {
	s.recompute(now)
	asked := float64(s.peak + s.refusedInPeriod)
	s.demand = max(s.demand+(asked-s.demand)/demandDecay, min(asked, s.Rate))
	s.peak, s.refusedInPeriod = s.inFlight(), 0
	s.dropUnanswered(now)
	if s.disabled {
		return nil
	}
	want, have := math.Ceil(min(s.Rate, s.demand*headroom)), s.total(now)
	if s.idlePeriods++; len(s.borrowed) == 0 || have-s.borrowed[0].amount < want {
		s.idlePeriods = 0
	}
	for s.idlePeriods >= idleBeforeReturn && len(s.borrowed) > 0 && s.borrowed[0].inFlight == 0 &&
		have-s.borrowed[0].amount >= want {
		have -= s.borrowed[0].amount
		out = append(out, Message{To: s.borrowed[0].peer, Data: s.encode(msgReturn, &s.borrowed[0], 0)})
		s.borrowed = s.borrowed[1:]
	}
	if s.idlePeriods == 0 {
		out = append(out, s.renew(now)...)
	}
	s.recompute(now)
	if missing := want - have; missing >= 1 {
		out = append(out, s.borrow(now, missing, s.share(), peers)...)
	}
	return out
}

// Receive handles a message from another member.
func (s *Slots) Receive(now Micros, from string, data []byte) (out []Message) {
	kind, l, amount, ok := s.decode(from, data)
	if !ok {
		return nil
	}
	s.recompute(now)
	switch kind {
	case msgRequest:
		out = s.grant(now, l, func() (float64, pool) { return s.lendable(now, math.Floor(amount)) },
			func(p pool) bool { return !s.needed() && s.owned(p, now) >= s.lentFrom(p) })
	case msgGrant:
		s.acceptGrant(now, l, math.Floor(amount))
	case msgReturn:
		s.endLoan(l)
	}
	s.recompute(now)
	return out
}

// lendable returns how many of the wanted slots this member can spare, all from the pool that has most free.
func (s *Slots) lendable(now Micros, wanted float64) (float64, pool) {
	if s.disabled || now < s.usableFrom || s.keptBesideSuccessor >= 0 {
		return 0, floor
	}
	own, best := 0.0, leased
	for p := range poolCount {
		own += s.available[p]
		if s.free(p) > s.free(best) {
			best = p
		}
	}
	reserved := max(s.kept(), min(s.share(), math.Ceil(s.demand*headroom)))
	return math.Floor(min(wanted, max(0, own-reserved), max(0, s.free(best)))), best
}

// needed reports whether this member needs its own slots back.
func (s *Slots) needed() bool {
	own := 0.0
	for p := range poolCount {
		own += s.available[p]
	}
	return math.Ceil(s.demand*headroom) > own
}

// Stats returns the current figures: how many requests may be in flight here, and how many are.
func (s *Slots) Stats(now Micros) Stats {
	s.recompute(now)
	own := 0.0
	for p := range poolCount {
		own += s.available[p]
	}
	return Stats{Share: s.total(now), Used: float64(s.inFlight()), InDoubt: max(0, s.share()-own),
		Stale: s.stalest(now)}
}

// SetEntitlement sets the times in which this member holds the leased part of its own share and those of
// other members.
func (s *Slots) SetEntitlement(now Micros, e Entitlement) {
	s.refresh(now)
	s.setWindows(e.windows(s.hold))
	s.recompute(now)
}

// HandOver leaves this process the own slots in use and one more, and returns what the successor has to know.
// The first entry, which names no member, is the number of slots that stay here.
func (s *Slots) HandOver(now Micros) (lent []SavedLoan) {
	s.recompute(now)
	kept := 0.0
	for p := range poolCount {
		kept += float64(s.inFlightOwn[p])
	}
	own := math.Ceil(s.share() * s.floorFraction())
	if kept++; kept > own { // requests on the leased part end within the hold time
		kept = own
	}
	lent = append([]SavedLoan{{Amount: kept}}, s.saveLent(now)...)
	s.keptBesideSuccessor, s.lent, s.pending = kept, nil, nil
	s.setWindows(window{}, nil)
	s.recompute(now)
	return lent
}

// TakeOver continues with everything except what the predecessor keeps until OtherProcessEnded.
func (s *Slots) TakeOver(now Micros, lent []SavedLoan) {
	if len(lent) > 0 && lent[0].Peer == "" {
		s.keptByPredecessor, lent = lent[0].Amount, lent[1:]
	}
	s.restoreLent(now, lent)
	s.usableFrom, s.keptBesideSuccessor = now, -1
	s.recompute(now)
}

// Suspend leaves this process nothing until TakeOver or OtherProcessEnded: another process of this member
// has all slots.
func (s *Slots) Suspend(now Micros) {
	s.keptBesideSuccessor = 0
	s.recompute(now)
}

// OtherProcessEnded notes that the other process of this member has ended. If the loans of that process are
// unknown, this one waits as after a start.
func (s *Slots) OtherProcessEnded(now Micros, unknown bool) {
	s.keptByPredecessor, s.keptBesideSuccessor = 0, -1
	if unknown {
		s.usableFrom = now + s.startWait()
	}
	s.recompute(now)
}

// SetDisabled sets whether this member may use nothing, as is the case while other members reject it. When
// enabled again it waits as after a start.
func (s *Slots) SetDisabled(now Micros, on bool) {
	if on == s.disabled {
		return
	}
	if s.disabled = on; !on {
		s.usableFrom = max(s.usableFrom, now+s.startWait())
	}
	s.recompute(now)
}

// Configure sets the limit, the number of members and the index in the roster. Requests in flight continue.
func (s *Slots) Configure(now Micros, limit float64, members, rosterIndex int) {
	if limit == s.Rate && members == s.members && rosterIndex == s.rosterIndex {
		return
	}
	s.Rate, s.members, s.rosterIndex = limit, members, rosterIndex
	s.recompute(now)
}
