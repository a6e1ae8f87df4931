package quota

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// MaxVoters is the size of the largest roster whose members vote, as each member asks every voter twice per
// term.
const MaxVoters = 9

// A lease says who has the part of a member's shares above the floor: the member itself, or a substitute
// once the member is dead. A lease is held by the votes of a majority, each for one term (Gifford, SOSP
// 1979, §2; leases: Gray and Cheriton, SOSP 1989, §2). The protocol is that of PaxosLease (Trencséni,
// Gazsó, Reinhardt, 2012, §4) without a disk: a voter that has restarted does not vote for as long as votes
// of its predecessor may be valid. Unlike PaxosLease it has one round and no ballots: a voter votes for the
// first member that asks while its vote is free. Two members that ask at the same time may keep each other
// from a majority for a term. Here normally only one member asks for a lease: its owner, or, once that is
// dead, the first of the living members by rendezvous hashing.

// Entitlement is what a member may use above the floor of its shares. Times are on its own clock.
type Entitlement struct {
	own       window
	takenOver []window
}

// windows returns the times of use. A newly acquired lease is usable later by the hold time, as loans of its
// previous holder count as lent for that much longer.
func (e Entitlement) windows(hold Micros) (window, []window) {
	shift := func(w window) window {
		if w.from > 0 {
			w.from += withDrift(hold)
		}
		return w
	}
	var takenOver []window
	for _, w := range e.takenOver {
		takenOver = append(takenOver, shift(w))
	}
	return shift(e.own), takenOver
}

// vote is a vote given to a member for one lease.
type vote struct {
	to    string
	until Micros
}

// lease is a lease that this member holds or tries to get.
type lease struct {
	owner      string // member whose share it is
	askedAt    Micros // time of the last request for votes
	seq        uint32
	votedUntil []Micros // expiry of each voter's vote, by index of the voter
	usableFrom Micros   // start of use: one wait after the majority was reached; 0: it was never reached
	until      Micros
}

// Leases is the state of one member as a voter and as a holder of leases.
type Leases struct {
	self             string
	voters           []string // the voters, sorted
	rosterHash       uint32   // hash of the roster: votes of other rosters do not count
	period           Micros
	votes            map[string]vote
	votesFrom        Micros // time before which this member does not vote
	leases           []lease
	seq              uint32
	FaultNoStartWait bool // injected fault for tests: a voter votes as soon as it has started
}

// NewLeases returns the state of a process that starts without state from a predecessor. Votes only count
// among members with the same roster and stamp. It returns nil if the roster is too small or too large to
// vote, or does not contain self.
func NewLeases(self string, roster []string, stamp uint32, period, now Micros) *Leases {
	if len(roster) < 3 || len(roster) > MaxVoters || !slices.Contains(roster, self) {
		return nil
	}
	t := &Leases{self: self, voters: slices.Sorted(slices.Values(roster)), period: period,
		rosterHash: stamp, votes: map[string]vote{}, votesFrom: now + terms(period, 1+3*MaxDrift)}
	for _, name := range t.voters {
		t.rosterHash = t.rosterHash*31 + uint32(xxhash.Sum64String(name))
	}
	t.leases = []lease{t.newLease(self)}
	return t
}

func (t *Leases) newLease(owner string) lease {
	return lease{owner: owner, votedUntil: make([]Micros, len(t.voters))}
}

// quorum is the number of votes that is a majority.
func (t *Leases) quorum() int { return len(t.voters)/2 + 1 }

// Message kinds. Format: kind, stamp (4 bytes), sequence number (4), roster index of the member whose lease
// it is (1).
const (
	msgRequestVote = 8 + iota
	msgVote
	msgReleaseVote
	leaseMessageSize = 1 + 4 + 4 + 1
)

func (t *Leases) encode(kind byte, seq uint32, owner string) []byte {
	b := binary.LittleEndian.AppendUint32([]byte{kind}, t.rosterHash)
	b = binary.LittleEndian.AppendUint32(b, seq)
	return append(b, byte(slices.Index(t.voters, owner)))
}

// IsLeaseMessage reports whether a message is about a lease.
func IsLeaseMessage(data []byte) bool {
	return len(data) == leaseMessageSize && data[0] >= msgRequestVote && data[0] <= msgReleaseVote
}

// substituteFor returns the member that takes over a dead member's lease: the first of the living members by
// rendezvous hashing.
func substituteFor(owner string, alive []string) (substitute string) {
	bestHash := uint64(0)
	for _, name := range alive {
		if h := xxhash.Sum64String(name + "\n" + owner); substitute == "" || h > bestHash {
			substitute, bestHash = name, h
		}
	}
	return substitute
}

// Tick must be called once per period with the members that are alive, including this one.
func (t *Leases) Tick(now Micros, alive []string) (out []Message) {
	wanted := []string{t.self}
	for _, name := range t.voters {
		if !slices.Contains(alive, name) && substituteFor(name, alive) == t.self {
			wanted = append(wanted, name)
		}
	}
	t.leases = slices.DeleteFunc(t.leases, func(l lease) bool {
		if slices.Contains(wanted, l.owner) {
			return false
		}
		for _, v := range t.voters { // use has ended before the voters are told
			out = append(out, t.deliver(now, v, t.encode(msgReleaseVote, l.seq, l.owner))...)
		}
		return true
	})
	for _, name := range wanted {
		i := slices.IndexFunc(t.leases, func(l lease) bool { return l.owner == name })
		if i < 0 {
			t.leases = append(t.leases, t.newLease(name))
			i = len(t.leases) - 1
		}
		l := &t.leases[i]
		retryInterval := 2 * t.period // between requests; a held lease is not renewed before half of its term
		if l.until > now && l.until-now > terms(t.period, renewBelow) {
			continue
		}
		if l.askedAt > 0 && now-l.askedAt < retryInterval {
			continue
		}
		t.seq++
		l.seq, l.askedAt = t.seq, now
		for _, v := range t.voters {
			out = append(out, t.deliver(now, v, t.encode(msgRequestVote, l.seq, name))...)
		}
	}
	return out
}

// deliver returns a message to another member for sending, and handles a message to this one itself.
func (t *Leases) deliver(now Micros, to string, data []byte) []Message {
	if to != t.self {
		return []Message{{To: to, Data: data}}
	}
	for _, s := range t.Receive(now, t.self, data) {
		t.Receive(now, t.self, s.Data)
	}
	return nil
}

// Receive handles a message from another member.
func (t *Leases) Receive(now Micros, from string, data []byte) []Message {
	if !IsLeaseMessage(data) || binary.LittleEndian.Uint32(data[1:]) != t.rosterHash ||
		int(data[9]) >= len(t.voters) {
		return nil
	}
	voter := slices.Index(t.voters, from)
	seq, owner := binary.LittleEndian.Uint32(data[5:]), t.voters[data[9]]
	if voter < 0 {
		return nil
	}
	switch v := t.votes[owner]; data[0] {
	case msgRequestVote:
		if now < t.votesFrom && !t.FaultNoStartWait || now < v.until && v.to != from {
			return nil
		}
		t.votes[owner] = vote{from, now + terms(t.period, 1+MaxDrift)}
		return []Message{{To: from, Data: t.encode(msgVote, seq, owner)}}
	case msgVote:
		for i := range t.leases {
			if l := &t.leases[i]; l.owner == owner && l.seq == seq {
				l.votedUntil[voter] = l.askedAt + terms(t.period, 1-2*MaxDrift)
				l.countVotes(now, t.quorum(), terms(t.period, 1+3*MaxDrift))
			}
		}
	case msgReleaseVote:
		if v.to == from {
			delete(t.votes, owner)
		}
	}
	return nil
}

// countVotes updates until when a majority has voted for a lease.
func (l *lease) countVotes(now Micros, quorum int, wait Micros) {
	expiries := slices.Sorted(slices.Values(l.votedUntil))
	until := expiries[len(expiries)-quorum]
	if until <= now {
		return
	}
	if l.until <= now { // the lease was not held until now
		l.usableFrom = now + wait
	}
	l.until = until
}

// Entitlement returns what this member may use, and until when if it receives no more votes.
func (t *Leases) Entitlement(now Micros) (e Entitlement) {
	for i := range t.leases {
		l := &t.leases[i]
		if l.until <= now {
			continue
		}
		if w := (window{l.usableFrom, l.until}); l.owner == t.self {
			e.own = w
		} else {
			e.takenOver = append(e.takenOver, w)
		}
	}
	return e
}

// Held returns the members whose leases this one holds, including itself. A lease may not be usable yet.
func (t *Leases) Held(now Micros) (owners []string) {
	for i := range t.leases {
		if l := &t.leases[i]; l.until > now {
			owners = append(owners, l.owner)
		}
	}
	return owners
}

// LeaseSnapshot is the state that one process hands over to the next. Times are relative to the handover.
type LeaseSnapshot struct {
	Roster     []string             `json:"roster"`
	UsableFrom Micros               `json:"since"`
	Until      Micros               `json:"until"`
	Votes      map[string]SavedVote `json:"votes"`
	VotesFrom  Micros               `json:"silent"`
}

// SavedVote is a vote that was given.
type SavedVote struct {
	To        string `json:"to"`
	Remaining Micros `json:"left"`
}

// HandOver returns the lease and the votes of this process. It holds no leases and does not vote any more.
func (t *Leases) HandOver(now Micros) LeaseSnapshot {
	h := LeaseSnapshot{Roster: t.voters, Votes: map[string]SavedVote{}, VotesFrom: max(0, t.votesFrom-now)}
	for owner, v := range t.votes {
		if v.until > now {
			h.Votes[owner] = SavedVote{v.to, v.until - now}
		}
	}
	for i := range t.leases {
		if l := &t.leases[i]; l.owner == t.self && l.until > now {
			h.UsableFrom, h.Until = l.usableFrom-now, l.until-now
		}
	}
	t.leases, t.votesFrom = nil, 1<<62
	return h
}

// TakeOver continues with the state of another process of this member.
func (t *Leases) TakeOver(now Micros, h LeaseSnapshot) {
	if !slices.Equal(h.Roster, t.voters) {
		return
	}
	t.votesFrom = now + h.VotesFrom
	for owner, v := range h.Votes {
		if slices.Contains(t.voters, owner) {
			t.votes[owner] = vote{v.To, now + v.Remaining}
		}
	}
	if l := &t.leases[0]; h.Until > 0 {
		l.usableFrom, l.until = now+h.UsableFrom, now+h.Until
	}
}
