package quota

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"slices"
)

// part is where an amount comes from: what a member owns has three parts, as they may be lost on their own.
type part uint8

const (
	floor part = iota // never another's, whatever happens
	rest              // the member's own while a majority says so, see Tenure
	taken             // that of members that are gone, while a majority says so
	parts
)

// loan is one between two members.
type loan struct {
	id    uint64
	with  string
	rate  float64 // or how many at a time
	until Micros
	seq   uint32 // of the last request for it
	asked Micros // and when that was sent
	part  part   // of a lender: out of what
	open  int    // of a borrower, where requests are counted while they are open: how many go on it
}

// book is the loans of one member in one limit: who has how much of whose, and until when.
type book struct {
	id      uint64
	period  Micros
	hold    Micros // for how long what was let in on a loan may go on after its end
	rng     *rand.PCG
	lent    []loan
	in      []loan
	pending []loan // asked for, not granted yet
	seq     uint32
	width   int  // how many are asked a period at the most: fewer while nobody has any to spare
	fruit   bool // something was granted since the last time
	entitled
}

// entitled is what a member may use beside the floor, and until when: its own rest, and that of others.
type entitled struct {
	mine  window
	taken []window
}

// window is a time, by the clock here.
type window struct{ from, until Micros }

func (w window) open(now Micros) bool { return now >= w.from && now < w.until }

// next is when the window opens or closes next.
func (w window) next(now Micros) Micros {
	switch {
	case now < w.from && w.from < w.until:
		return w.from
	case now < w.until:
		return w.until
	}
	return math.MaxInt64
}

// entitle takes in until when this member has its own rest, and those of others that are gone.
func (b *book) entitle(mine window, others []window) { b.entitled = entitled{mine, others} }

// count is how many members' rests a part stands for now.
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

// next is when that changes.
func (e *entitled) next(now Micros) Micros {
	at := e.mine.next(now)
	for _, w := range e.taken {
		at = min(at, w.next(now))
	}
	return at
}

// term is how long a loan is in use at the borrower at the most, and how long it is out at the lender at the
// least; and how long who does not know what was lent before has to wait.
func (b *book) useFor() Micros  { return span(b.period, 1-2*Drift) }
func (b *book) outFor() Micros  { return span(b.period, 1+Drift) + held(b.hold) }
func (b *book) waitFor() Micros { return span(b.period, 1+3*Drift) + held(b.hold) }

// held is for how long what may go on so long by another clock may do so by this one.
func held(hold Micros) Micros { return Micros(float64(hold) * (1 + 3*Drift)) }

// expire drops the loans that are over. A loan here on which requests are still open stays until they end,
// but lets no more in.
func (b *book) expire(now Micros) {
	b.lent = slices.DeleteFunc(b.lent, func(l loan) bool { return l.until <= now })
	b.in = slices.DeleteFunc(b.in, func(l loan) bool { return l.until <= now && l.open == 0 })
}

// out is how much of a part is lent.
func (b *book) out(p part) (sum float64) {
	for i := range b.lent {
		if b.lent[i].part == p {
			sum += b.lent[i].rate
		}
	}
	return sum
}

// nextEnd is when the next loan ends.
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

// The kinds of message: kind, limit (8), loan (8), request (4), amount (8).
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

// parse takes a message apart. False: it is none, or of another limit.
func (b *book) parse(from string, data []byte) (kind byte, l loan, amount float64, ok bool) {
	if id, ok := MessageLimitID(data); !ok || id != b.id {
		return 0, loan{}, 0, false
	}
	l = loan{with: from, id: binary.LittleEndian.Uint64(data[9:]), seq: binary.LittleEndian.Uint32(data[17:])}
	amount = math.Float64frombits(binary.LittleEndian.Uint64(data[21:]))
	return data[0], l, amount, amount >= 0 && amount <= 1e12
}

// MessageLimitID is the limit that a message concerns; false: it is none.
func MessageLimitID(data []byte) (uint64, bool) {
	if len(data) != msgSize || data[0] < msgAsk || data[0] > msgBack {
		return 0, false
	}
	return binary.LittleEndian.Uint64(data[1:]), true
}

// ask makes a request for a loan, or for it to go on.
func (b *book) ask(now Micros, l *loan, amount float64) Message {
	b.seq++
	l.seq, l.asked = b.seq, now
	return Message{To: l.with, Data: b.message(msgAsk, l, amount)}
}

// renew asks for loans to go on, in time, so that a lost answer can be asked for once more.
func (b *book) renew(now Micros) (out []Message) {
	for i := range b.in {
		if l := &b.in[i]; now < l.until && l.until-now < span(b.period, renewAt) {
			out = append(out, b.ask(now, l, l.rate))
		}
	}
	return out
}

// borrow asks some others, each for all that lacks: most grant little, and what is too much goes back by
// itself. How many are asked goes by how many shares lack.
func (b *book) borrow(now Micros, lacks, share float64, peers []string) (out []Message) {
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

// forgetAsked drops requests that nobody has granted in time.
func (b *book) forgetAsked(now Micros) {
	b.pending = slices.DeleteFunc(b.pending, func(l loan) bool { return now-l.asked > 2*b.period })
}

// grant lends, or has a loan go on, and returns what is to be sent. of says how much there is to lend and of
// what part, where the loan is new; may, whether one of a part may go on.
func (b *book) grant(now Micros, l loan, of func() (float64, part), may func(p part) bool) (out []Message) {
	i := slices.IndexFunc(b.lent, func(x loan) bool { return x.id == l.id && x.with == l.with })
	if i < 0 {
		if l.rate, l.part = of(); l.rate <= 0 || len(b.lent) >= mostLoans {
			return nil
		}
		b.lent = append(b.lent, l)
		i = len(b.lent) - 1
	} else if !may(b.lent[i].part) {
		return nil // it ends at its term
	}
	x := &b.lent[i] // it is out before it is granted
	x.until, x.seq = max(x.until, now+b.outFor()), l.seq
	return []Message{{To: l.with, Data: b.message(msgGrant, x, x.rate)}}
}

// granted takes in that a loan was. It returns whether there is more now than before.
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

// back takes in that a loan was given back.
func (b *book) back(l loan) {
	b.lent = slices.DeleteFunc(b.lent, func(x loan) bool { return x.id == l.id && x.with == l.with })
}

// SavedLoan is a loan that is out, as one process hands it to the next.
type SavedLoan struct {
	ID   uint64  `json:"id"`
	With string  `json:"with"`
	Rate float64 `json:"rate"`
	Left Micros  `json:"left"`
	Part uint8   `json:"part,omitempty"`
}

// save is what is lent, for the next process.
func (b *book) save(now Micros) (lent []SavedLoan) {
	for _, l := range b.lent {
		lent = append(lent, SavedLoan{l.id, l.with, l.rate, l.until - now, uint8(l.part)})
	}
	return lent
}

// inherit takes over what another process has lent.
func (b *book) inherit(now Micros, lent []SavedLoan) {
	for _, l := range lent {
		b.lent = append(b.lent, loan{id: l.ID, with: l.With, rate: l.Rate, until: now + l.Left,
			part: min(part(l.Part), parts-1)})
	}
}

// stalest is how long ago the oldest loan here was last granted.
func (b *book) stalest(now Micros) (stale Micros) {
	for i := range b.in {
		stale = max(stale, now-b.in[i].asked)
	}
	return stale
}
