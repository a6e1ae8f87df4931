package quota

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"slices"
)

// pool is the origin of an amount. What a member owns comes from three pools, as each can be lost separately.
type pool uint8

const (
	floor     pool = iota // always belongs to this member
	leased                // the rest of the own share, while this member holds its lease; see Leases
	takenOver             // the rest of dead members' shares, while this member holds their leases
	poolCount
)

// loan is a loan between two members, as one of them records it.
type loan struct {
	id       uint64
	peer     string
	amount   float64 // requests per second, or units of a concurrency limit
	until    Micros
	seq      uint32 // sequence number of the last request for it
	askedAt  Micros // time at which that request was sent
	pool     pool   // at the lender: pool it is lent from
	inFlight int    // at the borrower of concurrency units: requests in flight on it
}

// loanLedger records the loans of one member in one limit.
type loanLedger struct {
	limitID  uint64
	period   Micros
	hold     Micros // time for which a request admitted on a loan may continue after the loan has ended
	rng      *rand.PCG
	lent     []loan
	borrowed []loan
	pending  []loan // requested, not granted yet
	seq      uint32
	fanout   int  // maximum number of members asked per period; reduced while nobody grants anything
	granted  bool // a loan was granted since the last borrow
	leaseWindows
}

// leaseWindows are the times in which a member may use the leased part of its own share and of others'.
type leaseWindows struct {
	own       window
	takenOver []window
}

// window is a time interval on the local clock.
type window struct{ from, until Micros }

func (w window) contains(now Micros) bool { return now >= w.from && now < w.until }

// nextChange returns the next time at which the window begins or ends.
func (w window) nextChange(now Micros) Micros {
	switch {
	case now < w.from && w.from < w.until:
		return w.from
	case now < w.until:
		return w.until
	}
	return math.MaxInt64
}

// setWindows sets the times in which this member holds its own lease and those of dead members.
func (b *loanLedger) setWindows(own window, others []window) {
	b.leaseWindows = leaseWindows{own, others}
}

// count returns how many members' amounts a pool comprises now.
func (e *leaseWindows) count(p pool, now Micros) (n int) {
	switch {
	case p == floor, p == leased && e.own.contains(now):
		return 1
	case p == takenOver:
		for _, w := range e.takenOver {
			if w.contains(now) {
				n++
			}
		}
	}
	return n
}

// nextChange returns the next time at which count changes.
func (e *leaseWindows) nextChange(now Micros) Micros {
	at := e.own.nextChange(now)
	for _, w := range e.takenOver {
		at = min(at, w.nextChange(now))
	}
	return at
}

// useTime is how long the borrower uses a loan at most, lentTime how long the lender counts it as lent at
// least, and startWait how long a process that does not know its predecessor's loans has to wait. They differ
// by the clock drift, so that a loan ends at the borrower first.
func (b *loanLedger) useTime() Micros   { return terms(b.period, 1-2*MaxDrift) }
func (b *loanLedger) lentTime() Micros  { return terms(b.period, 1+MaxDrift) + withDrift(b.hold) }
func (b *loanLedger) startWait() Micros { return terms(b.period, 1+3*MaxDrift) + withDrift(b.hold) }

// withDrift is the longest time on this clock for a duration measured on another member's clock.
func withDrift(d Micros) Micros { return Micros(float64(d) * (1 + 3*MaxDrift)) }

// expire removes the loans that have ended. A borrowed loan with requests in flight stays until they finish,
// but admits no more.
func (b *loanLedger) expire(now Micros) {
	b.lent = slices.DeleteFunc(b.lent, func(l loan) bool { return l.until <= now })
	b.borrowed = slices.DeleteFunc(b.borrowed, func(l loan) bool { return l.until <= now && l.inFlight == 0 })
}

// lentFrom returns how much of a pool is lent.
func (b *loanLedger) lentFrom(p pool) (sum float64) {
	for i := range b.lent {
		if b.lent[i].pool == p {
			sum += b.lent[i].amount
		}
	}
	return sum
}

// nextExpiry returns the time at which the next loan ends.
func (b *loanLedger) nextExpiry() Micros {
	at := Micros(math.MaxInt64)
	for i := range b.lent {
		at = min(at, b.lent[i].until)
	}
	for i := range b.borrowed {
		if b.borrowed[i].inFlight == 0 {
			at = min(at, b.borrowed[i].until)
		}
	}
	return at
}

// Message kinds. Format: kind, limit (8 bytes), loan (8), sequence number (4), amount (8).
const (
	msgRequest = 1 + iota
	msgGrant
	msgReturn
	loanMessageSize = 1 + 8 + 8 + 4 + 8
)

func (b *loanLedger) encode(kind byte, l *loan, amount float64) []byte {
	d := binary.LittleEndian.AppendUint64([]byte{kind}, b.limitID)
	d = binary.LittleEndian.AppendUint64(d, l.id)
	d = binary.LittleEndian.AppendUint32(d, l.seq)
	return binary.LittleEndian.AppendUint64(d, math.Float64bits(amount))
}

// decode decodes a message. It returns false if the message is malformed or for another limit.
func (b *loanLedger) decode(from string, data []byte) (kind byte, l loan, amount float64, ok bool) {
	if id, ok := MessageLimitID(data); !ok || id != b.limitID {
		return 0, loan{}, 0, false
	}
	l = loan{peer: from, id: binary.LittleEndian.Uint64(data[9:]), seq: binary.LittleEndian.Uint32(data[17:])}
	amount = math.Float64frombits(binary.LittleEndian.Uint64(data[21:]))
	return data[0], l, amount, amount >= 0 && amount <= 1e12
}

// MessageLimitID returns the limit that a message is for, or false if it is not a message about a loan.
func MessageLimitID(data []byte) (uint64, bool) {
	if len(data) != loanMessageSize || data[0] < msgRequest || data[0] > msgReturn {
		return 0, false
	}
	return binary.LittleEndian.Uint64(data[1:]), true
}

// request returns a request for a loan or its renewal.
func (b *loanLedger) request(now Micros, l *loan, amount float64) Message {
	b.seq++
	l.seq, l.askedAt = b.seq, now
	return Message{To: l.peer, Data: b.encode(msgRequest, l, amount)}
}

// renew requests the renewal of loans early enough that a request can be repeated if the answer is lost.
func (b *loanLedger) renew(now Micros) (out []Message) {
	for i := range b.borrowed {
		if l := &b.borrowed[i]; now < l.until && l.until-now < terms(b.period, renewBelow) {
			out = append(out, b.request(now, l, l.amount))
		}
	}
	return out
}

// borrow asks several members, each for the whole missing amount: most grant little, and an excess is
// returned later. The number of members asked depends on how many shares are missing.
func (b *loanLedger) borrow(now Micros, missing, share float64, peers []string) (out []Message) {
	if len(peers) == 0 {
		return nil
	}
	first := int(b.rng.Uint64() % uint64(len(peers)))
	switch {
	case b.granted || b.fanout == 0:
		b.fanout = min(maxAsks, max(minAsks, 2*b.fanout))
	default:
		b.fanout = max(1, b.fanout/2)
	}
	b.granted = false
	n := min(max(1, int(asksPerShare*missing/max(share, 1e-9))), b.fanout, len(peers))
	for i := range min(n, maxLoans-len(b.borrowed)-len(b.pending)) {
		b.pending = append(b.pending, loan{id: b.rng.Uint64(), peer: peers[(first+i)%len(peers)]})
		out = append(out, b.request(now, &b.pending[len(b.pending)-1], missing))
	}
	return out
}

// dropUnanswered removes requests that were not granted in time.
func (b *loanLedger) dropUnanswered(now Micros) {
	b.pending = slices.DeleteFunc(b.pending, func(l loan) bool { return now-l.askedAt > 2*b.period })
}

// grant grants or renews a loan and returns the messages to send. newLoan returns the amount of a new loan
// and the pool to lend from; mayRenew reports whether an existing loan from a pool may be renewed.
func (b *loanLedger) grant(now Micros, l loan, newLoan func() (float64, pool),
	mayRenew func(p pool) bool) (out []Message) {
	i := slices.IndexFunc(b.lent, func(x loan) bool { return x.id == l.id && x.peer == l.peer })
	if i < 0 {
		if l.amount, l.pool = newLoan(); l.amount <= 0 || len(b.lent) >= maxLoans {
			return nil
		}
		b.lent = append(b.lent, l)
		i = len(b.lent) - 1
	} else if !mayRenew(b.lent[i].pool) {
		return nil // the loan ends with its term
	}
	x := &b.lent[i] // recorded as lent before the borrower is told
	x.until, x.seq = max(x.until, now+b.lentTime()), l.seq
	return []Message{{To: l.peer, Data: b.encode(msgGrant, x, x.amount)}}
}

// acceptGrant handles the grant or renewal of a loan. It reports whether the loan was added or extended.
func (b *loanLedger) acceptGrant(now Micros, l loan, amount float64) bool {
	same := func(x loan) bool { return x.id == l.id && x.peer == l.peer }
	if i := slices.IndexFunc(b.borrowed, same); i >= 0 {
		x := &b.borrowed[i]
		if x.seq != l.seq || x.until <= now {
			return false
		}
		x.until = max(x.until, x.askedAt+b.useTime())
		return true
	}
	i := slices.IndexFunc(b.pending, same)
	if i < 0 || b.pending[i].seq != l.seq {
		return false
	}
	x := b.pending[i]
	b.pending = slices.Delete(b.pending, i, i+1)
	if x.amount, x.until = amount, x.askedAt+b.useTime(); x.until <= now {
		return false
	}
	b.borrowed, b.granted = append(b.borrowed, x), true
	return true
}

// endLoan handles the return of a loan.
func (b *loanLedger) endLoan(l loan) {
	b.lent = slices.DeleteFunc(b.lent, func(x loan) bool { return x.id == l.id && x.peer == l.peer })
}

// SavedLoan is a granted loan as one process hands it over to the next.
type SavedLoan struct {
	ID        uint64  `json:"id"`
	Peer      string  `json:"with"`
	Amount    float64 `json:"rate"`
	Remaining Micros  `json:"left"`
	Pool      uint8   `json:"part,omitempty"`
}

// saveLent returns the granted loans for the successor.
func (b *loanLedger) saveLent(now Micros) (lent []SavedLoan) {
	for _, l := range b.lent {
		lent = append(lent, SavedLoan{l.id, l.peer, l.amount, l.until - now, uint8(l.pool)})
	}
	return lent
}

// restoreLent adds the loans that another process has granted.
func (b *loanLedger) restoreLent(now Micros, lent []SavedLoan) {
	for _, l := range lent {
		b.lent = append(b.lent, loan{id: l.ID, peer: l.Peer, amount: l.Amount, until: now + l.Remaining,
			pool: min(pool(l.Pool), poolCount-1)})
	}
}

// stalest returns the time since the oldest borrowed loan was last granted.
func (b *loanLedger) stalest(now Micros) (age Micros) {
	for i := range b.borrowed {
		age = max(age, now-b.borrowed[i].askedAt)
	}
	return age
}
