package quota

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"slices"
)

// pool is the origin of an amount. What a member owns comes from three pools, as each can be lost separately.
type part uint8

const (
	floor part = iota // always belongs to this member
	rest              // the rest of the own share, while this member holds its lease; see Leases
	taken             // the rest of dead members' shares, while this member holds their leases
	parts
)

// loan is a loan between two members, as one of them records it.
type loan struct {
	id    uint64
	with  string
	rate  float64 // requests per second, or units of a concurrency limit
	until Micros
	seq   uint32 // sequence number of the last request for it
	asked Micros // time at which that request was sent
	part  part   // at the lender: pool it is lent from
	open  int    // at the borrower of concurrency units: requests in flight on it
}

// loanBook records the loans of one member in one limit.
type book struct {
	id      uint64
	period  Micros
	hold    Micros // time for which a request admitted on a loan may continue after the loan has ended
	rng     *rand.PCG
	lent    []loan
	in      []loan
	pending []loan // requested, not granted yet
	seq     uint32
	width   int  // maximum number of members asked per period; reduced while nobody grants anything
	fruit   bool // a loan was granted since the last borrow
	entitled
}

// leaseWindows are the times in which a member may use the leased part of its own share and of others'.
type entitled struct {
	mine  window
	taken []window
}

// window is a time interval on the local clock.
type window struct{ from, until Micros }

func (w window) open(now Micros) bool { return now >= w.from && now < w.until }

// nextChange returns the next time at which the window begins or ends.
func (w window) next(now Micros) Micros {
	switch {
	case now < w.from && w.from < w.until:
		return w.from
	case now < w.until:
		return w.until
	}
	return math.MaxInt64
}

// setWindows sets the times in which this member holds its own lease and those of dead members.
func (b *book) entitle(mine window, others []window) { b.entitled = entitled{mine, others} }

// count returns how many members' amounts a pool comprises now.
func (e *entitled) count(p part, now Micros) (n int) {
	switch {
	case p == floor, p == rest && e.mine.open(now):
		return 1
	case p == taken:
		for _, w := range e.taken {
			if w.open(now) {
				n++
			}
		}
	}
	return n
}

// nextChange returns the next time at which count changes.
func (e *entitled) next(now Micros) Micros {
	at := e.mine.next(now)
	for _, w := range e.taken {
		at = min(at, w.next(now))
	}
	return at
}

// useTime is how long the borrower uses a loan at most, lentTime how long the lender counts it as lent at
// least, and startWait how long a process that does not know its predecessor's loans has to wait. They differ
// by the clock drift, so that a loan ends at the borrower first.
func (b *book) useFor() Micros  { return span(b.period, 1-2*Drift) }
func (b *book) outFor() Micros  { return span(b.period, 1+Drift) + held(b.hold) }
func (b *book) waitFor() Micros { return span(b.period, 1+3*Drift) + held(b.hold) }

// withDrift is the longest time on this clock for a duration measured on another member's clock.
func held(hold Micros) Micros { return Micros(float64(hold) * (1 + 3*Drift)) }

// expire removes the loans that have ended. A borrowed loan with requests in flight stays until they finish,
// but admits no more.
func (b *book) expire(now Micros) {
	b.lent = slices.DeleteFunc(b.lent, func(l loan) bool { return l.until <= now })
	b.in = slices.DeleteFunc(b.in, func(l loan) bool { return l.until <= now && l.open == 0 })
}

// lentFrom returns how much of a pool is lent.
func (b *book) out(p part) (sum float64) {
	for i := range b.lent {
		if b.lent[i].part == p {
			sum += b.lent[i].rate
		}
	}
	return sum
}

// nextExpiry returns the time at which the next loan ends.
func (b *book) nextEnd() Micros {
	at := Micros(math.MaxInt64)
	for i := range b.lent {
		at = min(at, b.lent[i].until)
	}
	for i := range b.in {
		if b.in[i].open == 0 {
			at = min(at, b.in[i].until)
		}
	}
	return at
}

// Message kinds. Format: kind, limit (8 bytes), loan (8), sequence number (4), amount (8).
const (
	msgAsk = 1 + iota
	msgGrant
	msgBack
	msgSize = 1 + 8 + 8 + 4 + 8
)

func (b *book) message(kind byte, l *loan, amount float64) []byte {
	d := binary.LittleEndian.AppendUint64([]byte{kind}, b.id)
	d = binary.LittleEndian.AppendUint64(d, l.id)
	d = binary.LittleEndian.AppendUint32(d, l.seq)
	return binary.LittleEndian.AppendUint64(d, math.Float64bits(amount))
}

// decode decodes a message. It returns false if the message is malformed or for another limit.
func (b *book) parse(from string, data []byte) (kind byte, l loan, amount float64, ok bool) {
	if id, ok := IDOf(data); !ok || id != b.id {
		return 0, loan{}, 0, false
	}
	l = loan{with: from, id: binary.LittleEndian.Uint64(data[9:]), seq: binary.LittleEndian.Uint32(data[17:])}
	amount = math.Float64frombits(binary.LittleEndian.Uint64(data[21:]))
	return data[0], l, amount, amount >= 0 && amount <= 1e12
}

// MessageLimitID returns the limit that a message is for, or false if it is not a message about a loan.
func IDOf(data []byte) (uint64, bool) {
	if len(data) != msgSize || data[0] < msgAsk || data[0] > msgBack {
		return 0, false
	}
	return binary.LittleEndian.Uint64(data[1:]), true
}

// request returns a request for a loan or its renewal.
func (b *book) ask(now Micros, l *loan, amount float64) Send {
	b.seq++
	l.seq, l.asked = b.seq, now
	return Send{To: l.with, Data: b.message(msgAsk, l, amount)}
}

// renew requests the renewal of loans early enough that a request can be repeated if the answer is lost.
func (b *book) renew(now Micros) (out []Send) {
	for i := range b.in {
		if l := &b.in[i]; now < l.until && l.until-now < span(b.period, renewAt) {
			out = append(out, b.ask(now, l, l.rate))
		}
	}
	return out
}

// borrow asks several members, each for the whole missing amount: most grant little, and an excess is
// returned later. The number of members asked depends on how many shares are missing.
func (b *book) borrow(now Micros, lacks, share float64, peers []string) (out []Send) {
	if len(peers) == 0 {
		return nil
	}
	first := int(b.rng.Uint64() % uint64(len(peers)))
	switch {
	case b.fruit || b.width == 0:
		b.width = min(mostAsks, max(leastAsks, 2*b.width))
	default:
		b.width = max(1, b.width/2)
	}
	b.fruit = false
	n := min(max(1, int(asksFor*lacks/max(share, 1e-9))), b.width, len(peers))
	for i := range min(n, mostLoans-len(b.in)-len(b.pending)) {
		b.pending = append(b.pending, loan{id: b.rng.Uint64(), with: peers[(first+i)%len(peers)]})
		out = append(out, b.ask(now, &b.pending[len(b.pending)-1], lacks))
	}
	return out
}

// dropUnanswered removes requests that were not granted in time.
func (b *book) forgetAsked(now Micros) {
	b.pending = slices.DeleteFunc(b.pending, func(l loan) bool { return now-l.asked > 2*b.period })
}

// grant grants or renews a loan and returns the messages to send. For a new loan, of returns the amount and
// the pool to lend from; for an existing one, may reports whether a loan from its pool may be renewed.
func (b *book) grant(now Micros, l loan, of func() (float64, part), may func(p part) bool) (out []Send) {
	i := slices.IndexFunc(b.lent, func(x loan) bool { return x.id == l.id && x.with == l.with })
	if i < 0 {
		if l.rate, l.part = of(); l.rate <= 0 || len(b.lent) >= mostLoans {
			return nil
		}
		b.lent = append(b.lent, l)
		i = len(b.lent) - 1
	} else if !may(b.lent[i].part) {
		return nil // the loan ends with its term
	}
	x := &b.lent[i] // recorded as lent before the borrower is told
	x.until, x.seq = max(x.until, now+b.outFor()), l.seq
	return []Send{{To: l.with, Data: b.message(msgGrant, x, x.rate)}}
}

// acceptGrant handles the grant or renewal of a loan. It reports whether the loan was added or extended.
func (b *book) granted(now Micros, l loan, amount float64) bool {
	same := func(x loan) bool { return x.id == l.id && x.with == l.with }
	if i := slices.IndexFunc(b.in, same); i >= 0 {
		x := &b.in[i]
		if x.seq != l.seq || x.until <= now {
			return false
		}
		x.until = max(x.until, x.asked+b.useFor())
		return true
	}
	i := slices.IndexFunc(b.pending, same)
	if i < 0 || b.pending[i].seq != l.seq {
		return false
	}
	x := b.pending[i]
	b.pending = slices.Delete(b.pending, i, i+1)
	if x.rate, x.until = amount, x.asked+b.useFor(); x.until <= now {
		return false
	}
	b.in, b.fruit = append(b.in, x), true
	return true
}

// endLoan handles the return of a loan.
func (b *book) back(l loan) {
	b.lent = slices.DeleteFunc(b.lent, func(x loan) bool { return x.id == l.id && x.with == l.with })
}

// SavedLoan is a granted loan as one process hands it over to the next.
type Lend struct {
	ID   uint64  `json:"id"`
	With string  `json:"with"`
	Rate float64 `json:"rate"`
	Left Micros  `json:"left"`
	Part uint8   `json:"part,omitempty"`
}

// saveLent returns the granted loans for the successor.
func (b *book) save(now Micros) (lent []Lend) {
	for _, l := range b.lent {
		lent = append(lent, Lend{l.id, l.with, l.rate, l.until - now, uint8(l.part)})
	}
	return lent
}

// restoreLent adds the loans that another process has granted.
func (b *book) inherit(now Micros, lent []Lend) {
	for _, l := range lent {
		b.lent = append(b.lent, loan{id: l.ID, with: l.With, rate: l.Rate, until: now + l.Left,
			part: min(part(l.Part), parts-1)})
	}
}

// stalest returns the time since the oldest borrowed loan was last granted.
func (b *book) stalest(now Micros) (stale Micros) {
	for i := range b.in {
		stale = max(stale, now-b.in[i].asked)
	}
	return stale
}
