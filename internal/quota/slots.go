package quota

import (
	"math"
	"math/rand/v2"
)

// Slots is one member's part in a limit on what is open at a time over the fleet. It owns whole units and
// lends them as a Share lends rates. What is let in on another's unit may end after the loan, but at most the
// limit's hold later: its lender counts it out for that long (see book.outFor).
type Slots struct {
	Limit // Rate is how many at a time
	book
	members int
	place   int // among the roster: the first few own what does not divide; -1: not known

	usable  Micros
	void    bool
	reserve float64 // of the floor, that the process before this one keeps
	only    float64 // of the floor, that this one keeps beside the process after it; -1: there is none
	avail   [parts]float64
	open    [parts]int // on units of one's own
	change  Micros

	peak    int // open, and asked for in vain, at the most in this period
	vain    int
	demand  float64
	idle    int
	Granted int64
	Refused int64
}

// Slot is where one let in counts until it ends.
type Slot struct {
	own  part
	loan uint64 // 0: on a unit of one's own
}

// NewSlots returns the part of a member that starts from nothing. hold is how long what is let in may last.
func NewSlots(l Limit, members, place int, period, hold Micros, seed uint64, now Micros) *Slots {
	s := &Slots{Limit: l, book: book{id: l.ID, period: period, hold: hold, rng: rand.NewPCG(seed, 10)},
		members: members, place: place, only: -1}
	s.usable = now + s.waitFor()
	s.settle(now)
	return s
}

// share is how many this member owns.
func (s *Slots) share() float64 {
	n := math.Floor(s.Rate / float64(s.members))
	if s.place >= 0 && float64(s.place) < s.Rate-n*float64(s.members) {
		n++
	}
	return n
}

// kept is how many are never lent.
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

// settle finds how many may be open now.
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

// opened is how many are open.
func (s *Slots) opened() (n int) {
	for p := range parts {
		n += s.open[p]
	}
	for i := range s.in {
		n += s.in[i].open
	}
	return n
}

// total is how many may be open here now.
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

// Take asks whether one more that ends by the time given may be let in now, and where it counts until Done.
func (s *Slots) Take(now, ends Micros) (at Slot, ok bool, after Micros) {
	s.refresh(now)
	s.peak = max(s.peak, s.opened()+1)
	for p := range parts {
		// What is not the member's own whatever happens is for what ends in time only.
		if float64(s.open[p]) < s.avail[p] && (p == floor || ends-now <= s.hold) {
			s.open[p]++
			s.Granted++
			return Slot{own: p}, true, 0
		}
	}
	for i := range s.in {
		if l := &s.in[i]; float64(l.open) < l.rate && now < l.until && ends-now <= s.hold && !s.void {
			l.open++
			s.Granted++
			return Slot{loan: l.id}, true, 0
		}
	}
	s.Refused++
	s.vain++
	return Slot{}, false, s.period
}

// Release tells that one let in has ended.
func (s *Slots) Release(now Micros, at Slot) {
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

// free is how many units of a part may be lent: none on which something is open, nor those that never are.
func (s *Slots) free(p part) float64 {
	n := s.avail[p] - float64(s.open[p])
	if p == floor {
		n -= s.kept()
	}
	return n
}

// Tick is to be called once a period, with the other members that are alive.
func (s *Slots) Tick(now Micros, peers []string) (out []Message) {
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
		out = append(out, Message{To: s.in[0].with, Data: s.message(msgBack, &s.in[0], 0)})
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

// Receive takes in a message of another member.
func (s *Slots) Receive(now Micros, from string, data []byte) (out []Message) {
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

// lendable is how many a member can spare of those that are wanted, of the part of which it has most.
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

// needed tells that this member wants its own back.
func (s *Slots) needed() bool {
	own := 0.0
	for p := range parts {
		own += s.avail[p]
	}
	return math.Ceil(s.demand*spare) > own
}

// Stats are those of now: how many may be open here, and are.
func (s *Slots) Stats(now Micros) Stats {
	s.settle(now)
	own := 0.0
	for p := range parts {
		own += s.avail[p]
	}
	return Stats{Share: s.total(now), Used: float64(s.opened()), InDoubt: max(0, s.share()-own),
		Stale: s.stalest(now)}
}

// SetEntitlement takes in from and until when this member has the rest of its own share, and those of others.
func (s *Slots) SetEntitlement(now Micros, e Entitlement) {
	s.refresh(now)
	s.entitle(e.windows(s.hold))
	s.settle(now)
}

// HandOver leaves this process what is open on its own units and one more, and returns what the next one has to
// know: the first line is what stays here.
func (s *Slots) HandOver(now Micros) (lent []SavedLoan) {
	s.settle(now)
	stays := 0.0
	for p := range parts {
		stays += float64(s.open[p])
	}
	own := math.Ceil(s.share() * s.floorPart())
	if stays++; stays > own { // what is open on the rest ends by itself, within the hold
		stays = own
	}
	lent = append([]SavedLoan{{Rate: stays}}, s.save(now)...)
	s.only, s.lent, s.pending = stays, nil, nil
	s.entitle(window{}, nil)
	s.settle(now)
	return lent
}

// TakeOver goes on with all but what the process before this one keeps; until Alone.
func (s *Slots) TakeOver(now Micros, lent []SavedLoan) {
	if len(lent) > 0 && lent[0].With == "" {
		s.reserve, lent = lent[0].Rate, lent[1:]
	}
	s.inherit(now, lent)
	s.usable, s.only = now, -1
	s.settle(now)
}

// Suspend leaves this process nothing until Inherit or Alone: another one of this member has all.
func (s *Slots) Suspend(now Micros) {
	s.only = 0
	s.settle(now)
}

// OtherProcessEnded tells that the other process of this member is over. One that goes on in its own place does not know
// what that one has lent, and waits as after a start.
func (s *Slots) OtherProcessEnded(now Micros, unknown bool) {
	s.reserve, s.only = 0, -1
	if unknown {
		s.usable = now + s.waitFor()
	}
	s.settle(now)
}

// SetDisabled leaves this member nothing while others turn it down. Afterwards it waits as after a start.
func (s *Slots) SetDisabled(now Micros, on bool) {
	if on == s.void {
		return
	}
	if s.void = on; !on {
		s.usable = max(s.usable, now+s.waitFor())
	}
	s.settle(now)
}

// Configure takes in another limit, and another number of members. What is open stays open.
func (s *Slots) Configure(now Micros, limit float64, members, place int) {
	if limit == s.Rate && members == s.members && place == s.place {
		return
	}
	s.Rate, s.members, s.place = limit, members, place
	s.settle(now)
}
