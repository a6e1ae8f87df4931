package fleet

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"math/bits"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"lapislever/internal/membership"
	"lapislever/internal/overload"
	"lapislever/internal/quota"
	"lapislever/internal/verdict"
)

const (
	// MaxSockets is how many descriptors the fleet's part may take.
	MaxSockets = 3
	// queueSize is how many datagrams wait for the goroutine that holds the view; more are dropped.
	queueSize = 1024
	heardSize = 256
	// MaxMessage is the longest message of the decision module, in bytes.
	MaxMessage = membership.MostApp
	showEvery  = 100 * time.Millisecond
)

// What a message of the layer above is for.
const (
	toModule  byte = 1 // between the decision modules
	toVerdict byte = 2 // between the tables of verdicts
	toQuota   byte = 3 // between the shares of limits

	toEvidence byte = 4 // between juries
	toOverload byte = 5 // between guards
)

// Status is what the door shows: the form of GET /admin/fleet.
type Status struct {
	Self        string         `json:"self"`
	Incarnation uint32         `json:"incarnation"`
	Digest      string         `json:"digest"`
	Alive       int            `json:"alive"`
	Members     []MemberStatus `json:"members"`
	Figures     Figures        `json:"figures"`
}

// MemberStatus is one member as the door shows it.
type MemberStatus struct {
	Name        string `json:"name"`
	Zone        string `json:"zone"`
	Addr        string `json:"addr"`
	State       string `json:"state"`
	Incarnation uint32 `json:"incarnation"`
	SinceMS     int64  `json:"since_ms"` // how long it has been in this state
}

// Figures are counts since this process's start, and the bounds that hold now, in milliseconds.
type Figures struct {
	PeriodMS     int64            `json:"period_ms"`
	Health       int              `json:"health"`
	Sent         int64            `json:"sent"`
	SentBytes    int64            `json:"sent_bytes"`
	Received     int64            `json:"received"`
	Dropped      map[string]int64 `json:"dropped"`
	Probes       int64            `json:"probes"`
	ProbesFailed int64            `json:"probes_failed"`
	Votes        int64            `json:"votes"`
	Refuted      int64            `json:"refuted"`
	Syncs        int64            `json:"syncs"`
	Stalls       int64            `json:"stalls"`
	Rejoins      int64            `json:"rejoins"`
	TurnedDown   int64            `json:"turned_down"`
	Told         int64            `json:"module_messages_sent"`
	ToldUs       int64            `json:"module_messages_received"`
	SickGiven    int64            `json:"sick_given"`      // verdicts by evidence that this member gave
	SickHeld     int64            `json:"sick_held_back"`  // and did not, as enough were out (each period)
	Differ       []string         `json:"settings_differ"` // alive members whose roster differs from this one's
	Conflict     string           `json:"conflict,omitempty"`
	CrashKnownMS int64            `json:"crash_known_within_ms"`
	SettledMS    int64            `json:"settled_within_ms"`
	ForgottenMS  map[string]int64 `json:"forgotten_after_ms"`
}

// Bounds that docs/FLEET.md derives, in periods.
const settlePeriods = 20

func crashPeriods(members int) int { return 12 + bits.Len(uint(max(1, members)-1)) }

// Fleet is this process's part in the fleet.
type Fleet struct {
	cfg    *Config // of the start: what a reload can't change
	log    *slog.Logger
	conn   *net.UDPConn
	epoch  time.Time
	keys   atomic.Pointer[keyring]
	show   atomic.Pointer[Status]
	alive  atomic.Pointer[[]string] // others that are alive, by name
	in     chan []byte
	calls  chan func(*membership.View)
	heard  chan membership.Heard
	closed chan struct{}
	once   sync.Once
	drops  [9]atomic.Int64 // by openErrors
	told   atomic.Int64    // messages of the module sent
	toldUs atomic.Int64    // and received

	mu      sync.Mutex // guards what follows
	running *run       // nil: another process of this member has the socket
	kept    *membership.View

	keep     keeper // the view's owner's
	jurors   jurors
	shed     shedder
	host     atomic.Pointer[Host] // of Begin; empty before
	toApply  chan verdict.Change
	verdicts atomic.Pointer[Verdicts]
	limits   []*limiter    // as the file's order is; fixed
	tenure   *quota.Leases // the view's owner's; nil: nobody votes
	holds    atomic.Pointer[[]string]

	conf       atomic.Pointer[Config] // in force
	turnedDown int64                  // the view's owner's: times that others turned us down
	turnedAt   membership.Micros      // and when that last grew

	joined  chan struct{} // closed once this member is one
	refused chan error    // hears once if this process must not serve
}

// run is the time in which this process is the one that reads the socket.
type run struct {
	stop chan struct{}
	done sync.WaitGroup
	view *membership.View // once done
}

// ErrTaken is the end of a process whose name another one bears.
var ErrTaken = errors.New("another process bears this member's name and has run for longer")

// Open binds the socket, or takes one that is handed over. Nothing is read before Begin.
func Open(cfg *Config, log *slog.Logger, given *net.UDPConn) (*Fleet, error) {
	f := &Fleet{cfg: cfg, log: log, conn: given, epoch: time.Now(), in: make(chan []byte, queueSize),
		calls: make(chan func(*membership.View)), heard: make(chan membership.Heard, heardSize),
		closed: make(chan struct{}), joined: make(chan struct{}), refused: make(chan error, 1)}
	f.keys.Store(cfg.keys)
	f.conf.Store(cfg)
	f.alive.Store(&[]string{})
	f.toApply = make(chan verdict.Change, mostPending)
	f.verdicts.Store(&Verdicts{Verdicts: []VerdictStatus{}})
	f.keep.Gossiper = verdict.NewGossiper(verdict.NewTable(cfg.Fleet.Name), f.viewConfig().Seed,
		membership.MostApp)
	f.jurors.jury = verdict.NewOutlierDetector(verdict.Member{Name: cfg.Fleet.Name, Zone: cfg.Fleet.Zone},
		cfg.Period().Microseconds(), membership.MostApp)
	f.jurors.zones = map[string]string{}
	f.host.Store(&Host{})
	f.shed.guard = overload.NewController(cfg.Fleet.Name, cfg.Period().Microseconds())
	f.shed.by = map[string]int64{}
	f.openLimits(given != nil)
	f.show.Store(&Status{Self: cfg.Fleet.Name, Members: []MemberStatus{}})
	if given == nil {
		// Without SO_REUSEPORT: a second process of this address is an error, at once.
		c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(cfg.listen))
		if err != nil {
			return nil, fmt.Errorf("fleet: %w", err)
		}
		f.conn = c
	}
	return f, nil
}

// Conn is the socket, to hand it over.
func (f *Fleet) Conn() *net.UDPConn { return f.conn }

// now is the view's time.
func (f *Fleet) now() membership.Micros { return 1 + time.Since(f.epoch).Microseconds() }

func (f *Fleet) viewConfig() membership.Config {
	var seed [16]byte
	_, _ = crand.Read(seed[:])
	return membership.Config{Name: f.cfg.Fleet.Name, Zone: f.cfg.Fleet.Zone, Addr: f.cfg.listen,
		Birth: binary.LittleEndian.Uint64(seed[:]) | 1, Seed: binary.LittleEndian.Uint64(seed[8:]),
		Period: f.cfg.Period().Microseconds(), Settings: f.cfg.view}
}

// Start starts to take part: as a new process, or from where another process of this member has stopped.
func (f *Fleet) Start(from *Handover, host Host) error {
	var v *membership.View
	var err error
	f.host.Store(&host)
	f.beginLimits(from)
	if from != nil {
		for _, x := range from.Verdicts {
			f.keep.Merge(f.now(), x.Verdict, x.Age)
		}
		v, err = membership.Resume(f.viewConfig(), from.View, f.now())
	} else {
		v, err = membership.New(f.viewConfig(), f.now())
	}
	if err != nil {
		return err
	}
	go f.apply()
	f.start(v)
	return nil
}

func (f *Fleet) start(v *membership.View) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.running != nil {
		return
	}
	select {
	case <-f.closed:
		return
	default:
	}
	r := &run{stop: make(chan struct{}), view: v}
	r.done.Add(2)
	f.running = r
	_ = f.conn.SetReadDeadline(time.Time{})
	go f.read(r)
	go f.own(r)
}

// halt ends the run, if there is one, and returns its view.
func (f *Fleet) halt() *membership.View {
	f.mu.Lock()
	r := f.running
	f.running = nil
	f.mu.Unlock()
	if r == nil {
		return nil
	}
	close(r.stop)
	_ = f.conn.SetReadDeadline(time.Unix(1, 0)) // wakes the reader; the socket stays
	r.done.Wait()
	return r.view
}

// HandOver stops to read, for the process that goes on in this one's place; the socket stays open, so that
// Again can take it back. Nil: this process has no part to give.
func (f *Fleet) HandOver() *Handover {
	v := f.halt()
	if v == nil {
		return nil
	}
	f.mu.Lock()
	f.kept = v
	f.mu.Unlock()
	h := &Handover{View: v.Snapshot(), Verdicts: f.keep.Snapshot(f.now())}
	f.handLimits(h)
	return h
}

// Reclaim goes on after the process that had taken over is gone.
func (f *Fleet) Reclaim() {
	f.mu.Lock()
	v := f.kept
	f.kept = nil
	f.mu.Unlock()
	if v != nil {
		f.againLimits()
		v.Again(f.now())
		f.start(v)
	}
}

// Joined is closed once this member has been let in, or goes on alone.
func (f *Fleet) Joined() <-chan struct{} { return f.joined }

// NameTaken hears once if this process must not serve.
func (f *Fleet) NameTaken() <-chan error { return f.refused }

// Messages are messages for the decision module.
func (f *Fleet) Messages() <-chan membership.Heard { return f.heard }

// Close ends this process's part, without a word to the others.
func (f *Fleet) Close() {
	f.once.Do(func() {
		close(f.closed)
		f.halt()
		_ = f.conn.Close()
	})
}

// Leave tells the others that this member goes, and waits until enough of them have heard, or for the time
// given. It returns whether they have.
func (f *Fleet) Leave(most time.Duration) bool {
	end := time.Now().Add(most)
	known := f.ask(func(v *membership.View) bool { v.Leave(f.now()); return v.LeaveKnown() }, most)
	for !known && time.Now().Before(end) {
		time.Sleep(min(5*time.Millisecond, most))
		known = f.ask((*membership.View).LeaveKnown, time.Until(end))
	}
	return known
}

// ask has the view's owner call a function, and waits for what it returns.
func (f *Fleet) ask(call func(*membership.View) bool, most time.Duration) bool {
	done := make(chan bool, 1)
	late := time.NewTimer(most)
	defer late.Stop()
	select {
	case f.calls <- func(v *membership.View) { done <- call(v) }:
		return <-done
	case <-late.C:
	case <-f.closed:
	}
	return false
}

// Configure takes in a file that was read anew, and names what of it takes a restart.
func (f *Fleet) Configure(fresh *Config) (kept []string) {
	was, is := &f.cfg.Fleet, &fresh.Fleet
	for name, differs := range map[string]bool{"fleet.name": was.Name != is.Name,
		"fleet.zone": was.Zone != is.Zone, "fleet.listen": was.Listen != is.Listen,
		"fleet.detect": was.Detect != is.Detect, "fleet.overload": was.Overload != is.Overload,
		"fleet.evidence": *was.Evidence.Share != *is.Evidence.Share,
		"limit":          !sameLimits(f.cfg.Limits, fresh.Limits)} {
		if differs {
			kept = append(kept, name)
		}
	}
	slices.Sort(kept)
	f.keys.Store(fresh.keys)
	f.conf.Store(fresh)
	f.ask(func(v *membership.View) bool { v.Configure(fresh.view); return true }, time.Second)
	return kept
}

// Tell takes a message of the decision module to another member that is alive, by a number that the module
// draws: core.Peers. It does not wait.
func (f *Fleet) Tell(to uint32, text string) {
	alive := *f.alive.Load()
	if len(alive) == 0 {
		return
	}
	names := alive
	if to != ^uint32(0) {
		names = alive[to%uint32(len(alive)):][:1]
	}
	call := func(v *membership.View) {
		for _, name := range names {
			if v.Say(name, toModule, []byte(text)) {
				f.told.Add(1)
			}
		}
	}
	select {
	case f.calls <- call:
	default: // the owner is busy: it is lost, as any datagram may be
	}
}

// Status is what the door shows.
func (f *Fleet) Status() *Status { return f.show.Load() }

// read opens datagrams and queues them.
func (f *Fleet) read(r *run) {
	defer r.done.Done()
	buf := make([]byte, maxDatagram+1)
	for {
		n, _, err := f.conn.ReadFromUDPAddrPort(buf)
		select {
		case <-r.stop:
			return
		default:
		}
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		content, err := f.keys.Load().open(buf[:n])
		if err == nil {
			select {
			case f.in <- slices.Clone(content):
				continue
			default:
				err = errFull
			}
		}
		f.drop(err)
	}
}

// drop counts a datagram that is dropped, by the reason.
func (f *Fleet) drop(why error) { f.drops[slices.Index(openErrors, why)].Add(1) }

// own holds the view until the run's end.
func (f *Fleet) own(r *run) {
	defer r.done.Done()
	v := r.view
	alarm := time.NewTimer(0)
	defer alarm.Stop()
	var shown time.Time
	for {
		select {
		case <-r.stop:
			return
		case <-alarm.C:
			v.Tick(f.now())
		case b := <-f.in:
			v.Receive(f.now(), b)
			for more := true; more; { // what has queued up meanwhile, before anything is sent
				select {
				case b = <-f.in:
					v.Receive(f.now(), b)
				default:
					more = false
				}
			}
		case call := <-f.calls:
			v.Tick(f.now())
			call(v)
		}
		changed := f.carryOut(v)
		if changed || time.Since(shown) >= showEvery {
			shown = time.Now()
			f.publish(v)
		}
		alarm.Reset(time.Duration(v.NextTick()-f.now()) * time.Microsecond)
	}
}

// carryOut sends, logs and passes on what the view has to say.
func (f *Fleet) carryOut(v *membership.View) (changed bool) {
	sends, changes, heard := v.TakeOutput()
	for _, h := range heard {
		f.hear(v, h)
	}
	f.tend(v) // what it says goes out with the rest
	more, later, _ := v.TakeOutput()
	changes = append(changes, later...)
	keys := f.keys.Load()
	for _, s := range append(sends, more...) {
		// A full socket buffer loses the datagram, as the network may.
		_, _ = f.conn.WriteToUDPAddrPort(keys.seal(s.Data), s.To)
	}
	for _, c := range changes {
		f.tell(c)
	}
	if v.Joined() {
		f.mark(f.joined)
	}
	if c := v.Refused(); c != nil && c.Refused {
		select {
		case f.refused <- fmt.Errorf("fleet: %w: %s, at %v", ErrTaken, f.cfg.Fleet.Name, c.Addr):
		default:
		}
	}
	return len(changes) > 0
}

// hear passes on what another member's layer above has to say.
func (f *Fleet) hear(v *membership.View, h membership.Heard) {
	switch h.Kind {
	case toVerdict:
		f.hearVerdict(h)
	case toQuota:
		f.hearLimit(v, h)
	case toEvidence:
		f.hearEvidence(v, h)
	case toOverload:
		f.hearOverload(v, h)
	case toModule:
		f.toldUs.Add(1)
		select {
		case f.heard <- h:
		default:
		}
	}
}

func (f *Fleet) mark(c chan struct{}) {
	select {
	case <-c:
	default:
		close(c)
	}
}

// tell logs a change, once.
func (f *Fleet) tell(c membership.Change) {
	m := c.Member
	switch {
	case c.Gone:
		f.log.Info("fleet member forgotten", "member", m.Name, "was", m.State.String())
	case c.First:
		f.log.Info("fleet member found", "member", m.Name, "zone", m.Zone, "addr", m.Addr,
			"state", m.State.String(), "incarnation", m.Incarnation)
	case c.Was == m.State:
		f.log.Info("fleet member restarted", "member", m.Name, "addr", m.Addr, "incarnation", m.Incarnation)
	default:
		level := slog.LevelInfo
		if m.State == membership.Dead {
			level = slog.LevelWarn
		}
		f.log.Log(context.Background(), level, "fleet member changed", "member", m.Name, "state", m.State.String(),
			"was", c.Was.String(), "incarnation", m.Incarnation)
	}
}

// publish makes the view's state what the door shows.
func (f *Fleet) publish(v *membership.View) {
	now := f.now()
	self, g := v.Self(), v.Stats()
	s := &Status{Self: self.Name, Incarnation: self.Incarnation, Digest: fmt.Sprintf("%016x", v.Digest()),
		Members: []MemberStatus{}}
	var alive []string
	differ := []string{}
	for _, m := range v.Members() {
		s.Members = append(s.Members, MemberStatus{Name: m.Name, Zone: m.Zone, Addr: m.Addr.String(),
			State: m.State.String(), Incarnation: m.Incarnation, SinceMS: (now - m.Since) / 1000})
		if m.State > membership.Suspect {
			continue
		}
		s.Alive++
		if m.Name != self.Name {
			alive = append(alive, m.Name)
			if m.Stamp != 0 && m.Stamp != self.Stamp {
				differ = append(differ, m.Name)
			}
		}
	}
	period := f.cfg.Period().Milliseconds()
	s.Figures = Figures{PeriodMS: period, Health: g.Health, Sent: g.Sent, SentBytes: g.SentBytes,
		Received: g.Received, Dropped: f.dropped(g), Probes: g.Probes, ProbesFailed: g.Failed, Votes: g.Votes,
		Refuted: g.Refuted, Syncs: g.Syncs, Stalls: g.Stalls, Rejoins: g.Rejoins, TurnedDown: g.TurnedDown,
		Told: f.told.Load(), ToldUs: f.toldUs.Load(), SickGiven: f.jurors.given, SickHeld: f.jurors.held,
		Differ: differ, CrashKnownMS: int64(crashPeriods(s.Alive)) * period,
		SettledMS: settlePeriods * period, ForgottenMS: map[string]int64{
			"left": membership.ForgetLeft * period, "dead": membership.ForgetDead * period}}
	if c := v.Refused(); c != nil {
		s.Figures.Conflict = c.Addr.String()
		if old := f.show.Load(); old.Figures.Conflict == "" {
			f.log.Error("another process bears this member's name", "member", self.Name, "addr", c.Addr,
				"refused", c.Refused)
		}
	}
	f.alive.Store(&alive)
	f.showVerdicts(alive)
	f.show.Store(s)
}

func (f *Fleet) dropped(g membership.Figures) map[string]int64 {
	out := map[string]int64{}
	for i, n := range g.Dropped {
		out[membership.ReasonNames[i]] = n
	}
	for i, err := range openErrors {
		out[err.Error()] = f.drops[i].Load()
	}
	return out
}
