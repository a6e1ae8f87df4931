// Package verdict keeps what is said of data nodes and the like for the whole fleet: one table that merges
// the same at every member, and the rules by which members tell one another. It does no input or output,
// reads no clock and starts no goroutine. docs/VERDICTS.md has the design.
package verdict

import (
	"cmp"
	"encoding/binary"
	"errors"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Micros is a time or a span in microseconds, of a clock that only goes forward.
type Micros = int64

// Bounds of a table.
const (
	Most       = 4096 // entries, tombstones among them
	MaxWhat    = 96   // bytes of a name
	MaxBy      = 32
	MaxReason  = 56
	KeepEnded  = 3600 * 1_000_000 // us that an entry is kept after its end
	counterBit = 16               // of a stamp: the lower bits count, the others are milliseconds
)

// Kind is what sort of thing a verdict is on.
type Kind uint8

// The kinds of thing.
const (
	Node   Kind = 1 + iota // a data node, by discovery's id
	Prefix                 // of clients' addresses
	// Setting is a member's own settings of something that all have: What is NAME@MEMBER, Reason the text.
	Setting
	SickNode // a data node that members have found sick, see Jury
	SickPath // the same for the members of a zone: What is NODE@ZONE
)

// Word is what a verdict on a prefix says.
type Word uint8

// The words on a prefix.
const (
	Ban Word = iota
	Pin
)

func (v *Verdict) String() string {
	switch {
	case v.Kind == Prefix && v.Word == Pin:
		return "prefix_pinned"
	case v.Kind == Prefix:
		return "prefix_banned"
	case v.Kind == Setting:
		return "setting"
	case v.Kind == SickNode:
		return "node_sick"
	case v.Kind == SickPath:
		return "path_sick"
	}
	return "node_out"
}

// Errors of Say.
var (
	ErrFull    = errors.New("no room for another verdict")
	ErrInvalid = errors.New("a name is missing or too long")
)

// Verdict is what is said of one thing.
type Verdict struct {
	Kind   Kind
	What   string
	Word   Word // on a prefix
	On     bool // false: taken back
	By     string
	Reason string
	Span   Micros // for how long it holds; 0: until it is taken back

	Stamp  uint64 // of the hybrid logical clock
	Member string // that gave it
}

// entry is a verdict as it is held here.
type entry struct {
	Verdict
	hash    uint32
	born    Micros // when it was given, by the clock here
	applied bool   // carried out here
	ended   bool   // its end was told here
	held    map[string]bool
}

// key orders things.
func compareKeys(a, b *Verdict) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), strings.Compare(a.What, b.What))
}

// after tells that a verdict outranks another on the same thing.
func (v *Verdict) after(o *Verdict) bool {
	return v.Stamp > o.Stamp || v.Stamp == o.Stamp && v.Member > o.Member
}

// holds tells that it is in force at an age.
func (v *Verdict) holds(age Micros) bool { return v.On && (v.Span == 0 || age < v.Span) }

// Change tells that something is in force, or not any more, and has to be carried out; then Applied has to be
// called with the same verdict.
type Change struct {
	Verdict   Verdict
	InForce   bool
	Remaining Micros // for how much longer; 0: until it is taken back
}

// Table is all verdicts that a member knows.
type Table struct {
	self    string
	clock   uint64
	entries []*entry // by kind and name
	sum     uint64   // over what is applied
	changes []Change
}

// NewTable returns an empty table of a member.
func NewTable(self string) *Table { return &Table{self: self} }

func (t *Table) find(v *Verdict) (int, bool) {
	return slices.BinarySearchFunc(t.entries, v, func(e *entry,
		v *Verdict) int {
		return compareKeys(&e.Verdict, v)
	})
}

// Issue gives a verdict at this member. wall is its wall clock in milliseconds, which only orders verdicts that
// do not know of one another.
func (t *Table) Issue(now Micros, wall int64, v Verdict) (Verdict, error) {
	if v.What == "" || len(v.What) > MaxWhat || len(v.By) > MaxBy || len(v.Reason) > MaxReason || v.Span < 0 {
		return v, ErrInvalid
	}
	t.clock = max(t.clock, uint64(max(0, wall))<<counterBit) + 1
	v.Stamp, v.Member = t.clock, t.self
	if !t.Merge(now, v, 0) {
		return v, ErrFull
	}
	return v, nil
}

// Merge takes in a verdict of an age. It returns whether that was news.
func (t *Table) Merge(now Micros, v Verdict, age Micros) bool {
	t.clock = max(t.clock, v.Stamp)
	i, known := t.find(&v)
	if known {
		e := t.entries[i]
		if e.Stamp == v.Stamp && e.Member == v.Member {
			e.born = min(e.born, now-age)
			return false
		}
		if !v.after(&e.Verdict) {
			return false
		}
	} else {
		if t.over(&v, age) || len(t.entries) >= Most && !t.makeRoom(now) {
			return false
		}
		i, _ = t.find(&v)
		t.entries = slices.Insert(t.entries, i, &entry{})
	}
	e := t.entries[i]
	if e.applied {
		t.sum -= e.sum()
	}
	*e = entry{Verdict: v, hash: hashOf(&v), born: now - age, held: map[string]bool{}}
	e.ended = !v.holds(age)
	c := Change{Verdict: v, InForce: !e.ended}
	if v.Span > 0 {
		c.Remaining = max(0, v.Span-age)
	}
	t.changes = append(t.changes, c)
	return true
}

// over tells that an entry of an age is not to be kept any more.
func (t *Table) over(v *Verdict, age Micros) bool {
	if v.On && v.Span == 0 {
		return false
	}
	end := Micros(0)
	if v.On {
		end = v.Span
	}
	return age >= end+KeepEnded
}

// makeRoom drops the entry that has ended longest ago.
func (t *Table) makeRoom(now Micros) bool {
	oldest := -1
	for i, e := range t.entries {
		if !e.holds(now-e.born) && (oldest < 0 || e.born < t.entries[oldest].born) {
			oldest = i
		}
	}
	if oldest < 0 {
		return false
	}
	t.drop(oldest)
	return true
}

func (t *Table) drop(i int) {
	if e := t.entries[i]; e.applied {
		t.sum -= e.sum()
	}
	t.entries = slices.Delete(t.entries, i, i+1)
}

// Expire ends what has lasted its span, and drops what has been over for long.
func (t *Table) Expire(now Micros) {
	for i := len(t.entries) - 1; i >= 0; i-- {
		e := t.entries[i]
		if t.over(&e.Verdict, now-e.born) {
			t.drop(i)
		} else if !e.ended && !e.holds(now-e.born) {
			e.ended = true
			t.changes = append(t.changes, Change{Verdict: e.Verdict})
		}
	}
}

// Take hands over what has to be carried out.
func (t *Table) Take() []Change {
	c := t.changes
	t.changes = nil
	return c
}

// Applied tells that a verdict, or its end, is carried out at this member.
func (t *Table) Applied(v Verdict) {
	if i, ok := t.find(&v); ok {
		if e := t.entries[i]; e.Stamp == v.Stamp && e.Member == v.Member && !e.applied {
			e.applied = true
			t.sum += e.sum()
		}
	}
}

// Digest stands for all that is carried out here: equal at two members that hold the same. It is never 0.
func (t *Table) Digest() uint32 { return uint32(t.sum>>32) | 1 }

// Len is how many entries there are.
func (t *Table) Len() int { return len(t.entries) }

func hashOf(v *Verdict) uint32 {
	return uint32(xxhash.Sum64String(string(rune(v.Kind))+v.What) >> 32)
}

func (e *entry) sum() uint64 { return e.salted(0) }

func (e *entry) salted(salt uint32) uint64 {
	b := binary.LittleEndian.AppendUint32(nil, salt)
	b = binary.LittleEndian.AppendUint64(b, e.Stamp)
	b = append(append(append(b, byte(e.Kind)), e.What...), e.Member...)
	return xxhash.Sum64(b)
}

// Status is one verdict as operators see it.
type Status struct {
	Verdict
	Age    Micros
	HeldBy []string // members that are known to hold it, this one among them if it does
}

// InForce are all verdicts that are in force.
func (t *Table) InForce(now Micros) []Status {
	var out []Status
	for _, e := range t.entries {
		if e.holds(now - e.born) {
			out = append(out, t.line(now, e))
		}
	}
	return out
}

// Settings are what members have said of a thing of theirs, by member.
func (t *Table) Settings(now Micros, name string) map[string]string {
	out := map[string]string{}
	for _, e := range t.entries {
		if what, by, ok := strings.Cut(e.What, "@"); ok && e.Kind == Setting && what == name &&
			by == e.Member && e.holds(now-e.born) {
			out[by] = e.Reason
		}
	}
	return out
}

// Lookup is the entry on a thing, in force or not.
func (t *Table) Lookup(now Micros, kind Kind, what string) (Status, bool) {
	i, ok := t.find(&Verdict{Kind: kind, What: what})
	if !ok {
		return Status{}, false
	}
	return t.line(now, t.entries[i]), true
}

func (t *Table) line(now Micros, e *entry) Status {
	l := Status{Verdict: e.Verdict, Age: now - e.born}
	for who := range e.held {
		l.HeldBy = append(l.HeldBy, who)
	}
	if e.applied {
		l.HeldBy = append(l.HeldBy, t.self)
	}
	slices.Sort(l.HeldBy)
	return l
}

// Saved is a verdict with its age, as one process hands it to the next.
type Saved struct {
	Verdict
	Age Micros
}

// Snapshot is the whole table.
func (t *Table) Snapshot(now Micros) []Saved {
	out := make([]Saved, 0, len(t.entries))
	for _, e := range t.entries {
		out = append(out, Saved{Verdict: e.Verdict, Age: now - e.born})
	}
	return out
}
