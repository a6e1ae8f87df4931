// Package membership keeps one member's view of the fleet: who is there, who is silent, dead or gone. It owns
// every rule on that. It does no input or output, reads no clock and starts no goroutine: datagrams and the
// time go in, and what is to be sent, what has changed and what was heard come out. A run with the same
// inputs and the same seed gives the same outputs to the byte.
//
// The ground is SWIM (Das, Gupta, Motivala: DSN 2002) with local health as in Lifeguard (Dadgar, Phillips,
// Currey: DSN-W 2018). docs/FLEET.md says what departs from them and why.
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

// Micros is a time or a span in microseconds, of a clock that only goes forward.
type Micros = int64

// State is what is known of a member.
type State uint8

// The states of a member. Suspect is alive in doubt: it is shown and no part of the digest.
const (
	Alive State = iota
	Suspect
	Dead
	Left
)

func (s State) String() string { return [...]string{"alive", "suspect", "dead", "left"}[s] }

// Bounds of the protocol, in periods and members. docs/FLEET.md derives what follows from them.
const (
	slots       = 3  // of a period
	helpersMost = 3  // asked at a time to probe somebody
	watchers    = 5  // that are told of a silent member, by rendezvous hashing
	votesMost   = 3  // that a death may take
	watchMost   = 8  // watched at a time on own evidence,
	agreeMost   = 24 // and with those that others' votes are looked after
	extraMost   = 72 // datagrams a period for all watches together: doubt must not become a load of its own
	healthMost  = 8
	newsFactor  = 3  // each news goes out so many times log2(n+1) times
	syncMost    = 32 // datagrams a period
	pushMost    = 4  // datagrams a period beyond, while news waits that was never sent
	joinCalls   = 3  // addresses called a period while nobody is known
	claimFor    = 6  // periods that one of our name is called for
	joinFor     = 5  // periods until one that nobody answers goes on alone
	closeAge    = 2  // periods; of two of one name that began so close the births tell

	// ForgetLeft and ForgetDead are the periods after which those who left, or died, are forgotten.
	ForgetLeft = 1_500
	ForgetDead = 18_000

	// MaxName and MaxZone are the longest names, in bytes.
	MaxName = 40
	MaxZone = 24
)

// silence is for how many periods a member must have been silent before its watcher votes, by the number of
// votes that its death takes: fewer eyes have to look longer.
var silence = [votesMost + 1]Micros{0, 8, 5, 3}

// Config is what a view is made of.
type Config struct {
	Name, Zone string
	Addr       netip.AddrPort // where this member is reached
	Birth      uint64         // drawn at random for each process, not 0
	Seed       uint64
	Period     Micros
	Settings
	Ablate Ablation
}

// Settings may change while the view is in use.
type Settings struct {
	Join   []netip.AddrPort          // of any members
	Route  map[string]netip.AddrPort // members that are reached elsewhere from here
	Roster []string                  // all names there may be; empty: any, up to Most
	Most   int                       // members at a time, this one among them
	Stamp  uint32                    // of what has to be equal at all: told to the others
}

// Ablation switches parts off, for comparisons only.
type Ablation struct {
	NoSuspicion bool // a failed probe is a death
	NoHealth    bool // one's own slowness and stops count for nothing
	NoSync      bool // no anti-entropy
	Equal       bool // a planted fault for checkers: a refutation bears the incarnation that it refutes
}

// Member is one line of the view.
type Member struct {
	Name, Zone  string
	Addr        netip.AddrPort
	State       State
	Birth       uint64
	Incarnation uint32 // the incarnation
	Since       Micros // in this state
	Stamp       uint32 // its Settings.Stamp, as far as heard; 0: not yet
	App         uint32 // what it last told by Tell; 0: nothing yet
}

// Datagram is a datagram that is to go out. Its content is not sealed.
type Datagram struct {
	To   netip.AddrPort
	Data []byte
}

// Change tells that a member is in another state than before. First: it was not known.
type Change struct {
	Member Member
	Was    State
	First  bool
	Gone   bool // it is forgotten
}

// Heard is a message of another's layer above: see Say.
type Heard struct {
	From string
	Kind byte
	Data []byte
}

// Conflict tells that another process that runs bears this one's name.
type Conflict struct {
	Addr    netip.AddrPort
	Birth   uint64
	Refused bool // this process is the later one, and must not serve
}

// Reason is why a datagram was dropped.
type Reason uint8

// The reasons to drop a datagram. Those of the seal are counted by whoever opens it.
const (
	Malformed Reason = iota // no message of this protocol
	Replayed                // seen before, or too old to tell
	Unknown                 // of a process that is no member, and does not say who it is
	Stranger                // not in the roster, or no room
	Echo                    // our own
	reasons
)

// ReasonNames are the reasons in words.
var ReasonNames = [reasons]string{"malformed", "replayed", "unknown", "stranger", "echo"}

// Figures count since the start.
type Figures struct {
	Sent, Received  int64
	SentBytes       int64
	Dropped         [reasons]int64
	Probes, Failed  int64 // probes of the round, and those that nobody answered within their period
	Votes           int64 // cast here
	Refuted         int64 // accusations of this member
	Syncs           int64 // times that digests were found to differ
	Health          int   // 0: sound; up to 8
	TurnedDown      int64 // times that another turned this member down
	Stalls, Rejoins int64 // times that this process was stopped, and that it began anew for it
}

// member is another member as it is known here.
type member struct {
	record
	key     uint32 // place in the digest tree
	sum     uint64 // its part of the digest
	since   Micros
	ended   Micros // of one that is dead or has left: when
	suspect bool
	votes   []uint32 // voters for the death of this birth and incarnation, by the low half of their births
	acked   Micros   // when we sent the last probe that it answered; 0: none
	met     bool     // it has answered us, so it knows us
	told    bool     // of the accusation of this incarnation
	stamp   uint32
	app     uint32
	window  window
	helper  uint64 // whose indirect probe reached it last
}

func (m *member) shown() Member {
	s := m.state
	if s == Alive && m.suspect {
		s = Suspect
	}
	return Member{Name: m.name, Zone: m.zone, Addr: m.addr, State: s, Birth: m.birth, Incarnation: m.inc,
		Since: m.since, Stamp: m.stamp, App: m.app}
}

// window drops datagrams that come again: the highest number so far and which of the 64 before it were seen.
type window struct {
	top  uint64
	seen uint64
}

// fresh tells whether a number is new, and marks it.
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

// probe is one that is out.
type probe struct {
	id     uint32
	birth  uint64
	sent   Micros
	round  bool   // of the round: its failure counts
	grace  Micros // by which this process was late since
	asked  int    // helpers
	nacked int    // of them, those that could not reach it either
	origin uint64 // who asked us to, if not we
	forID  uint32 // and by which number
}

// watch is a member that has fallen silent here.
type watch struct {
	birth  uint64
	since  Micros // silence counts from here
	agree  bool   // others have voted: this only looks whether it is so
	voted  bool
	tries  int // probes sent
	helper int // turn of the helpers
}

// claim is the call for another process of our name.
type claim struct {
	rival record
	since Micros
}

// newcomer is a process that has yet to answer before it is let in.
type newcomer struct {
	record
	id  uint32
	at  Micros
	num uint64 // of its datagram: what is older is not taken later
}

// View is one member's view.
type View struct {
	cfg     Config
	rng     *rand.PCG
	self    record
	begun   Micros
	now     Micros
	slotAt  Micros // the next slot
	slot    int
	seq     uint64
	list    []*member // by name
	births  map[uint64]*member
	round   []uint64 // whom to probe, in this order
	probes  []probe
	watches []watch
	news    news
	digest  uint64
	health  int

	counted  bool // alive, trusted hold
	alives   int
	trusteds int

	changed  Micros // when the digest last changed
	syncAt   Micros
	syncFrom Micros
	syncLeft int
	extra    int // datagrams that watches may still send in this period
	joining  bool
	joinIDs  [2]uint32 // numbers of the calls of this period and the one before
	joinAt   Micros
	turn     int // of the round
	leftAt   Micros
	rivals   int    // times that we went behind one that runs, it seems
	rivalOf  uint64 // which
	claim    *claim
	conflict *Conflict
	left     bool
	app      uint32 // told with each datagram
	knocks   []newcomer

	out     []Datagram
	changes []Change
	heard   []Heard
	figures Figures
}

// check names what a configuration lacks.
func (c *Config) check() error {
	switch {
	case c.Name == "" || len(c.Name) > MaxName:
		return fmt.Errorf("membership: the name has to have 1 to %d bytes", MaxName)
	case len(c.Zone) > MaxZone:
		return fmt.Errorf("membership: the zone has to have %d bytes at most", MaxZone)
	case c.Birth == 0:
		return errors.New("membership: a birth of 0")
	case c.Period < 3_000:
		return errors.New("membership: a period under 3 ms")
	case !c.Addr.IsValid():
		return errors.New("membership: no address")
	case len(c.Roster) > 0 && !slices.Contains(c.Roster, c.Name):
		return errors.New("membership: the roster lacks this member")
	case len(c.Roster) == 0 && c.Most < 1:
		return errors.New("membership: no room")
	}
	return nil
}

// New returns the view of a member that knows nobody yet.
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

// Configure takes in new settings. Members that the roster does not name any more are forgotten.
func (v *View) Configure(s Settings) {
	v.cfg.Settings = s
	for i := len(v.list) - 1; i >= 0; i-- {
		if !v.welcome(v.list[i].name) {
			v.forget(v.list[i])
		}
	}
}

// welcome tells that a name may be in the view at all.
func (v *View) welcome(name string) bool {
	return len(v.cfg.Roster) == 0 || slices.Contains(v.cfg.Roster, name)
}

// most is how many members there may be.
func (v *View) most() int {
	if n := len(v.cfg.Roster); n > 0 {
		return n
	}
	return v.cfg.Most
}

// rand is a random number under n.
func (v *View) rand(n int) int { return int(v.rng.Uint64() % uint64(n)) }

// NextTick is when Tick has something to do.
func (v *View) NextTick() Micros { return v.slotAt }

// Joined tells that this member bears an incarnation: it has been let in, or goes on alone.
func (v *View) Joined() bool { return !v.joining }

// Refused is the other process of this name, if there is one.
func (v *View) Refused() *Conflict { return v.conflict }

// Self is this member.
func (v *View) Self() Member {
	s := Alive
	if v.left {
		s = Left
	}
	return Member{Name: v.self.name, Zone: v.self.zone, Addr: v.self.addr, State: s, Birth: v.self.birth,
		Incarnation: v.self.inc, Since: v.begun, Stamp: v.cfg.Stamp}
}

// Members are all that are known, this one among them, by name.
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

// Tell has a number of the layer above go with each datagram from now on: Member.App at the others.
func (v *View) Tell(app uint32) { v.app = app }

// Digest is equal at two members whose views are.
func (v *View) Digest() uint64 { return v.digest }

// Stats are the counts so far.
func (v *View) Stats() Figures {
	f := v.figures
	f.Health = v.health
	return f
}

// TakeOutput hands over what is to be sent, what has changed and what was heard since the last call. The slices
// are the caller's.
func (v *View) TakeOutput() ([]Datagram, []Change, []Heard) {
	s, c, h := v.out, v.changes, v.heard
	v.out, v.changes, v.heard = nil, nil, nil
	return s, c, h
}

// find is a member by its name, or nil.
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

// alive counts the members that are not dead and have not left, this one among them; trusted those of them
// that are not suspect either.
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

// Quorum is how many votes a death takes where so many members are in sight beside the accused.
func Quorum(trusted int) int { return min(votesMost, trusted/2+1) }

// Silence is for how many periods a watcher must have seen silence before it votes.
func Silence(quorum int) Micros { return silence[quorum] }

// set makes a record what is known of a name, and tells of the change.
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
		if i := slices.Index(v.round, r.birth); i < 0 { // at a random place of the round: SWIM, 4.3
			v.round = slices.Insert(v.round, v.rand(len(v.round)+1), r.birth)
		}
	}
	return m
}

// doubt marks a member as suspect, or not any more.
func (v *View) doubt(m *member, on bool) {
	if m.suspect == on || m.state != Alive {
		return
	}
	was := m.shown().State
	v.counted = false
	m.suspect, m.since = on, v.now
	v.changes = append(v.changes, Change{Member: m.shown(), Was: was})
}

// room tells whether one more member can be kept. If need be the one goes that has been dead for longest.
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

// forget drops a member.
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

// setSelf makes this member's incarnation another one, and tells everybody.
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

// treeKey is a name's place in the digest tree.
func treeKey(name string) uint32 { return uint32(xxhash.Sum64String(name) >> 32) }

// sum is a record's part of the digest.
func (r *record) sum() uint64 {
	var b [16 + MaxName]byte
	binary.LittleEndian.PutUint64(b[:], r.birth)
	binary.LittleEndian.PutUint32(b[8:], r.inc)
	b[12] = byte(r.state)
	n := 13 + copy(b[13:], r.name)
	return xxhash.Sum64(b[:n])
}

// rank orders the members for a subject: Rendezvous hashing (Thaler, Ravishankar: IEEE/ACM ToN 1998).
func rank(subject, by uint64) uint64 {
	x := subject ^ bits.RotateLeft64(by, 32)*0x9e3779b97f4a7c15
	x ^= x >> 31
	x *= 0xbf58476d1ce4e5b9
	return x ^ x>>29
}
