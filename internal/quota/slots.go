package quota

import (
	"math"
	"math/rand/v2"
)

// Slots is one member's share of a fleet-wide concurrency limit. It owns whole concurrency slots and lends
// them as a Share lends rates. A request admitted on a borrowed slot may end after the loan, but at most the
// limit's hold time later: the lender counts the slot as lent for that long (see loanBook.lentTime).
type Slots struct {
	Limit // Rate is the number of requests in flight
	book
	members int
	place   int // index in the roster: the first members own the remainder of the division; -1: unknown

	usable  Micros
	void    bool
	reserve float64 // slots of the floor that the predecessor keeps
	only    float64 // slots of the floor that this process keeps beside its successor; -1: no successor
	avail   [parts]float64
	open    [parts]int // requests in flight on own slots
	change  Micros

	peak    int // maximum number of requests in flight in this period
	vain    int // requests refused in this period
	demand  float64
	idle    int
	Granted int64
	Refused int64
}

// Slot identifies the slot that an admitted request holds until it ends.
type Place struct {
	own  part
	loan uint64 // 0: an own slot
}

// NewSlots returns the slots of a member that starts without state from a predecessor. hold is the longest
// duration of a request on a slot outside the floor.
func NewSlots(l Limit, members, place int, period, hold Micros, seed uint64, now Micros) *Slots {
	s := &Slots{Limit: l, book: book{id: l.ID, period: period, hold: hold, rng: rand.NewPCG(seed, 10)},
		members: members, place: place, only: -1}
	s.usable = now + s.waitFor()
	s.settle(now)
	return s
}

// share is the number of slots this member owns.
func (s *Slots) share() float64 {
	n := math.Floor(s.Rate / float64(s.members))
	if s.place >= 0 && float64(s.place) < s.Rate-n*float64(s.members) {
		n++
	}
	return n
}

// kept is the number of slots that are never lent.
func (s *Slots) kept() float64 { return min(s.share(), max(1, math.Floor(Kept*s.share()))) }

func (s *Slots) amount(p part, now Micros) float64 {
	own := math.Ceil(s.share() * s.floorPart())
	switch {
	case p == floor && s.only >= 0:
		return min(own, s.only)
	case p == floor:
		return max(0, own-s.reserve)
	case s.only >= 0:
		return 0
	}
	return (s.share() - own) * float64(s.entitled.count(p, now))
}

// recompute updates how many requests may be in flight from now on.
func (s *Slots) settle(now Micros) {
	s.expire(now)
	s.change = min(s.nextEnd(), s.next(now))
	for p := range parts {
		have := s.amount(p, now)
		if now < s.usable {
			if s.change = min(s.change, s.usable); p == floor {
				have = min(have, s.kept())
			} else {
				have = 0
			}
		}
		if s.avail[p] = max(0, have-s.out(p)); s.void {
			s.avail[p] = 0
		}
	}
}

func (s *Slots) refresh(now Micros) {
	for now >= s.change {
		s.settle(s.change)
	}
}

// inFlight returns the number of requests in flight.
func (s *Slots) opened() (n int) {
	for p := range parts {
		n += s.open[p]
	}
	for i := range s.in {
		n += s.in[i].open
	}
	return n
}

// total returns the number of requests that may be in flight here now.
func (s *Slots) total(now Micros) (sum float64) {
	for p := range parts {
		sum += s.avail[p]
	}
	for i := range s.in {
		if s.in[i].until > now {
			sum += s.in[i].rate
		}
	}
	return sum
}

// Take reports whether one more request that ends by the given time may be admitted now, and returns the slot
// that it holds until Release.
func (s *Slots) Take(now, ends Micros) (at Place, ok bool, after Micros) {
	s.refresh(now)
	s.peak = max(s.peak, s.opened()+1)
	for p := range parts {
		// Slots outside the floor are only for requests that end within the hold time.
		if float64(s.open[p]) < s.avail[p] && (p == floor || ends-now <= s.hold) {
			s.open[p]++
			s.Granted++
			return Place{own: p}, true, 0
		}
	}
	for i := range s.in {
		if l := &s.in[i]; float64(l.open) < l.rate && now < l.until && ends-now <= s.hold && !s.void {
			l.open++
			s.Granted++
			return Place{loan: l.id}, true, 0
		}
	}
	s.Refused++
	s.vain++
	return Place{}, false, s.period
}

// Release frees the slot of a request that has ended.
func (s *Slots) Done(now Micros, at Place) {
	s.refresh(now)
	if at.loan == 0 {
		s.open[at.own] = max(0, s.open[at.own]-1)
		return
	}
	for i := range s.in {
		if l := &s.in[i]; l.id == at.loan && l.open > 0 {
			l.open--
			return
		}
	}
}

// free returns how many slots of a pool may be lent: those without a request that are not reserved.
func (s *Slots) free(p part) float64 {
	n := s.avail[p] - float64(s.open[p])
	if p == floor {
		n -= s.kept()
	}
	return n
}

// Tick must be called once per period with the other members that are alive.
func (s *Slots) Tick(now Micros, peers []string) (out []Send) {
	s.settle(now)
	asked := float64(s.peak + s.vain)
	s.demand = max(s.demand+(asked-s.demand)/demandFor, min(asked, s.Rate))
	s.peak, s.vain = s.opened(), 0
	s.forgetAsked(now)
	if s.void {
		return nil
	}
	want, have := math.Ceil(min(s.Rate, s.demand*spare)), s.total(now)
	if s.idle++; len(s.in) == 0 || have-s.in[0].rate < want {
		s.idle = 0
	}
	for s.idle >= giveBack && len(s.in) > 0 && s.in[0].open == 0 && have-s.in[0].rate >= want {
		have -= s.in[0].rate
		out = append(out, Send{To: s.in[0].with, Data: s.message(msgBack, &s.in[0], 0)})
		s.in = s.in[1:]
	}
	if s.idle == 0 {
		out = append(out, s.renew(now)...)
	}
	s.settle(now)
	if lacks := want - have; lacks >= 1 {
		out = append(out, s.borrow(now, lacks, s.share(), peers)...)
	}
	return out
}

// Receive handles a message from another member.
func (s *Slots) Receive(now Micros, from string, data []byte) (out []Send) {
	kind, l, amount, ok := s.parse(from, data)
	if !ok {
		return nil
	}
	s.settle(now)
	switch kind {
	case msgAsk:
		out = s.grant(now, l, func() (float64, part) { return s.lendable(now, math.Floor(amount)) },
			func(p part) bool { return !s.needed() && s.amount(p, now) >= s.out(p) })
	case msgGrant:
		s.granted(now, l, math.Floor(amount))
	case msgBack:
		s.back(l)
	}
	s.settle(now)
	return out
}

// lendable returns how many of the wanted slots this member can spare, all from the pool that has most free.
func (s *Slots) lendable(now Micros, wanted float64) (float64, part) {
	if s.void || now < s.usable || s.only >= 0 {
		return 0, floor
	}
	own, most := 0.0, rest
	for p := range parts {
		own += s.avail[p]
		if s.free(p) > s.free(most) {
			most = p
		}
	}
	keep := max(s.kept(), min(s.share(), math.Ceil(s.demand*spare)))
	return math.Floor(min(wanted, max(0, own-keep), max(0, s.free(most)))), most
}

// needed reports whether this member needs its own slots back.
func (s *Slots) needed() bool {
	own := 0.0
	for p := range parts {
		own += s.avail[p]
	}
	return math.Ceil(s.demand*spare) > own
}

// Stats returns the current figures: how many requests may be in flight here, and how many are.
func (s *Slots) Figures(now Micros) Figures {
	s.settle(now)
	own := 0.0
	for p := range parts {
		own += s.avail[p]
	}
	return Figures{Share: s.total(now), Used: float64(s.opened()), InDoubt: max(0, s.share()-own),
		Stale: s.stalest(now)}
}

// SetEntitlement sets the times in which this member holds the leased part of its own share and those of
// other members.
func (s *Slots) Entitle(now Micros, e Entitlement) {
	s.refresh(now)
	s.entitle(e.windows(s.hold))
	s.settle(now)
}

// HandOver leaves this process the own slots in use and one more, and returns what the successor has to know.
// The first entry, which names no member, is the number of slots that stay here.
func (s *Slots) Split(now Micros) (lent []Lend) {
	s.settle(now)
	stays := 0.0
	for p := range parts {
		stays += float64(s.open[p])
	}
	own := math.Ceil(s.share() * s.floorPart())
	if stays++; stays > own { // requests on the leased part end within the hold time
		stays = own
	}
	lent = append([]Lend{{Rate: stays}}, s.save(now)...)
	s.only, s.lent, s.pending = stays, nil, nil
	s.entitle(window{}, nil)
	s.settle(now)
	return lent
}

// TakeOver continues with everything except what the predecessor keeps until OtherProcessEnded.
func (s *Slots) Inherit(now Micros, lent []Lend) {
	if len(lent) > 0 && lent[0].With == "" {
		s.reserve, lent = lent[0].Rate, lent[1:]
	}
	s.inherit(now, lent)
	s.usable, s.only = now, -1
	s.settle(now)
}

// Suspend leaves this process nothing until TakeOver or OtherProcessEnded: another process of this member
// has all slots.
func (s *Slots) Hold(now Micros) {
	s.only = 0
	s.settle(now)
}

// OtherProcessEnded notes that the other process of this member has ended. If the loans of that process are
// unknown, this one waits as after a start.
func (s *Slots) Alone(now Micros, unknown bool) {
	s.reserve, s.only = 0, -1
	if unknown {
		s.usable = now + s.waitFor()
	}
	s.settle(now)
}

// SetDisabled sets whether this member may use nothing, as is the case while other members reject it. When
// enabled again it waits as after a start.
func (s *Slots) Void(now Micros, on bool) {
	if on == s.void {
		return
	}
	if s.void = on; !on {
		s.usable = max(s.usable, now+s.waitFor())
	}
	s.settle(now)
}

// Configure sets the limit, the number of members and the index in the roster. Requests in flight continue.
func (s *Slots) Configure(now Micros, limit float64, members, place int) {
	if limit == s.Rate && members == s.members && place == s.place {
		return
	}
	s.Rate, s.members, s.place = limit, members, place
	s.settle(now)
}
