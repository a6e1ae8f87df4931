// Package quota divides limits among the members of a fleet so that together they are never over them: each
// owns a fixed share and lends what it does not need for a term. It does no input or output, reads no clock
// and starts no goroutine. docs/LIMITS.md has the design and the proof.
package quota

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"slices"
)

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
	asks      = 4    // members asked a period
	demandFor = 2.0  // periods over which demand is smoothed as it falls
	mostLoans = 512  // out, or in, at a time
	giveBack  = 2    // periods without need after which a loan goes back
)

// Limit is a limit over the whole fleet.
type Limit struct {
	Name  string
	ID    uint32  // the same at all members
	Rate  float64 // a second
	Burst float64 // and at once
}

// Send is a message to another member.
type Send struct {
	To   string
	Data []byte
}

// loan is one between two members.
type loan struct {
	id    uint64
	with  string
	rate  float64
	until Micros
	seq   uint32 // of the last request for it
	asked Micros // and when that was sent
}

// Share is one member's part in one limit.
type Share struct {
	Limit
	members int
	period  Micros
	rng     *rand.PCG

	usable  Micros  // from then on the whole share is
	void    bool    // nothing is
	part    float64 // of the share that is this process's: an upgrade leaves a part to another one
	lent    []loan
	in      []loan
	pending []loan // asked for, not granted yet

	rate   float64 // in use now
	own    float64 // of it, what is not borrowed
	change Micros  // when that changes by itself next
	tokens float64
	at     Micros

	count   float64 // asked for in this period
	demand  float64 // a second, smoothed
	idle    int     // periods in which no loan was needed
	seq     uint32
	usedAt  Micros
	used    int64
	usedWas float64 // a second, of the last whole second
	Granted int64
	Refused int64
	Forget  bool // planted, for checkers: a start does not wait for its predecessor's loans
}

// NewShare returns the share of a member that starts from nothing.
func NewShare(l Limit, members int, period Micros, seed uint64, now Micros) *Share {
	s := &Share{Limit: l, members: members, period: period, rng: rand.NewPCG(seed, 9), part: 1, at: now,
		usedAt: now, usable: now + span(period, 1+3*Drift)}
	s.settle(now)
	return s
}

// span is so many terms.
func span(period Micros, terms float64) Micros { return Micros(terms * Term * float64(period)) }

// share is what this member owns. A clock that runs fast lets more in by as much.
func (s *Share) share() float64 { return s.Rate / (1 + Drift) / float64(s.members) }

// settle finds the rate that is in use from now on.
func (s *Share) settle(now Micros) {
	alive := func(l loan) bool { return l.until <= now }
	s.lent, s.in = slices.DeleteFunc(s.lent, alive), slices.DeleteFunc(s.in, alive)
	s.change = math.MaxInt64
	s.own = s.share() * s.part
	if now < s.usable && !s.Forget {
		s.own, s.change = min(s.own, s.share()*Kept), s.usable
	}
	for i := range s.lent {
		s.own -= s.lent[i].rate
		s.change = min(s.change, s.lent[i].until)
	}
	s.own = max(0, s.own)
	if s.void {
		s.own, s.in = 0, nil
	}
	s.rate = s.own
	for i := range s.in {
		s.rate += s.in[i].rate
		s.change = min(s.change, s.in[i].until)
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

// The kinds of message: kind, limit (4), loan (8), request (4), rate (8).
const (
	msgAsk = 1 + iota
	msgGrant
	msgBack
	msgSize = 1 + 4 + 8 + 4 + 8
)

func (s *Share) message(kind byte, l *loan, rate float64) []byte {
	b := binary.LittleEndian.AppendUint32([]byte{kind}, s.ID)
	b = binary.LittleEndian.AppendUint64(b, l.id)
	b = binary.LittleEndian.AppendUint32(b, l.seq)
	return binary.LittleEndian.AppendUint64(b, math.Float64bits(rate))
}

// IDOf is the limit that a message concerns; false: it is none.
func IDOf(data []byte) (uint32, bool) {
	if len(data) != msgSize || data[0] < msgAsk || data[0] > msgBack {
		return 0, false
	}
	return binary.LittleEndian.Uint32(data[1:]), true
}

// Tick is to be called once a period, with the other members that are alive.
func (s *Share) Tick(now Micros, peers []string) (out []Send) {
	s.refill(now)
	if took := now - s.usedAt; took >= 1_000_000 {
		s.usedWas, s.used, s.usedAt = float64(s.used)*1e6/float64(took), 0, now
	}
	asked := s.count * 1e6 / float64(s.period)
	s.demand = max(s.demand+(asked-s.demand)/demandFor, min(asked, s.Rate)*0.9) // it rises at once
	s.count = 0
	s.pending = slices.DeleteFunc(s.pending, func(l loan) bool { return now-l.asked > 2*s.period })
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
	for i := range s.in { // in time, so that a lost answer can be asked for once more
		if l := &s.in[i]; s.idle == 0 && l.until-now < span(s.period, renewAt) {
			out = append(out, s.ask(now, l, l.rate))
		}
	}
	if lacks <= leastLoan*s.share() || len(peers) == 0 || len(s.in)+len(s.pending) >= mostLoans {
		return out
	}
	first := int(s.rng.Uint64() % uint64(len(peers)))
	for i := range min(asks, len(peers)) {
		// Each is asked for all that lacks: most grant little, and what is too much goes back by itself.
		l := loan{id: s.rng.Uint64(), with: peers[(first+i)%len(peers)]}
		s.pending = append(s.pending, l)
		out = append(out, s.ask(now, &s.pending[len(s.pending)-1], lacks))
	}
	return out
}

// ask makes a request for a loan, or for it to go on.
func (s *Share) ask(now Micros, l *loan, rate float64) Send {
	s.seq++
	l.seq, l.asked = s.seq, now
	return Send{To: l.with, Data: s.message(msgAsk, l, rate)}
}

// giveBack gives back the loans without which there is enough. They are not used any more before anybody
// hears of it.
func (s *Share) giveBack(now Micros, want float64) (out []Send) {
	for len(s.in) > 0 && s.rate-s.in[0].rate >= want {
		out = append(out, Send{To: s.in[0].with, Data: s.message(msgBack, &s.in[0], 0)})
		s.in = s.in[1:]
		s.settle(now)
	}
	return out
}

// Receive takes in a message of another member.
func (s *Share) Receive(now Micros, from string, data []byte) (out []Send) {
	if id, ok := IDOf(data); !ok || id != s.ID {
		return nil
	}
	l := loan{with: from, id: binary.LittleEndian.Uint64(data[5:]), seq: binary.LittleEndian.Uint32(data[13:])}
	rate := math.Float64frombits(binary.LittleEndian.Uint64(data[17:]))
	if !(rate >= 0 && rate <= 1e12) {
		return nil
	}
	s.refill(now)
	s.settle(now)
	same := func(x loan) bool { return x.id == l.id && x.with == from }
	switch data[0] {
	case msgAsk:
		i := slices.IndexFunc(s.lent, same)
		if i < 0 {
			if l.rate = min(rate, s.lendable(now)); l.rate < leastLoan*s.share() || len(s.lent) >= mostLoans {
				return nil
			}
			s.lent = append(s.lent, l)
			i = len(s.lent) - 1
		} else if s.needed() {
			return nil // it ends at its term
		}
		x := &s.lent[i]
		x.until, x.seq = max(x.until, now+span(s.period, 1+Drift)), l.seq
		s.settle(now) // it is out before it is granted
		for k := range s.lent {
			if same(s.lent[k]) {
				out = append(out, Send{To: from, Data: s.message(msgGrant, &s.lent[k], s.lent[k].rate)})
			}
		}
	case msgGrant:
		if i := slices.IndexFunc(s.in, same); i >= 0 {
			if x := &s.in[i]; x.seq == l.seq {
				x.until = max(x.until, x.asked+span(s.period, 1-2*Drift))
				s.settle(now)
			}
			return nil
		}
		if i := slices.IndexFunc(s.pending, same); i >= 0 && s.pending[i].seq == l.seq {
			x := s.pending[i]
			s.pending = slices.Delete(s.pending, i, i+1)
			x.rate, x.until = rate, x.asked+span(s.period, 1-2*Drift)
			if x.until > now {
				s.in = append(s.in, x)
				s.settle(now)
			}
		}
	case msgBack:
		s.lent = slices.DeleteFunc(s.lent, same)
		s.settle(now)
	}
	return out
}

// lendable is what a member can spare.
func (s *Share) lendable(now Micros) float64 {
	if s.void || now < s.usable && !s.Forget {
		return 0
	}
	keep := max(Kept*s.share(), min(s.share(), s.demand*spare))
	return max(0, s.own-keep)
}

// needed tells that this member wants its share back.
func (s *Share) needed() bool { return s.demand*spare > s.own }

// Figures are what operators see of a share. Rates are a second.
type Figures struct {
	Share   float64 // in use here
	Used    float64 // let in here in the last second
	InDoubt float64 // of the own share: lent, or may have been by a predecessor
	Stale   Micros  // how long ago the oldest loan here was last granted
}

// Figures are those of now.
func (s *Share) Figures(now Micros) Figures {
	s.refill(now)
	f := Figures{Share: s.rate, Used: s.usedWas, InDoubt: max(0, s.share()-s.own)}
	for i := range s.in {
		f.Stale = max(f.Stale, now-s.in[i].asked)
	}
	return f
}

// Lend is a loan that is out, as one process hands it to the next.
type Lend struct {
	ID   uint64  `json:"id"`
	With string  `json:"with"`
	Rate float64 `json:"rate"`
	Left Micros  `json:"left"`
}

// Split leaves this process the part that is never lent, and returns what the next one has to know. What was
// borrowed is given up.
func (s *Share) Split(now Micros) (lent []Lend) {
	s.refill(now)
	for _, l := range s.lent {
		lent = append(lent, Lend{l.id, l.with, l.rate, l.until - now})
	}
	s.in, s.lent, s.pending, s.part = nil, nil, nil, Kept
	s.settle(now)
	return lent
}

// Inherit goes on with all but the part that the process before this one keeps; until Alone.
func (s *Share) Inherit(now Micros, lent []Lend) {
	s.refill(now)
	for _, l := range lent {
		s.lent = append(s.lent, loan{id: l.ID, with: l.With, rate: l.Rate, until: now + l.Left})
	}
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

// Void leaves this member nothing while others turn it down: they do not count on it. Afterwards it waits as
// after a start.
func (s *Share) Void(now Micros, on bool) {
	if on == s.void {
		return
	}
	s.refill(now)
	if s.void = on; !on {
		s.usable = max(s.usable, now+span(s.period, 1+3*Drift))
	}
	s.settle(now)
}

// Hold leaves this process nothing until Inherit or Alone: another one of this member has all.
func (s *Share) Hold(now Micros) {
	s.refill(now)
	s.part = 0
	s.settle(now)
}

// Return gives back what Take has let in and nobody used.
func (s *Share) Return() {
	s.tokens = min(s.cap(), s.tokens+1)
	s.used--
	s.Granted--
}

// Alone tells that the other process of this member is over. One that goes on in its own place does not know
// what that one has lent, and waits as after a start.
func (s *Share) Alone(now Micros, unknown bool) {
	s.refill(now)
	s.part = 1
	if unknown {
		s.usable = now + span(s.period, 1+3*Drift)
	}
	s.settle(now)
}
