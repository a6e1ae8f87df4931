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
	slotsPerPeriod    = 3  // per period
	maxHelpers        = 3  // members asked to probe another member indirectly
	watchersPerMember = 5  // members notified of a suspect, chosen by rendezvous hashing
	maxVotes          = 3  // upper bound of the quorum for a death
	maxOwnWatches     = 8  // concurrent watches started by this member's own failed probes
	maxWatches        = 24 // concurrent watches including those that verify others' votes
	maxWatchDatagrams = 72 // datagrams per period for all watches, to keep suspicions from becoming a load
	maxHealth         = 8
	retransmitFactor  = 3  // each update is sent this many times log2(n+1) times
	maxSyncDatagrams  = 32 // anti-entropy datagrams per period
	maxBacklogPushes  = 4  // additional datagrams per period while unsent updates pile up
	joinFanout        = 3  // addresses contacted per period while joining
	claimPeriods      = 6  // periods to wait for another process with this member's name to answer
	joinPeriods       = 5  // periods after which a member that gets no answer starts alone
	ageTolerance      = 2  // periods; if two processes with one name started closer together, the births decide

	// ForgetLeft and ForgetDead are the periods after which members that left or died are forgotten.
	ForgetLeft = 1_500
	ForgetDead = 18_000

	// MaxName and MaxZone are the maximum lengths of member and zone names, in bytes.
	MaxName = 40
	MaxZone = 24
)

// silencePeriods is the number of periods a member must have been silent before its watcher votes for its
// death, indexed by the quorum: with fewer voters each has to observe the silence for longer.
var silencePeriods = [maxVotes + 1]Micros{0, 8, 5, 3}

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
	NoSuspicion      bool // a failed probe declares the member dead at once
	NoHealth         bool // ignores this process's own slowness and stalls
	NoSync           bool // disables anti-entropy
	ReuseIncarnation bool // deliberate fault for model checking: a refutation reuses the refuted incarnation
}

// Member is one member as this view sees it.
type Member struct {
	Name, Zone  string
	Addr        netip.AddrPort
	State       State
	Birth       uint64
	Incarnation uint32
	Since       Micros // start of the current state
	Stamp       uint32 // its Settings.Stamp; 0: not received yet
	AppTag      uint32 // value it last set with SetAppTag; 0: none received yet
}

// Datagram is an outgoing datagram. Data is not sealed yet.
type Datagram struct {
	To   netip.AddrPort
	Data []byte
}

// Change reports a state change of a member.
type Change struct {
	Member     Member
	Previous   State
	Discovered bool // the member was not known before
	Forgotten  bool // the member was removed from the view
}

// AppMessage is a message that another member sent with SendApp.
type AppMessage struct {
	From string
	Kind byte
	Data []byte
}

// Conflict describes another running process with this member's name.
type Conflict struct {
	Addr     netip.AddrPort
	Birth    uint64
	MustStop bool // this process started later and must not serve
}

// DropReason is the reason for which a datagram was dropped.
type DropReason uint8

// The reasons for dropping a datagram. Failures to unseal a datagram are counted by the caller.
const (
	Malformed   DropReason = iota // not a message of this protocol
	Replayed                      // already received, or too old for the replay window
	Unknown                       // from a process that is not a member and does not identify itself
	NotAdmitted                   // not in the roster, or the view is full
	Echo                          // sent by this process itself
	dropReasons
)

// DropReasonNames are the names of the reasons, as shown to operators.
var DropReasonNames = [dropReasons]string{"malformed", "replayed", "unknown", "stranger", "echo"}

// Stats are counters since the start.
type Stats struct {
	Sent, Received       int64
	SentBytes            int64
	Dropped              [dropReasons]int64
	Probes, ProbesFailed int64 // scheduled probes, and those that got no answer within a period
	Votes                int64 // cast by this member
	Refutations          int64 // accusations of this member that it refuted
	Syncs                int64 // anti-entropy rounds started because digests differed
	Health               int   // local health score; 0 is healthy, 8 the worst
	Rejections           int64 // times that another member rejected this one
	Stalls, Rejoins      int64 // times that this process was stalled, and that it had to rejoin
}

// member is the state kept for another member.
type member struct {
	record
	treeKey        uint32 // position in the digest tree
	sum            uint64 // its contribution to the digest
	since          Micros
	endedAt        Micros // when the member died or left
	suspect        bool
	votes          []uint32 // who voted this birth and incarnation dead, by the lower 32 bits of their births
	lastAckedProbe Micros   // send time of the last probe that it answered; 0: none
	knowsUs        bool     // it has answered this process, and so has its record
	notified       bool     // it was sent the accusation of its current incarnation
	stamp          uint32
	appTag         uint32
	replay         replayWindow
	lastHelper     uint64 // birth of the helper whose indirect probe last reached it
}

func (m *member) export() Member {
	s := m.state
	if s == Alive && m.suspect {
		s = Suspect
	}
	return Member{Name: m.name, Zone: m.zone, Addr: m.addr, State: s, Birth: m.birth, Incarnation: m.inc,
		Since: m.since, Stamp: m.stamp, AppTag: m.appTag}
}

// replayWindow rejects repeated datagrams. It keeps the highest sequence number received and a bitmap of the
// last 64 numbers.
type replayWindow struct {
	highest uint64
	seen    uint64
}

// accept reports whether a sequence number is new, and records it.
func (w *replayWindow) accept(n uint64) bool {
	switch {
	case n > w.highest:
		if d := n - w.highest; d < 64 {
			w.seen = w.seen<<d | 1
		} else {
			w.seen = 1
		}
		w.highest = n
		return true
	case w.highest-n >= 64 || w.seen>>(w.highest-n)&1 == 1:
		return false
	}
	w.seen |= 1 << (w.highest - n)
	return true
}

// probe is an outstanding probe.
type probe struct {
	id           uint32
	birth        uint64
	sentAt       Micros
	scheduled    bool   // scheduled probe: its failure counts
	grace        Micros // time by which this process itself has been late since
	helpersAsked int
	nacks        int    // helpers that could not reach the member either
	requester    uint64 // member that requested this probe; 0: this one
	requestID    uint32 // ID of that request
}

// watch monitors a member that stopped answering this one.
type watch struct {
	birth      uint64
	since      Micros // start of the silence
	verifyOnly bool   // started by others' votes: it only verifies them
	voted      bool
	probesSent int
	helperTurn int // position in the rotation over helpers
}

// claim is the attempt to contact another process with this member's name.
type claim struct {
	rival record
	since Micros
}

// candidate is a process that must answer a probe of its address before it is admitted.
type candidate struct {
	record
	probeID uint32
	at      Micros
	seq     uint64 // sequence number of its datagram: older ones are rejected after admission
}

// View is one member's view of the fleet.
type View struct {
	cfg        Config
	rng        *rand.PCG
	self       record
	startedAt  Micros
	now        Micros
	nextSlotAt Micros
	slot       int
	seq        uint64
	members    []*member // sorted by name
	byBirth    map[uint64]*member
	probeOrder []uint64 // births in probe order
	probes     []probe
	watches    []watch
	updates    updateQueue
	digest     uint64
	health     int

	countsValid  bool // aliveCount and trustedCount are up to date
	aliveCount   int
	trustedCount int

	digestChangedAt Micros
	nextSyncAt      Micros
	lastSyncAt      Micros
	syncBudget      int
	watchBudget     int // datagrams that watches may still send in this period
	joining         bool
	joinIDs         [2]uint32 // IDs of the join requests of this and the previous period
	joinStartedAt   Micros
	probeIndex      int // position in probeOrder
	leftAt          Micros
	rivalReturns    int    // times that this process superseded the same rival, which seems to be running
	rivalBirth      uint64 // birth of that rival
	claim           *claim
	conflict        *Conflict
	left            bool
	appTag          uint32 // sent with each datagram
	candidates      []candidate

	outgoing    []Datagram
	changes     []Change
	appMessages []AppMessage
	stats       Stats
}

// validate returns the first error in the configuration.
func (c *Config) validate() error {
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
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	v := &View{cfg: cfg, rng: rand.NewPCG(cfg.Seed, cfg.Birth), startedAt: now, now: now,
		byBirth: map[uint64]*member{}, joining: true, joinStartedAt: now}
	v.self = record{name: cfg.Name, zone: cfg.Zone, addr: cfg.Addr, birth: cfg.Birth}
	v.nextSlotAt = now
	v.digest = v.self.sum()
	return v, nil
}

// Configure applies new settings. Members that are no longer in the roster are removed.
func (v *View) Configure(s Settings) {
	v.cfg.Settings = s
	for i := len(v.members) - 1; i >= 0; i-- {
		if !v.allowsName(v.members[i].name) {
			v.forget(v.members[i])
		}
	}
}

// allowsName reports whether a name may be in the view.
func (v *View) allowsName(name string) bool {
	return len(v.cfg.Roster) == 0 || slices.Contains(v.cfg.Roster, name)
}

// maxMembers is the maximum number of members including this one.
func (v *View) maxMembers() int {
	if n := len(v.cfg.Roster); n > 0 {
		return n
	}
	return v.cfg.Most
}

// randN returns a random number below n.
func (v *View) randN(n int) int { return int(v.rng.Uint64() % uint64(n)) }

// NextTick returns the time at which Tick next has work to do.
func (v *View) NextTick() Micros { return v.nextSlotAt }

// Joined reports whether this member has an incarnation: it was admitted, or started alone.
func (v *View) Joined() bool { return !v.joining }

// Conflict returns the other process with this member's name, or nil.
func (v *View) Conflict() *Conflict { return v.conflict }

// Self returns this member.
func (v *View) Self() Member {
	s := Alive
	if v.left {
		s = Left
	}
	return Member{Name: v.self.name, Zone: v.self.zone, Addr: v.self.addr, State: s, Birth: v.self.birth,
		Incarnation: v.self.inc, Since: v.startedAt, Stamp: v.cfg.Stamp}
}

// Members returns all known members including this one, sorted by name.
func (v *View) Members() []Member {
	out := make([]Member, 0, len(v.members)+1)
	for _, m := range v.members {
		out = append(out, m.export())
	}
	i, _ := slices.BinarySearchFunc(out, v.self.name, func(m Member, n string) int {
		return strings.Compare(m.Name, n)
	})
	return slices.Insert(out, i, v.Self())
}

// SetAppTag sets a value of the application that is sent with each datagram. Other members see it as
// Member.AppTag.
func (v *View) SetAppTag(tag uint32) { v.appTag = tag }

// Digest returns a hash of the view: members with equal views have equal digests.
func (v *View) Digest() uint64 { return v.digest }

// Stats returns the counters so far.
func (v *View) Stats() Stats {
	s := v.stats
	s.Health = v.health
	return s
}

// TakeOutput returns the datagrams to send, the state changes and the application messages received since the
// last call. The caller owns the slices.
func (v *View) TakeOutput() ([]Datagram, []Change, []AppMessage) {
	s, c, a := v.outgoing, v.changes, v.appMessages
	v.outgoing, v.changes, v.appMessages = nil, nil, nil
	return s, c, a
}

// find returns a member by name, or nil.
func (v *View) find(name string) *member {
	i, ok := v.indexOf(name)
	if !ok {
		return nil
	}
	return v.members[i]
}

func (v *View) indexOf(name string) (int, bool) {
	return slices.BinarySearchFunc(v.members, name, func(m *member, n string) int {
		return strings.Compare(m.name, n)
	})
}

// liveCounts returns the number of members that are neither dead nor have left, including this one, and how
// many of them are neither suspect nor being watched.
func (v *View) liveCounts() (alive, trusted int) {
	if !v.countsValid {
		v.countsValid, v.aliveCount, v.trustedCount = true, 1, 1
		for _, m := range v.members {
			if m.state == Alive {
				v.aliveCount++
				if !m.suspect && v.findWatch(m.birth) == nil {
					v.trustedCount++
				}
			}
		}
	}
	return v.aliveCount, v.trustedCount
}

// Quorum returns the number of votes needed to declare a member dead, given the number of trusted members
// besides the accused.
func Quorum(trusted int) int { return min(maxVotes, trusted/2+1) }

// SilencePeriods returns the number of periods of silence that a watcher must observe before it votes.
func SilencePeriods(quorum int) Micros { return silencePeriods[quorum] }

// setRecord stores a record as the current one for its name and reports the change.
func (v *View) setRecord(r record, endedAt Micros) *member {
	m := v.find(r.name)
	isNew := m == nil
	v.countsValid = false
	var before Member
	if isNew {
		if !v.makeRoom() {
			v.stats.Dropped[NotAdmitted]++
			return nil
		}
		m = &member{treeKey: treeKey(r.name)}
		i, _ := v.indexOf(r.name)
		v.members = slices.Insert(v.members, i, m)
	} else {
		before = m.export()
		delete(v.byBirth, m.birth)
		v.digest -= m.sum
	}
	if m.birth != r.birth {
		v.endWatch(m.birth)
		*m = member{treeKey: m.treeKey, stamp: m.stamp}
	}
	if m.birth != r.birth || m.inc != r.inc || r.state != Alive {
		m.votes, m.notified = nil, false
		m.suspect = false
	}
	if r.state != Alive {
		m.endedAt = endedAt
		v.endWatch(r.birth)
	}
	m.record = r
	m.sum = r.sum()
	v.digest += m.sum
	v.byBirth[r.birth] = m
	v.digestChangedAt = v.now
	if after := m.export(); isNew || after.State != before.State || after.Birth != before.Birth {
		m.since = v.now
		if r.state != Alive {
			m.since = endedAt
		}
		v.changes = append(v.changes, Change{Member: m.export(), Previous: before.State, Discovered: isNew})
	}
	if r.state == Alive {
		if i := slices.Index(v.probeOrder, r.birth); i < 0 { // inserted at a random position: SWIM, 4.3
			v.probeOrder = slices.Insert(v.probeOrder, v.randN(len(v.probeOrder)+1), r.birth)
		}
	}
	return m
}

// setSuspect marks a member as suspect or clears the mark.
func (v *View) setSuspect(m *member, suspect bool) {
	if m.suspect == suspect || m.state != Alive {
		return
	}
	before := m.export().State
	v.countsValid = false
	m.suspect, m.since = suspect, v.now
	v.changes = append(v.changes, Change{Member: m.export(), Previous: before})
}

// makeRoom reports whether one more member can be stored. If the view is full, it evicts the member that died
// or left first.
func (v *View) makeRoom() bool {
	if len(v.members)+1 < v.maxMembers() {
		return true
	}
	var oldest *member
	for _, m := range v.members {
		if m.state != Alive && (oldest == nil || m.endedAt < oldest.endedAt) {
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
	v.digestChangedAt, v.countsValid = v.now, false
	delete(v.byBirth, m.birth)
	v.endWatch(m.birth)
	if i, ok := v.indexOf(m.name); ok {
		v.members = slices.Delete(v.members, i, i+1)
	}
	v.changes = append(v.changes, Change{Member: m.export(), Previous: m.export().State, Forgotten: true})
}

// setOwnIncarnation changes this member's incarnation and announces it.
func (v *View) setOwnIncarnation(inc uint32) {
	v.digest -= v.self.sum()
	v.self.inc = inc
	v.digest += v.self.sum()
	v.digestChangedAt = v.now
	for _, m := range v.members {
		m.knowsUs = false
	}
	if !v.joining {
		v.updates.add(entry{record: v.self, full: true})
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
func rendezvousRank(subject, member uint64) uint64 {
	x := subject ^ bits.RotateLeft64(member, 32)*0x9e3779b97f4a7c15
	x ^= x >> 31
	x *= 0xbf58476d1ce4e5b9
	return x ^ x>>29
}
