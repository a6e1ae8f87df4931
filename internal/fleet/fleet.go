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
	// MaxSockets is the maximum number of file descriptors that a Fleet uses.
	MaxSockets = 3
	// queueSize is the number of datagrams that may wait for the owner goroutine; more are dropped.
	queueSize        = 1024
	messageQueueSize = 256
	// MaxMessage is the maximum length of a message of the decision module, in bytes.
	MaxMessage      = membership.MaxAppMessage
	publishInterval = 100 * time.Millisecond
)

// The kinds of application messages.
const (
	kindModule  byte = 1 // between decision modules
	kindVerdict byte = 2 // between verdict tables
	kindQuota   byte = 3 // between limit shares

	kindEvidence byte = 4 // between outlier detectors
	kindOverload byte = 5 // between overload controllers
)

// Status is the body of GET /admin/fleet.
type Status struct {
	Self        string         `json:"self"`
	Incarnation uint32         `json:"incarnation"`
	Digest      string         `json:"digest"`
	Alive       int            `json:"alive"`
	Members     []MemberStatus `json:"members"`
	Stats       Stats          `json:"figures"`
}

// MemberStatus is one member in Status.
type MemberStatus struct {
	Name        string `json:"name"`
	Zone        string `json:"zone"`
	Addr        string `json:"addr"`
	State       string `json:"state"`
	Incarnation uint32 `json:"incarnation"`
	SinceMS     int64  `json:"since_ms"` // time in the current state
}

// Stats are counters since this process's start, and the current protocol bounds in milliseconds.
type Stats struct {
	PeriodMS               int64            `json:"period_ms"`
	Health                 int              `json:"health"`
	Sent                   int64            `json:"sent"`
	SentBytes              int64            `json:"sent_bytes"`
	Received               int64            `json:"received"`
	Dropped                map[string]int64 `json:"dropped"`
	Probes                 int64            `json:"probes"`
	ProbesFailed           int64            `json:"probes_failed"`
	Votes                  int64            `json:"votes"`
	Refuted                int64            `json:"refuted"`
	Syncs                  int64            `json:"syncs"`
	Stalls                 int64            `json:"stalls"`
	Rejoins                int64            `json:"rejoins"`
	Rejections             int64            `json:"turned_down"`
	ModuleMessagesSent     int64            `json:"module_messages_sent"`
	ModuleMessagesReceived int64            `json:"module_messages_received"`
	EvidenceVerdicts       int64            `json:"sick_given"`      // verdicts by evidence issued here
	EvidenceWithheld       int64            `json:"sick_held_back"`  // withheld as enough were out (each period)
	SettingsDiffer         []string         `json:"settings_differ"` // alive members with another settings stamp
	Conflict               string           `json:"conflict,omitempty"`
	CrashDetectedMS        int64            `json:"crash_known_within_ms"`
	SettledMS              int64            `json:"settled_within_ms"`
	ForgottenMS            map[string]int64 `json:"forgotten_after_ms"`
}

// Protocol bounds in periods, derived in docs/FLEET.md.
const settlePeriods = 20

func crashDetectPeriods(members int) int { return 12 + bits.Len(uint(max(1, members)-1)) }

// Fleet is this process's membership in the fleet.
type Fleet struct {
	cfg            *Config // as of the start, for settings that a reload cannot change
	log            *slog.Logger
	conn           *net.UDPConn
	epoch          time.Time
	keys           atomic.Pointer[keyring]
	status         atomic.Pointer[Status]
	aliveOthers    atomic.Pointer[[]string] // names of the other alive members
	inbound        chan []byte
	ownerCalls     chan func(*membership.View)
	messages       chan membership.AppMessage
	closed         chan struct{}
	closeOnce      sync.Once
	dropCounts     [9]atomic.Int64 // indexed as dropErrors
	moduleSent     atomic.Int64    // messages of the decision module
	moduleReceived atomic.Int64

	mu         sync.Mutex       // guards what follows
	running    *session         // nil: another process of this member reads the socket
	handedOver *membership.View // view of the last session, kept for Reclaim

	store      verdictStore // used by the owner goroutine only
	evidence   evidenceState
	overload   overloadState
	host       atomic.Pointer[Host] // set by Start; empty before
	toApply    chan verdict.Change
	verdicts   atomic.Pointer[Verdicts]
	limits     []*limiter               // in the order of the settings file; fixed after Open
	leases     *quota.Leases            // used by the owner goroutine only; nil: there is no voting
	leasesHeld atomic.Pointer[[]string] // as Limits.LeasesHeld

	current    atomic.Pointer[Config] // settings in force, replaced by Configure
	rejections int64                  // owner goroutine only: times that others rejected this member
	rejectedAt membership.Micros      // owner goroutine only: time of the last rejection

	joined    chan struct{} // closed once this process has joined
	nameTaken chan error    // receives one error if this process must not serve
}

// session is a time span in which this process reads the socket and owns the view.
type session struct {
	stop chan struct{}
	done sync.WaitGroup
	view *membership.View // to be used once done
}

// ErrNameTaken reports that another process with this member's name is running.
var ErrNameTaken = errors.New("another process bears this member's name and has run for longer")

// Open binds the socket, or uses one that is handed over. Nothing is read before Start.
func Open(cfg *Config, log *slog.Logger, inherited *net.UDPConn) (*Fleet, error) {
	f := &Fleet{cfg: cfg, log: log, conn: inherited, epoch: time.Now(), inbound: make(chan []byte, queueSize),
		ownerCalls: make(chan func(*membership.View)), messages: make(chan membership.AppMessage, messageQueueSize),
		closed: make(chan struct{}), joined: make(chan struct{}), nameTaken: make(chan error, 1)}
	f.keys.Store(cfg.keys)
	f.current.Store(cfg)
	f.aliveOthers.Store(&[]string{})
	f.toApply = make(chan verdict.Change, maxPending)
	f.verdicts.Store(&Verdicts{Verdicts: []VerdictStatus{}})
	f.store.Gossiper = verdict.NewGossiper(verdict.NewTable(cfg.Fleet.Name), f.viewConfig().Seed,
		membership.MaxAppMessage)
	f.evidence.detector = verdict.NewOutlierDetector(verdict.Member{Name: cfg.Fleet.Name, Zone: cfg.Fleet.Zone},
		cfg.Period().Microseconds(), membership.MaxAppMessage)
	f.evidence.zones = map[string]string{}
	f.host.Store(&Host{})
	f.overload.controller = overload.NewController(cfg.Fleet.Name, cfg.Period().Microseconds())
	f.overload.shedCounts = map[string]int64{}
	f.createLimits(inherited != nil)
	f.status.Store(&Status{Self: cfg.Fleet.Name, Members: []MemberStatus{}})
	if inherited == nil {
		// Without SO_REUSEPORT, so that a second process on this address fails immediately.
		c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(cfg.listen))
		if err != nil {
			return nil, fmt.Errorf("fleet: %w", err)
		}
		f.conn = c
	}
	return f, nil
}

// Conn returns the socket, for a handover to another process.
func (f *Fleet) Conn() *net.UDPConn { return f.conn }

// now returns the current time on the view's clock.
func (f *Fleet) now() membership.Micros { return 1 + time.Since(f.epoch).Microseconds() }

func (f *Fleet) viewConfig() membership.Config {
	var seed [16]byte
	_, _ = crand.Read(seed[:])
	return membership.Config{Name: f.cfg.Fleet.Name, Zone: f.cfg.Fleet.Zone, Addr: f.cfg.listen,
		Birth: binary.LittleEndian.Uint64(seed[:]) | 1, Seed: binary.LittleEndian.Uint64(seed[8:]),
		Period: f.cfg.Period().Microseconds(), Settings: f.cfg.view}
}

// Start joins the fleet as a new process, or continues from the state that another process handed over.
func (f *Fleet) Start(from *Handover, host Host) error {
	var v *membership.View
	var err error
	f.host.Store(&host)
	f.startLimits(from)
	if from != nil {
		for _, x := range from.Verdicts {
			f.store.Merge(f.now(), x.Verdict, x.Age)
		}
		v, err = membership.Resume(f.viewConfig(), from.View, f.now())
	} else {
		v, err = membership.New(f.viewConfig(), f.now())
	}
	if err != nil {
		return err
	}
	go f.applyLoop()
	f.startSession(v)
	return nil
}

func (f *Fleet) startSession(v *membership.View) {
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
	s := &session{stop: make(chan struct{}), view: v}
	s.done.Add(2)
	f.running = s
	_ = f.conn.SetReadDeadline(time.Time{})
	go f.readLoop(s)
	go f.ownerLoop(s)
}

// stopSession ends the current session and returns its view, or nil if there is none.
func (f *Fleet) stopSession() *membership.View {
	f.mu.Lock()
	s := f.running
	f.running = nil
	f.mu.Unlock()
	if s == nil {
		return nil
	}
	close(s.stop)
	_ = f.conn.SetReadDeadline(time.Unix(1, 0)) // wakes the reader; the socket stays open
	s.done.Wait()
	return s.view
}

// HandOver stops reading and returns the state for the successor. The socket stays open, so that Reclaim can
// continue. It returns nil if this process has no session.
func (f *Fleet) HandOver() *Handover {
	v := f.stopSession()
	if v == nil {
		return nil
	}
	f.mu.Lock()
	f.handedOver = v
	f.mu.Unlock()
	h := &Handover{View: v.Snapshot(), Verdicts: f.store.Snapshot(f.now())}
	f.handOverLimits(h)
	return h
}

// Reclaim continues this process's membership after the successor has ended.
func (f *Fleet) Reclaim() {
	f.mu.Lock()
	v := f.handedOver
	f.handedOver = nil
	f.mu.Unlock()
	if v != nil {
		f.reclaimLimits()
		v.Reclaim(f.now())
		f.startSession(v)
	}
}

// Joined returns a channel that is closed once this member was admitted, or has started alone.
func (f *Fleet) Joined() <-chan struct{} { return f.joined }

// NameTaken returns a channel that receives one error if this process must not serve.
func (f *Fleet) NameTaken() <-chan error { return f.nameTaken }

// Messages returns the channel of messages for the decision module.
func (f *Fleet) Messages() <-chan membership.AppMessage { return f.messages }

// Close ends this process's membership without notifying the others.
func (f *Fleet) Close() {
	f.closeOnce.Do(func() {
		close(f.closed)
		f.stopSession()
		_ = f.conn.Close()
	})
}

// Leave announces that this member leaves and waits until enough members have acknowledged it, for at most
// the given time. It returns whether they have.
func (f *Fleet) Leave(timeout time.Duration) bool {
	end := time.Now().Add(timeout)
	acked := f.callOwner(func(v *membership.View) bool {
		v.Leave(f.now())
		return v.LeaveAcknowledged()
	}, timeout)
	for !acked && time.Now().Before(end) {
		time.Sleep(min(5*time.Millisecond, timeout))
		acked = f.callOwner((*membership.View).LeaveAcknowledged, time.Until(end))
	}
	return acked
}

// callOwner runs a function on the owner goroutine and returns its result, or false after a time-out.
func (f *Fleet) callOwner(call func(*membership.View) bool, timeout time.Duration) bool {
	done := make(chan bool, 1)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case f.ownerCalls <- func(v *membership.View) { done <- call(v) }:
		return <-done
	case <-timer.C:
	case <-f.closed:
	}
	return false
}

// Configure applies a reloaded settings file and returns the changed settings that require a restart.
func (f *Fleet) Configure(fresh *Config) (needRestart []string) {
	old, updated := &f.cfg.Fleet, &fresh.Fleet
	for name, differs := range map[string]bool{"fleet.name": old.Name != updated.Name,
		"fleet.zone": old.Zone != updated.Zone, "fleet.listen": old.Listen != updated.Listen,
		"fleet.detect": old.Detect != updated.Detect, "fleet.overload": old.Overload != updated.Overload,
		"fleet.evidence": *old.Evidence.Share != *updated.Evidence.Share,
		"limit":          !sameLimits(f.cfg.Limits, fresh.Limits)} {
		if differs {
			needRestart = append(needRestart, name)
		}
	}
	slices.Sort(needRestart)
	f.keys.Store(fresh.keys)
	f.current.Store(fresh)
	f.callOwner(func(v *membership.View) bool { v.Configure(fresh.view); return true }, time.Second)
	return needRestart
}

// Tell sends a message of the decision module to another alive member, selected by a number that the module
// draws, or to all of them: see core.Peers. It does not block.
func (f *Fleet) Tell(to uint32, text string) {
	alive := *f.aliveOthers.Load()
	if len(alive) == 0 {
		return
	}
	names := alive
	if to != ^uint32(0) {
		names = alive[to%uint32(len(alive)):][:1]
	}
	call := func(v *membership.View) {
		for _, name := range names {
			if v.SendApp(name, kindModule, []byte(text)) {
				f.moduleSent.Add(1)
			}
		}
	}
	select {
	case f.ownerCalls <- call:
	default: // the owner is busy: the message is lost, as any datagram may be
	}
}

// Status returns the status that the admin endpoint shows.
func (f *Fleet) Status() *Status { return f.status.Load() }

// readLoop unseals datagrams and queues them.
func (f *Fleet) readLoop(s *session) {
	defer s.done.Done()
	buf := make([]byte, maxDatagram+1)
	for {
		n, _, err := f.conn.ReadFromUDPAddrPort(buf)
		select {
		case <-s.stop:
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
			case f.inbound <- slices.Clone(content):
				continue
			default:
				err = errQueueFull
			}
		}
		f.countDrop(err)
	}
}

// countDrop counts a dropped datagram by its reason.
func (f *Fleet) countDrop(reason error) { f.dropCounts[slices.Index(dropErrors, reason)].Add(1) }

// ownerLoop runs the goroutine that owns the view until the session ends.
func (f *Fleet) ownerLoop(s *session) {
	defer s.done.Done()
	v := s.view
	timer := time.NewTimer(0)
	defer timer.Stop()
	var publishedAt time.Time
	for {
		select {
		case <-s.stop:
			return
		case <-timer.C:
			v.Tick(f.now())
		case b := <-f.inbound:
			v.Receive(f.now(), b)
			for more := true; more; { // drain the queue before anything is sent
				select {
				case b = <-f.inbound:
					v.Receive(f.now(), b)
				default:
					more = false
				}
			}
		case call := <-f.ownerCalls:
			v.Tick(f.now())
			call(v)
		}
		changed := f.processOutput(v)
		if changed || time.Since(publishedAt) >= publishInterval {
			publishedAt = time.Now()
			f.publish(v)
		}
		timer.Reset(time.Duration(v.NextTick()-f.now()) * time.Microsecond)
	}
}

// processOutput sends the view's datagrams, logs its state changes and dispatches application messages.
func (f *Fleet) processOutput(v *membership.View) (changed bool) {
	sends, changes, messages := v.TakeOutput()
	for _, m := range messages {
		f.dispatch(v, m)
	}
	f.tick(v) // its messages are sent together with the others
	moreSends, moreChanges, _ := v.TakeOutput()
	changes = append(changes, moreChanges...)
	keys := f.keys.Load()
	for _, s := range append(sends, moreSends...) {
		// A full socket buffer loses the datagram, as the network may.
		_, _ = f.conn.WriteToUDPAddrPort(keys.seal(s.Data), s.To)
	}
	for _, c := range changes {
		f.logChange(c)
	}
	if v.Joined() {
		f.closeIfOpen(f.joined)
	}
	if c := v.Conflict(); c != nil && c.MustStop {
		select {
		case f.nameTaken <- fmt.Errorf("fleet: %w: %s, at %v", ErrNameTaken, f.cfg.Fleet.Name, c.Addr):
		default:
		}
	}
	return len(changes) > 0
}

// dispatch passes an application message to its receiver.
func (f *Fleet) dispatch(v *membership.View, msg membership.AppMessage) {
	switch msg.Kind {
	case kindVerdict:
		f.receiveVerdict(msg)
	case kindQuota:
		f.receiveLimit(v, msg)
	case kindEvidence:
		f.receiveEvidence(v, msg)
	case kindOverload:
		f.receiveOverload(v, msg)
	case kindModule:
		f.moduleReceived.Add(1)
		select {
		case f.messages <- msg:
		default:
		}
	}
}

func (f *Fleet) closeIfOpen(c chan struct{}) {
	select {
	case <-c:
	default:
		close(c)
	}
}

// logChange logs a membership change.
func (f *Fleet) logChange(c membership.Change) {
	m := c.Member
	switch {
	case c.Forgotten:
		f.log.Info("fleet member forgotten", "member", m.Name, "was", m.State.String())
	case c.Discovered:
		f.log.Info("fleet member found", "member", m.Name, "zone", m.Zone, "addr", m.Addr,
			"state", m.State.String(), "incarnation", m.Incarnation)
	case c.Previous == m.State:
		f.log.Info("fleet member restarted", "member", m.Name, "addr", m.Addr, "incarnation", m.Incarnation)
	default:
		level := slog.LevelInfo
		if m.State == membership.Dead {
			level = slog.LevelWarn
		}
		f.log.Log(context.Background(), level, "fleet member changed", "member", m.Name, "state", m.State.String(),
			"was", c.Previous.String(), "incarnation", m.Incarnation)
	}
}

// publish stores the view's state for the admin endpoint.
func (f *Fleet) publish(v *membership.View) {
	now := f.now()
	self, stats := v.Self(), v.Stats()
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
	s.Stats = Stats{PeriodMS: period, Health: stats.Health, Sent: stats.Sent, SentBytes: stats.SentBytes,
		Received: stats.Received, Dropped: f.dropped(stats), Probes: stats.Probes,
		ProbesFailed: stats.ProbesFailed, Votes: stats.Votes, Refuted: stats.Refutations, Syncs: stats.Syncs,
		Stalls: stats.Stalls, Rejoins: stats.Rejoins, Rejections: stats.Rejections,
		ModuleMessagesSent: f.moduleSent.Load(), ModuleMessagesReceived: f.moduleReceived.Load(),
		EvidenceVerdicts: f.evidence.issued, EvidenceWithheld: f.evidence.withheld, SettingsDiffer: differ,
		CrashDetectedMS: int64(crashDetectPeriods(s.Alive)) * period, SettledMS: settlePeriods * period,
		ForgottenMS: map[string]int64{
			"left": membership.ForgetLeft * period, "dead": membership.ForgetDead * period}}
	if c := v.Conflict(); c != nil {
		s.Stats.Conflict = c.Addr.String()
		if old := f.status.Load(); old.Stats.Conflict == "" {
			f.log.Error("another process bears this member's name", "member", self.Name, "addr", c.Addr,
				"refused", c.MustStop)
		}
	}
	f.aliveOthers.Store(&alive)
	f.publishVerdicts(alive)
	f.status.Store(s)
}

func (f *Fleet) dropped(stats membership.Stats) map[string]int64 {
	out := map[string]int64{}
	for i, n := range stats.Dropped {
		out[membership.DropReasonNames[i]] = n
	}
	for i, err := range dropErrors {
		out[err.Error()] = f.dropCounts[i].Load()
	}
	return out
}
