package quota

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// MaxVoters is the greatest roster whose members vote: each asks each of them twice a term.
const MaxVoters = 9

// A tenure says who has the rest of a member's shares: the member itself, or one that stands in for it once
// it is gone. It is held by the votes of a majority for a term each (Gifford, SOSP 1979, §2; leases: Gray and
// Cheriton, SOSP 1989, §2), as in PaxosLease (Trencséni, Gazsó, Reinhardt, 2012, §4) without a disk: a voter
// that has started anew does not vote for as long as votes of its predecessor may hold. It departs from that
// in that there is one round and no ballots: a voter votes for whoever asks first while its vote is free. Two
// who ask at once may keep each other from a majority for a term; here one alone asks for what is a member's,
// and for one that is gone the first by rendezvous hashing among the living.

// Entitlement is what a member may use beside the floor of its shares. Times are by its clock.
type Entitlement struct {
	mine  window
	taken []window
}

// windows are the times of use: what was acquired anew may be lent by who had it before for one wait longer.
func (e Entitlement) windows(hold Micros) (window, []window) {
	shift := func(w window) window {
		if w.from > 0 {
			w.from += held(hold)
		}
		return w
	}
	var taken []window
	for _, w := range e.taken {
		taken = append(taken, shift(w))
	}
	return shift(e.mine), taken
}

// vote is given to one member for a thing.
type vote struct {
	to    string
	until Micros
}

// claim is what a member wants to have, or has.
type claim struct {
	of    string // whose rest
	asked Micros // when it last asked
	seq   uint32
	term  []Micros // until when each voter's vote counts here, by voter
	since Micros   // from when on a majority has been for it without a break; 0: it is not
	until Micros
}

// Leases is a member's part: as a voter, and as one that wants to have.
type Leases struct {
	self   string
	roster []string // sorted: the voters
	stamp  uint32   // of it: other rosters' votes do not count
	period Micros
	votes  map[string]vote
	silent Micros // no votes before that
	claims []claim
	seq    uint32
	Hasty  bool // planted, for checkers: a voter votes as soon as it has started
}

// NewLeases returns that of a process that starts from nothing. Votes count among members with the same
// roster and stamp only. Nil: the roster is none that votes.
func NewLeases(self string, roster []string, stamp uint32, period, now Micros) *Leases {
	if len(roster) < 3 || len(roster) > MaxVoters || !slices.Contains(roster, self) {
		return nil
	}
	t := &Leases{self: self, roster: slices.Sorted(slices.Values(roster)), period: period,
		stamp: stamp, votes: map[string]vote{}, silent: now + span(period, 1+3*Drift)}
	for _, name := range t.roster {
		t.stamp = t.stamp*31 + uint32(xxhash.Sum64String(name))
	}
	t.claims = []claim{t.claim(self)}
	return t
}

func (t *Leases) claim(of string) claim { return claim{of: of, term: make([]Micros, len(t.roster))} }

// majority of the voters.
func (t *Leases) majority() int { return len(t.roster)/2 + 1 }

// The kinds of a tenure's message: kind, stamp (4), request (4), the place of the member whose rest it is.
const (
	msgWant = 8 + iota
	msgVote
	msgFree
	tenureSize = 1 + 4 + 4 + 1
)

func (t *Leases) message(kind byte, seq uint32, of string) []byte {
	b := binary.LittleEndian.AppendUint32([]byte{kind}, t.stamp)
	b = binary.LittleEndian.AppendUint32(b, seq)
	return append(b, byte(slices.Index(t.roster, of)))
}

// IsLeaseMessage tells that a message is one of a tenure.
func IsLeaseMessage(data []byte) bool {
	return len(data) == tenureSize && data[0] >= msgWant && data[0] <= msgFree
}

// standIn is who takes a member's rest over: the first of the living by rendezvous hashing.
func standIn(of string, alive []string) (who string) {
	best := uint64(0)
	for _, name := range alive {
		if h := xxhash.Sum64String(name + "\n" + of); who == "" || h > best {
			who, best = name, h
		}
	}
	return who
}

// Tick is to be called once a period with the members that are alive, this one among them.
func (t *Leases) Tick(now Micros, alive []string) (out []Message) {
	want := []string{t.self}
	for _, name := range t.roster {
		if !slices.Contains(alive, name) && standIn(name, alive) == t.self {
			want = append(want, name)
		}
	}
	t.claims = slices.DeleteFunc(t.claims, func(c claim) bool {
		if slices.Contains(want, c.of) {
			return false
		}
		for _, v := range t.roster { // it is not used any more before anybody hears of that
			out = append(out, t.post(now, v, t.message(msgFree, c.seq, c.of))...)
		}
		return true
	})
	for _, name := range want {
		i := slices.IndexFunc(t.claims, func(c claim) bool { return c.of == name })
		if i < 0 {
			t.claims = append(t.claims, t.claim(name))
			i = len(t.claims) - 1
		}
		c := &t.claims[i]
		every := 2 * t.period // until it has it, then twice a term and more
		if c.until > now && c.until-now > span(t.period, renewAt) {
			continue
		}
		if c.asked > 0 && now-c.asked < every {
			continue
		}
		t.seq++
		c.seq, c.asked = t.seq, now
		for _, v := range t.roster {
			out = append(out, t.post(now, v, t.message(msgWant, c.seq, name))...)
		}
	}
	return out
}

// post sends to another member, or takes in what goes to this one.
func (t *Leases) post(now Micros, to string, data []byte) []Message {
	if to != t.self {
		return []Message{{To: to, Data: data}}
	}
	for _, s := range t.Receive(now, t.self, data) {
		t.Receive(now, t.self, s.Data)
	}
	return nil
}

// Receive takes in a message of another member.
func (t *Leases) Receive(now Micros, from string, data []byte) []Message {
	if !IsLeaseMessage(data) || binary.LittleEndian.Uint32(data[1:]) != t.stamp || int(data[9]) >= len(t.roster) {
		return nil
	}
	voter := slices.Index(t.roster, from)
	seq, of := binary.LittleEndian.Uint32(data[5:]), t.roster[data[9]]
	if voter < 0 {
		return nil
	}
	switch v := t.votes[of]; data[0] {
	case msgWant:
		if now < t.silent && !t.Hasty || now < v.until && v.to != from {
			return nil
		}
		t.votes[of] = vote{from, now + span(t.period, 1+Drift)}
		return []Message{{To: from, Data: t.message(msgVote, seq, of)}}
	case msgVote:
		for i := range t.claims {
			if c := &t.claims[i]; c.of == of && c.seq == seq {
				c.term[voter] = c.asked + span(t.period, 1-2*Drift)
				c.count(now, t.majority(), span(t.period, 1+3*Drift))
			}
		}
	case msgFree:
		if v.to == from {
			delete(t.votes, of)
		}
	}
	return nil
}

// count finds until when a majority is for a claim.
func (c *claim) count(now Micros, majority int, wait Micros) {
	terms := slices.Sorted(slices.Values(c.term))
	until := terms[len(terms)-majority]
	if until <= now {
		return
	}
	if c.until <= now { // there was a break
		c.since = now + wait
	}
	c.until = until
}

// Entitlement is what this member may use now and until when, if nothing more is heard.
func (t *Leases) Entitlement(now Micros) (e Entitlement) {
	for i := range t.claims {
		c := &t.claims[i]
		if c.until <= now {
			continue
		}
		if w := (window{c.since, c.until}); c.of == t.self {
			e.mine = w
		} else {
			e.taken = append(e.taken, w)
		}
	}
	return e
}

// Held are the members whose rest this one has or is about to have, itself among them.
func (t *Leases) Held(now Micros) (of []string) {
	for i := range t.claims {
		if c := &t.claims[i]; c.until > now {
			of = append(of, c.of)
		}
	}
	return of
}

// LeaseSnapshot is a tenure as one process hands it to the next. Times are from now on.
type LeaseSnapshot struct {
	Roster []string        `json:"roster"`
	Since  Micros          `json:"since"`
	Until  Micros          `json:"until"`
	Votes  map[string]Vote `json:"votes"`
	Silent Micros          `json:"silent"`
}

// Vote is one that was given.
type Vote struct {
	To   string `json:"to"`
	Left Micros `json:"left"`
}

// HandOver hands over what this process has and has voted; it has and votes nothing any more.
func (t *Leases) HandOver(now Micros) LeaseSnapshot {
	h := LeaseSnapshot{Roster: t.roster, Votes: map[string]Vote{}, Silent: max(0, t.silent-now)}
	for of, v := range t.votes {
		if v.until > now {
			h.Votes[of] = Vote{v.to, v.until - now}
		}
	}
	for i := range t.claims {
		if c := &t.claims[i]; c.of == t.self && c.until > now {
			h.Since, h.Until = c.since-now, c.until-now
		}
	}
	t.claims, t.silent = nil, 1<<62
	return h
}

// TakeOver goes on from where another process of this member has stopped.
func (t *Leases) TakeOver(now Micros, h LeaseSnapshot) {
	if !slices.Equal(h.Roster, t.roster) {
		return
	}
	t.silent = now + h.Silent
	for of, v := range h.Votes {
		if slices.Contains(t.roster, of) {
			t.votes[of] = vote{v.To, now + v.Left}
		}
	}
	if c := &t.claims[0]; h.Until > 0 {
		c.since, c.until = now+h.Since, now+h.Until
	}
}
