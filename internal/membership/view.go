// Package membership implements one member's view of the fleet: which members are alive, suspect, dead or
// have left. All membership rules live here. The package is deterministic: it performs no I/O, reads no clock
// and starts no goroutine. Datagrams and the current time are passed in; datagrams to send, state changes and
// received application messages are returned. The same inputs and seed produce byte-identical outputs.
//
// The protocol is based on SWIM (Das, Gupta, Motivala: DSN 2002) with local health as in Lifeguard (Dadgar,
// Phillips, Currey: DSN-W 2018). docs/FLEET.md lists the differences and the reasons for them.
package membership

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math/bits"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Micros is a time or a duration in microseconds on a monotonic clock.
type Micros = int64

// State is the known state of a member.
type State uint8

// The states of a member. Suspect is a form of Alive: it is reported but not part of the digest.
const (
	Alive State = iota
	Suspect
	Dead
	Left
)

func (s State) String() string { return [...]string{"alive", "suspect", "dead", "left"}[s] }

// Protocol limits. docs/FLEET.md derives the resulting time and traffic bounds.
const (
	slots       = 3  // per period
	helpersMost = 3  // members asked to probe another member indirectly
	watchers    = 5  // members notified of a suspect, chosen by rendezvous hashing
	votesMost   = 3  // upper bound of the quorum for a death
	watchMost   = 8  // concurrent watches started by this member's own failed probes
	agreeMost   = 24 // concurrent watches including those that verify others' votes
	extraMost   = 72 // datagrams per period for all watches, so that suspicion does not become a load of its own
	healthMost  = 8
	newsFactor  = 3  // each update is sent this many times log2(n+1) times
	syncMost    = 32 // anti-entropy datagrams per period
	pushMost    = 4  // additional datagrams per period while unsent updates pile up
	joinCalls   = 3  // addresses contacted per period while joining
	claimFor    = 6  // periods to wait for another process with this member's name to answer
	joinFor     = 5  // periods after which a member that gets no answer starts alone
	closeAge    = 2  // periods; if two processes with one name started this close together, the births decide

	// ForgetLeft and ForgetDead are the periods after which members that left or died are forgotten.
	ForgetLeft = 1_500
	ForgetDead = 18_000

	// MaxName and MaxZone are the maximum lengths of member and zone names, in bytes.
	MaxName = 40
	MaxZone = 24
)

// silencePeriods is the number of periods a member must have been silent before its watcher votes for its
// death, indexed by the quorum: with fewer voters each has to observe the silence for longer.
var silence = [votesMost + 1]Micros{0, 8, 5, 3}

// Config is the configuration of a View.
type Config struct {
	Name, Zone string
	Addr       netip.AddrPort // address at which other members reach this one
	Birth      uint64         // random identity of this process, not 0
	Seed       uint64
	Period     Micros
	Settings
	Ablate Ablation
}

// Settings are the parts of the configuration that can change at run time.
type Settings struct {
	Join   []netip.AddrPort          // addresses of other members to contact
	Route  map[string]netip.AddrPort // addresses that override a member's own, by name
	Roster []string                  // allowed member names; empty: any name, up to Most members
	Most   int                       // maximum number of members including this one
	Stamp  uint32                    // hash of the settings that must be equal on all members; sent to them
}

// Ablation disables parts of the protocol, for comparison runs only.
type Ablation struct {
	Suspicion bool // a failed probe declares the member dead at once
	Health    bool // ignores this process's own slowness and stalls
	Sync      bool // disables anti-entropy
	Equal     bool // deliberate fault for the model checker: a refutation reuses the incarnation it refutes
}

// Member is one member as this view sees it.
type Member struct {
	Name, Zone string
	Addr       netip.AddrPort
	State      State
	Birth      uint64
	Inc        uint32
	Since      Micros // start of the current state
	Stamp      uint32 // its Settings.Stamp; 0: not received yet
	App        uint32 // value it last set with SetAppTag; 0: none received yet
}

// Datagram is an outgoing datagram. Data is not sealed yet.
type Send struct {
	To   netip.AddrPort
	Data []byte
}

// Change reports a state change of a member.
type Change struct {
	Member Member
	Was    State
	First  bool // the member was not known before
	Gone   bool // the member was removed from the view
}

// AppMessage is a message that another member sent with SendApp.
type Heard struct {
	From string
	Kind byte
	Data []byte
}

// Conflict describes another running process with this member's name.
type Conflict struct {
	Addr    netip.AddrPort
	Birth   uint64
	Refused bool // this process started later and must not serve
}

// DropReason is the reason for which a datagram was dropped.
type Reason uint8

// The reasons for dropping a datagram. Failures to unseal a datagram are counted by the caller.
const (
	Malformed Reason = iota // not a message of this protocol
	Replayed                // already received, or too old for the replay window
	Unknown                 // from a process that is not a member and does not identify itself
	Stranger                // not in the roster, or the view is full
	Echo                    // sent by this process itself
	reasons
)

// DropReasonNames are the names of the reasons, as shown to operators.
var ReasonNames = [reasons]string{"malformed", "replayed", "unknown", "stranger", "echo"}

// Stats are counters since the start.
type Figures struct {
	Sent, Received  int64
	SentBytes       int64
	Dropped         [reasons]int64
	Probes, Failed  int64 // scheduled probes, and those that got no answer within a period
	Votes           int64 // cast by this member
	Refuted         int64 // accusations of this member that it refuted
	Syncs           int64 // anti-entropy rounds started because digests differed
	Health          int   // local health score; 0 is healthy, 8 the worst
	TurnedDown      int64 // times that another member rejected this one
	Stalls, Rejoins int64 // times that this process was stalled, and that it had to rejoin
}

// member is the state kept for another member.
type member struct {
	record
	key     uint32 // position in the digest tree
	sum     uint64 // its contribution to the digest
	since   Micros
	ended   Micros // when the member died or left
	suspect bool
	votes   []uint32 // who voted this birth and incarnation dead, by the lower 32 bits of their births
	acked   Micros   // send time of the last probe that it answered; 0: none
	met     bool     // it has answered this process, and so has its record
	told    bool     // it was sent the accusation of its current incarnation
	stamp   uint32
	app     uint32
	window  window
	helper  uint64 // birth of the helper whose indirect probe last reached it
}

func (m *member) shown() Member {
	s := m.state
	if s == Alive && m.suspect {
		s = Suspect
	}
	return Member{Name: m.name, Zone: m.zone, Addr: m.addr, State: s, Birth: m.birth, Inc: m.inc,
		Since: m.since, Stamp: m.stamp, App: m.app}
}

// replayWindow rejects repeated datagrams. It keeps the highest sequence number received and a bitmap of the
// last 64 numbers.
type window struct {
	top  uint64
	seen uint64
}

// accept reports whether a sequence number is new, and records it.
func (w *window) fresh(n uint64) bool {
	switch {
	case n > w.top:
		if d := n - w.top; d < 64 {
			w.seen = w.seen<<d | 1
		} else {
			w.seen = 1
		}
		w.top = n
		return true
	case w.top-n >= 64 || w.seen>>(w.top-n)&1 == 1:
		return false
	}
	w.seen |= 1 << (w.top - n)
	return true
}

// probe is an outstanding probe.
type probe struct {
	id     uint32
	birth  uint64
	sent   Micros
	round  bool   // scheduled probe: its failure counts
	grace  Micros // time by which this process itself has been late since
	asked  int    // helpers asked
	nacked int    // helpers that could not reach the member either
	origin uint64 // member that requested this probe; 0: this one
	forID  uint32 // ID of that request
}

// watch monitors a member that stopped answering this one.
type watch struct {
	birth  uint64
	since  Micros // start of the silence
	agree  bool   // started by others' votes: it only verifies them
	voted  bool
	tries  int // probes sent so far
	helper int // position in the rotation over helpers
}

// claim is the attempt to contact another process with this member's name.
type claim struct {
	rival record
	since Micros
}

// candidate is a process that must answer a probe of its address before it is admitted.
type newcomer struct {
	record
	id  uint32
	at  Micros
	num uint64 // sequence number of its datagram: older ones are rejected after admission
}

// View is one member's view of the fleet.
type View struct {
	cfg     Config
	rng     *rand.PCG
	self    record
	begun   Micros
	now     Micros
	slotAt  Micros // start of the next slot
	slot    int
	seq     uint64
	list    []*member // sorted by name
	births  map[uint64]*member
	round   []uint64 // births in probe order
	probes  []probe
	watches []watch
	news    news
	digest  uint64
	health  int

	counted  bool // aliveCount and trustedCount are up to date
	alives   int
	trusteds int

	changed  Micros // time of the last digest change
	syncAt   Micros
	syncFrom Micros
	syncLeft int
	extra    int // datagrams that watches may still send in this period
	joining  bool
	joinIDs  [2]uint32 // IDs of the join requests of this and the previous period
	joinAt   Micros
	turn     int // position in probeOrder
	leftAt   Micros
	rivals   int    // times that this process superseded the same rival, which seems to be running
	rivalOf  uint64 // birth of that rival
	claim    *claim
	conflict *Conflict
	left     bool
	app      uint32 // sent with each datagram
	knocks   []newcomer

	out     []Send
	changes []Change
	heard   []Heard
	figures Figures
}

// validate returns the first error in the configuration.
func (c *Config) check() error {
	switch {
	case c.Name == "" || len(c.Name) > MaxName:
		return fmt.Errorf("membership: name must have 1 to %d bytes", MaxName)
	case len(c.Zone) > MaxZone:
		return fmt.Errorf("membership: zone must have at most %d bytes", MaxZone)
	case c.Birth == 0:
		return errors.New("membership: birth must not be 0")
	case c.Period < 3_000:
		return errors.New("membership: period must be at least 3 ms")
	case !c.Addr.IsValid():
		return errors.New("membership: address is missing")
	case len(c.Roster) > 0 && !slices.Contains(c.Roster, c.Name):
		return errors.New("membership: roster does not contain this member")
	case len(c.Roster) == 0 && c.Most < 1:
		return errors.New("membership: no room for any member: neither roster nor maximum set")
	}
	return nil
}

// New returns the view of a member that knows no other member yet.
func New(cfg Config, now Micros) (*View, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	v := &View{cfg: cfg, rng: rand.NewPCG(cfg.Seed, cfg.Birth), begun: now, now: now,
		births: map[uint64]*member{}, joining: true, joinAt: now}
	v.self = record{name: cfg.Name, zone: cfg.Zone, addr: cfg.Addr, birth: cfg.Birth}
	v.slotAt = now
	v.digest = v.self.sum()
	return v, nil
}

// Configure applies new settings. Members that are no longer in the roster are removed.
func (v *View) Configure(s Settings) {
	v.cfg.Settings = s
	for i := len(v.list) - 1; i >= 0; i-- {
		if !v.welcome(v.list[i].name) {
			v.forget(v.list[i])
		}
	}
}

// allowsName reports whether a name may be in the view.
func (v *View) welcome(name string) bool {
	return len(v.cfg.Roster) == 0 || slices.Contains(v.cfg.Roster, name)
}

// maxMembers is the maximum number of members including this one.
func (v *View) most() int {
	if n := len(v.cfg.Roster); n > 0 {
		return n
	}
	return v.cfg.Most
}

// randN returns a random number below n.
func (v *View) rand(n int) int { return int(v.rng.Uint64() % uint64(n)) }

// NextTick returns the time at which Tick next has work to do.
func (v *View) Next() Micros { return v.slotAt }

// Joined reports whether this member has an incarnation: it was admitted, or started alone.
func (v *View) Joined() bool { return !v.joining }

// Conflict returns the other process with this member's name, or nil.
func (v *View) Refused() *Conflict { return v.conflict }

// Self returns this member.
func (v *View) Self() Member {
	s := Alive
	if v.left {
		s = Left
	}
	return Member{Name: v.self.name, Zone: v.self.zone, Addr: v.self.addr, State: s, Birth: v.self.birth,
		Inc: v.self.inc, Since: v.begun, Stamp: v.cfg.Stamp}
}

// Members returns all known members including this one, sorted by name.
func (v *View) Members() []Member {
	out := make([]Member, 0, len(v.list)+1)
	for _, m := range v.list {
		out = append(out, m.shown())
	}
	at, _ := slices.BinarySearchFunc(out, v.self.name, func(m Member, n string) int {
		return strings.Compare(m.Name, n)
	})
	return slices.Insert(out, at, v.Self())
}

// SetAppTag sets a value of the application that is sent with each datagram. Other members see it as
// Member.AppTag.
func (v *View) Tell(app uint32) { v.app = app }

// Digest returns a hash of the view: members with equal views have equal digests.
func (v *View) Digest() uint64 { return v.digest }

// Stats returns the counters so far.
func (v *View) Figures() Figures {
	f := v.figures
	f.Health = v.health
	return f
}

// TakeOutput returns the datagrams to send, the state changes and the application messages received since the
// last call. The caller owns the slices.
func (v *View) Take() ([]Send, []Change, []Heard) {
	s, c, h := v.out, v.changes, v.heard
	v.out, v.changes, v.heard = nil, nil, nil
	return s, c, h
}

// find returns a member by name, or nil.
func (v *View) find(name string) *member {
	i, ok := v.place(name)
	if !ok {
		return nil
	}
	return v.list[i]
}

func (v *View) place(name string) (int, bool) {
	return slices.BinarySearchFunc(v.list, name, func(m *member, n string) int {
		return strings.Compare(m.name, n)
	})
}

// liveCounts returns the number of members that are neither dead nor have left, including this one, and how
// many of them are neither suspect nor being watched.
func (v *View) alive() (alive, trusted int) {
	if !v.counted {
		v.counted, v.alives, v.trusteds = true, 1, 1
		for _, m := range v.list {
			if m.state == Alive {
				v.alives++
				if !m.suspect && v.watching(m.birth) == nil {
					v.trusteds++
				}
			}
		}
	}
	return v.alives, v.trusteds
}

// Quorum returns the number of votes needed to declare a member dead, given the number of trusted members
// besides the accused.
func Quorum(trusted int) int { return min(votesMost, trusted/2+1) }

// SilencePeriods returns the number of periods of silence that a watcher must observe before it votes.
func Silence(quorum int) Micros { return silence[quorum] }

// setRecord stores a record as the current one for its name and reports the change.
func (v *View) set(r record, ended Micros) *member {
	m := v.find(r.name)
	first := m == nil
	v.counted = false
	var was Member
	if first {
		if !v.room() {
			v.figures.Dropped[Stranger]++
			return nil
		}
		m = &member{key: treeKey(r.name)}
		i, _ := v.place(r.name)
		v.list = slices.Insert(v.list, i, m)
	} else {
		was = m.shown()
		delete(v.births, m.birth)
		v.digest -= m.sum
	}
	if m.birth != r.birth {
		v.unwatch(m.birth)
		*m = member{key: m.key, stamp: m.stamp}
	}
	if m.birth != r.birth || m.inc != r.inc || r.state != Alive {
		m.votes, m.told = nil, false
		m.suspect = false
	}
	if r.state != Alive {
		m.ended = ended
		v.unwatch(r.birth)
	}
	m.record = r
	m.sum = r.sum()
	v.digest += m.sum
	v.births[r.birth] = m
	v.changed = v.now
	if now := m.shown(); first || now.State != was.State || now.Birth != was.Birth {
		m.since = v.now
		if r.state != Alive {
			m.since = ended
		}
		v.changes = append(v.changes, Change{Member: m.shown(), Was: was.State, First: first})
	}
	if r.state == Alive {
		if i := slices.Index(v.round, r.birth); i < 0 { // inserted at a random position: SWIM, 4.3
			v.round = slices.Insert(v.round, v.rand(len(v.round)+1), r.birth)
		}
	}
	return m
}

// setSuspect marks a member as suspect or clears the mark.
func (v *View) doubt(m *member, on bool) {
	if m.suspect == on || m.state != Alive {
		return
	}
	was := m.shown().State
	v.counted = false
	m.suspect, m.since = on, v.now
	v.changes = append(v.changes, Change{Member: m.shown(), Was: was})
}

// makeRoom reports whether one more member can be stored. If the view is full, it evicts the member that died
// or left first.
func (v *View) room() bool {
	if len(v.list)+1 < v.most() {
		return true
	}
	var oldest *member
	for _, m := range v.list {
		if m.state != Alive && (oldest == nil || m.ended < oldest.ended) {
			oldest = m
		}
	}
	if oldest == nil {
		return false
	}
	v.forget(oldest)
	return true
}

// forget removes a member from the view.
func (v *View) forget(m *member) {
	v.digest -= m.sum
	v.changed, v.counted = v.now, false
	delete(v.births, m.birth)
	v.unwatch(m.birth)
	if i, ok := v.place(m.name); ok {
		v.list = slices.Delete(v.list, i, i+1)
	}
	v.changes = append(v.changes, Change{Member: m.shown(), Was: m.shown().State, Gone: true})
}

// setOwnIncarnation changes this member's incarnation and announces it.
func (v *View) setSelf(inc uint32) {
	v.digest -= v.self.sum()
	v.self.inc = inc
	v.digest += v.self.sum()
	v.changed = v.now
	for _, m := range v.list {
		m.met = false
	}
	if !v.joining {
		v.news.add(entry{record: v.self, full: true})
	}
}

// treeKey returns a name's position in the digest tree.
func treeKey(name string) uint32 { return uint32(xxhash.Sum64String(name) >> 32) }

// sum returns a record's contribution to the digest.
func (r *record) sum() uint64 {
	var b [16 + MaxName]byte
	binary.LittleEndian.PutUint64(b[:], r.birth)
	binary.LittleEndian.PutUint32(b[8:], r.inc)
	b[12] = byte(r.state)
	n := 13 + copy(b[13:], r.name)
	return xxhash.Sum64(b[:n])
}

// rendezvousRank orders members for a subject by rendezvous hashing (Thaler, Ravishankar: IEEE/ACM ToN 1998).
func rank(subject, by uint64) uint64 {
	x := subject ^ bits.RotateLeft64(by, 32)*0x9e3779b97f4a7c15
	x ^= x >> 31
	x *= 0xbf58476d1ce4e5b9
	return x ^ x>>29
}
