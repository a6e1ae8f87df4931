// Package verdict keeps the decisions on data nodes, client prefixes and settings that apply to the whole
// fleet. It has a table that merges identically at every member, the gossip protocol that replicates it, and
// outlier detection by pooled evidence. The package does no I/O, reads no clock and starts no goroutine. The
// design is in docs/VERDICTS.md.
package verdict

import (
	"cmp"
	"encoding/binary"
	"errors"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Micros is a point in time or a duration in microseconds on a monotonic clock.
type Micros = int64

// Bounds of a table.
const (
	MaxEntries  = 4096 // entries, including tombstones
	MaxWhat     = 96   // bytes of a subject's name
	MaxBy       = 32
	MaxReason   = 56
	RetainEnded = 3600 * 1_000_000 // microseconds for which an entry is kept after its end
	counterBits = 16               // low bits of a stamp that are a counter; the others are milliseconds
)

// Kind is the kind of a verdict's subject.
type Kind uint8

// The kinds of subject.
const (
	Node   Kind = 1 + iota // a data node that operators have cordoned, by its ID in discovery
	Prefix                 // a prefix of client addresses
	// Setting is one member's value of a setting that all members have: What is NAME@MEMBER, Reason the value.
	Setting
	SickNode // a data node that is sick by pooled evidence, see OutlierDetector
	SickPath // a data node that is sick for the members of one zone: What is NODE@ZONE
)

// PrefixAction is what a verdict on a prefix does.
type PrefixAction uint8

// The actions on a prefix.
const (
	Ban PrefixAction = iota
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

// Errors of Issue.
var (
	ErrFull    = errors.New("no room for another verdict")
	ErrInvalid = errors.New("a name is missing or too long")
)

// Verdict is a decision on one subject.
type Verdict struct {
	Kind   Kind
	What   string
	Word   PrefixAction // only for a prefix
	On     bool         // false: withdrawn
	By     string
	Reason string
	Span   Micros // duration; 0: until it is withdrawn

	Stamp  uint64 // time of the hybrid logical clock
	Member string // member that issued it
}

// entry is a verdict in the table.
type entry struct {
	Verdict
	hash        uint32
	issuedAt    Micros          // local time at which it was issued
	applied     bool            // carried out here
	endReported bool            // its end was reported as a Change
	heldBy      map[string]bool // other members known to have applied it
}

// compareKeys orders verdicts by their subjects.
func compareKeys(a, b *Verdict) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), strings.Compare(a.What, b.What))
}

// supersedes reports whether a verdict takes precedence over another one on the same subject.
func (v *Verdict) supersedes(o *Verdict) bool {
	return v.Stamp > o.Stamp || v.Stamp == o.Stamp && v.Member > o.Member
}

// inForce reports whether the verdict is in force at an age.
func (v *Verdict) inForce(age Micros) bool { return v.On && (v.Span == 0 || age < v.Span) }

// Change is a verdict that has come into force or ended, and has to be carried out. Applied must then be
// called with the same verdict.
type Change struct {
	Verdict   Verdict
	InForce   bool
	Remaining Micros // remaining duration; 0: until it is withdrawn
}

// Table holds all verdicts that a member knows.
type Table struct {
	self    string
	clock   uint64
	entries []*entry // sorted by kind and name
	sum     uint64   // sum over the applied entries
	changes []Change
}

// NewTable returns an empty table for the member self.
func NewTable(self string) *Table { return &Table{self: self} }

func (t *Table) find(v *Verdict) (int, bool) {
	return slices.BinarySearchFunc(t.entries, v, func(e *entry,
		v *Verdict) int {
		return compareKeys(&e.Verdict, v)
	})
}

// Issue issues a verdict at this member. wall is its wall clock in milliseconds, which only orders verdicts
// that were issued without knowledge of each other.
func (t *Table) Issue(now Micros, wall int64, v Verdict) (Verdict, error) {
	if v.What == "" || len(v.What) > MaxWhat || len(v.By) > MaxBy || len(v.Reason) > MaxReason || v.Span < 0 {
		return v, ErrInvalid
	}
	t.clock = max(t.clock, uint64(max(0, wall))<<counterBits) + 1
	v.Stamp, v.Member = t.clock, t.self
	if !t.Merge(now, v, 0) {
		return v, ErrFull
	}
	return v, nil
}

// Merge adds a verdict of the given age. It reports whether the verdict was new.
func (t *Table) Merge(now Micros, v Verdict, age Micros) bool {
	t.clock = max(t.clock, v.Stamp)
	i, known := t.find(&v)
	if known {
		e := t.entries[i]
		if e.Stamp == v.Stamp && e.Member == v.Member {
			e.issuedAt = min(e.issuedAt, now-age)
			return false
		}
		if !v.supersedes(&e.Verdict) {
			return false
		}
	} else {
		if t.outdated(&v, age) || len(t.entries) >= MaxEntries && !t.makeRoom(now) {
			return false
		}
		i, _ = t.find(&v)
		t.entries = slices.Insert(t.entries, i, &entry{})
	}
	e := t.entries[i]
	if e.applied {
		t.sum -= e.sum()
	}
	*e = entry{Verdict: v, hash: hashOf(&v), issuedAt: now - age, heldBy: map[string]bool{}}
	e.endReported = !v.inForce(age)
	c := Change{Verdict: v, InForce: !e.endReported}
	if v.Span > 0 {
		c.Remaining = max(0, v.Span-age)
	}
	t.changes = append(t.changes, c)
	return true
}

// outdated reports whether an entry of an age no longer has to be kept.
func (t *Table) outdated(v *Verdict, age Micros) bool {
	if v.On && v.Span == 0 {
		return false
	}
	end := Micros(0)
	if v.On {
		end = v.Span
	}
	return age >= end+RetainEnded
}

// makeRoom removes the oldest entry that has ended, and returns false if none has.
func (t *Table) makeRoom(now Micros) bool {
	oldest := -1
	for i, e := range t.entries {
		if !e.inForce(now-e.issuedAt) && (oldest < 0 || e.issuedAt < t.entries[oldest].issuedAt) {
			oldest = i
		}
	}
	if oldest < 0 {
		return false
	}
	t.remove(oldest)
	return true
}

func (t *Table) remove(i int) {
	if e := t.entries[i]; e.applied {
		t.sum -= e.sum()
	}
	t.entries = slices.Delete(t.entries, i, i+1)
}

// Expire ends verdicts whose span is over, and removes outdated entries.
func (t *Table) Expire(now Micros) {
	for i := len(t.entries) - 1; i >= 0; i-- {
		e := t.entries[i]
		if t.outdated(&e.Verdict, now-e.issuedAt) {
			t.remove(i)
		} else if !e.endReported && !e.inForce(now-e.issuedAt) {
			e.endReported = true
			t.changes = append(t.changes, Change{Verdict: e.Verdict})
		}
	}
}

// TakeChanges returns and clears the changes that have to be carried out.
func (t *Table) TakeChanges() []Change {
	c := t.changes
	t.changes = nil
	return c
}

// Applied notes that a verdict, or its end, has been carried out at this member.
func (t *Table) Applied(v Verdict) {
	if i, ok := t.find(&v); ok {
		if e := t.entries[i]; e.Stamp == v.Stamp && e.Member == v.Member && !e.applied {
			e.applied = true
			t.sum += e.sum()
		}
	}
}

// Digest is a hash of all applied entries: two members with the same entries have the same digest. It is
// always odd.
func (t *Table) Digest() uint32 { return uint32(t.sum>>32) | 1 }

// Len returns the number of entries.
func (t *Table) Len() int { return len(t.entries) }

func hashOf(v *Verdict) uint32 {
	return uint32(xxhash.Sum64String(string(rune(v.Kind))+v.What) >> 32)
}

func (e *entry) sum() uint64 { return e.saltedSum(0) }

func (e *entry) saltedSum(salt uint32) uint64 {
	b := binary.LittleEndian.AppendUint32(nil, salt)
	b = binary.LittleEndian.AppendUint64(b, e.Stamp)
	b = append(append(append(b, byte(e.Kind)), e.What...), e.Member...)
	return xxhash.Sum64(b)
}

// Status is one verdict as operators see it.
type Status struct {
	Verdict
	Age    Micros
	HeldBy []string // members known to have applied it, including this one if it has
}

// InForce returns all verdicts that are in force.
func (t *Table) InForce(now Micros) []Status {
	var out []Status
	for _, e := range t.entries {
		if e.inForce(now - e.issuedAt) {
			out = append(out, t.status(now, e))
		}
	}
	return out
}

// Settings returns the members' values of a setting, by member.
func (t *Table) Settings(now Micros, name string) map[string]string {
	out := map[string]string{}
	for _, e := range t.entries {
		if what, by, ok := strings.Cut(e.What, "@"); ok && e.Kind == Setting && what == name &&
			by == e.Member && e.inForce(now-e.issuedAt) {
			out[by] = e.Reason
		}
	}
	return out
}

// Lookup returns the entry on a subject, whether in force or not.
func (t *Table) Lookup(now Micros, kind Kind, what string) (Status, bool) {
	i, ok := t.find(&Verdict{Kind: kind, What: what})
	if !ok {
		return Status{}, false
	}
	return t.status(now, t.entries[i]), true
}

func (t *Table) status(now Micros, e *entry) Status {
	l := Status{Verdict: e.Verdict, Age: now - e.issuedAt}
	for member := range e.heldBy {
		l.HeldBy = append(l.HeldBy, member)
	}
	if e.applied {
		l.HeldBy = append(l.HeldBy, t.self)
	}
	slices.Sort(l.HeldBy)
	return l
}

// Saved is a verdict with its age as one process hands it over to the next.
type Saved struct {
	Verdict
	Age Micros
}

// Snapshot returns the whole table.
func (t *Table) Snapshot(now Micros) []Saved {
	out := make([]Saved, 0, len(t.entries))
	for _, e := range t.entries {
		out = append(out, Saved{Verdict: e.Verdict, Age: now - e.issuedAt})
	}
	return out
}
