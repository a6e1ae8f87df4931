package fleet

// Verdicts: connects members, the core and operators to the verdict table of internal/verdict, which decides
// which verdicts are in force.

import (
	"errors"
	"slices"
	"time"

	"lapislever/internal/membership"
	"lapislever/internal/quota"
	"lapislever/internal/verdict"
)

// ErrTimeout reports that an operator's call was not completed in time; it may still take effect.
var ErrTimeout = errors.New("not done in time, and may still be: call again")

// ErrNoVerdict reports that there is no verdict to revoke.
var ErrNoVerdict = errors.New("the fleet has no such verdict")

// ApplyFunc enforces a verdict in this process, or stops enforcing it. It returns once that is done, or false
// if the process ends first.
type ApplyFunc func(verdict.Change) bool

// Handover is the state that the successor process of this member needs.
type Handover struct {
	View     membership.Snapshot      `json:"view"`
	Verdicts []verdict.Saved          `json:"verdicts"`
	Limits   map[string]LimitHandover `json:"lent"` // by limit name
	Leases   *quota.LeaseSnapshot     `json:"tenure,omitempty"`
}

// Verdicts is the body of GET /admin/verdicts.
type Verdicts struct {
	Verdicts []VerdictStatus  `json:"verdicts"`
	Synced   bool             `json:"told"` // this process has received the verdicts that other members knew
	Evidence []EvidenceStatus `json:"seen"` // this member's own observations of nodes that may be sick
}

// EvidenceStatus is this member's observations of one data node.
type EvidenceStatus struct {
	Node    string `json:"node"`
	Good    int    `json:"good"` // attempts served in time since the first bad one
	Bad     int    `json:"bad"`  // attempts that failed
	Late    int    `json:"late"` // attempts that took far longer than usual
	SinceMS int64  `json:"since_ms"`
}

// VerdictStatus is one verdict in Verdicts. Times are Unix milliseconds by this process's clock.
type VerdictStatus struct {
	Kind    string   `json:"kind"`
	What    string   `json:"what"`
	By      string   `json:"by"`
	Reason  string   `json:"reason"`
	AtMS    int64    `json:"at_ms"`
	EndsMS  int64    `json:"ends_ms"` // 0: in force until it is revoked
	Held    []string `json:"held"`
	Missing []string `json:"missing"`
}

// verdictStore is the verdict table with its exchange between members. Only the owner goroutine uses it.
type verdictStore struct {
	*verdict.Gossiper
	nextTickAt membership.Micros
	pending    []verdict.Change
}

// maxPending is the capacity of the queue of changes to the core; further ones wait in verdictStore.pending.
const maxPending = 64

// applyLoop enforces changes one after the other.
func (f *Fleet) applyLoop() {
	for {
		select {
		case c := <-f.toApply:
			if f.host.Load().Apply != nil && !f.host.Load().Apply(c) {
				return
			}
			f.postToOwner(func(*membership.View) {
				f.store.Applied(c.Verdict)
			}, time.Hour)
		case <-f.closed:
			return
		}
	}
}

// postToOwner hands a function to the owner goroutine and waits until it is accepted. It returns false if the
// fleet is closed or the function is not accepted within the given time.
func (f *Fleet) postToOwner(call func(*membership.View), timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case f.ownerCalls <- call:
		return true
	case <-f.closed:
	case <-timer.C:
	}
	return false
}

// tick runs the periodic work of verdicts, limits, evidence and overload, and sends verdict messages.
func (f *Fleet) tick(v *membership.View) {
	store := &f.store
	if now := f.now(); v.Joined() && now >= store.nextTickAt {
		store.nextTickAt = now + f.cfg.Period().Microseconds()
		var peers []verdict.Peer
		var names []string
		self := v.Self().Name
		for _, m := range v.Members() {
			if m.State <= membership.Suspect && m.Name != self {
				peers = append(peers, verdict.Peer{Name: m.Name, Digest: m.AppTag})
				names = append(names, m.Name)
			}
		}
		store.Tick(now, peers)
		f.tickLimits(v, now, names)
		f.tickEvidence(v, now)
		f.tickOverload(v, now, names)
	}
	sends, changes := store.TakePending()
	for _, c := range changes {
		f.clearEvidence(c)
		if !f.appliesHere(&c.Verdict) { // there is nothing to enforce
			store.Applied(c.Verdict)
		}
		if c.Verdict.Kind != verdict.Setting {
			f.log.Info("fleet verdict", "kind", c.Verdict.String(), "what", c.Verdict.What, "holds", c.InForce,
				"by", c.Verdict.By, "at", c.Verdict.Member, "reason", c.Verdict.Reason)
		}
		store.Push(f.now(), c.Verdict)
	}
	more, _ := store.TakePending()
	for _, s := range append(sends, more...) {
		v.SendApp(s.To, kindVerdict, s.Data)
	}
	for _, c := range changes {
		if f.appliesHere(&c.Verdict) {
			store.pending = append(store.pending, c)
		}
	}
	for len(store.pending) > 0 {
		select {
		case f.toApply <- store.pending[0]:
			store.pending = store.pending[1:]
			continue
		default:
		}
		break
	}
	v.SetAppTag(store.AnnouncedDigest())
}

// receiveVerdict handles another member's verdict message.
func (f *Fleet) receiveVerdict(msg membership.AppMessage) {
	if !f.store.Receive(f.now(), msg.From, msg.Data) {
		f.countDrop(errBadMessage)
	}
}

// publishVerdicts stores the verdicts for the admin endpoint.
func (f *Fleet) publishVerdicts(alive []string) {
	now, wallMS := f.now(), time.Now().UnixMilli()
	out := &Verdicts{Verdicts: []VerdictStatus{}, Synced: f.store.Synced()}
	for _, l := range f.store.InForce(now) {
		if l.Kind == verdict.Setting {
			continue
		}
		out.Verdicts = append(out.Verdicts, f.verdictStatus(l, alive, wallMS))
	}
	f.verdicts.Store(out)
}

func (f *Fleet) verdictStatus(l verdict.Status, alive []string, wallMS int64) VerdictStatus {
	s := VerdictStatus{Kind: l.Verdict.String(), What: l.What, By: l.By, Reason: l.Reason, Held: l.HeldBy,
		AtMS: wallMS - l.Age/1000, Missing: []string{}}
	if s.Held == nil {
		s.Held = []string{}
	}
	if l.Span > 0 {
		s.EndsMS = s.AtMS + l.Span/1000
	}
	for _, name := range append([]string{f.cfg.Fleet.Name}, alive...) {
		if !slices.Contains(l.HeldBy, name) {
			s.Missing = append(s.Missing, name)
		}
	}
	slices.Sort(s.Missing)
	return s
}

// Verdicts returns the verdicts that the admin endpoint shows.
func (f *Fleet) Verdicts() *Verdicts {
	v := *f.verdicts.Load()
	v.Evidence = f.evidenceStatus()
	return &v
}

// VerdictsSynced reports whether this process has received the verdicts that other members knew.
func (f *Fleet) VerdictsSynced() bool { return f.verdicts.Load().Synced }

// IssueVerdict issues a verdict for the fleet. It returns once the verdict is enforced here and at all other
// alive members, for which it waits at most for wait. It fails if the verdict is not enforced here within the
// longer of timeout and wait.
func (f *Fleet) IssueVerdict(v verdict.Verdict, timeout, wait time.Duration) (VerdictStatus, error) {
	startedAt := time.Now()
	var issued verdict.Verdict
	var err error
	done := make(chan struct{})
	if !f.postToOwner(func(*membership.View) {
		defer close(done)
		if !v.On {
			var revoked []verdict.Verdict
			if v.Kind == verdict.Node {
				revoked = f.liftEvidence(&v)
			}
			if l, ok := f.store.Lookup(f.now(), v.Kind, v.What); !ok || !l.On {
				if err = ErrNoVerdict; len(revoked) > 0 { // there were only verdicts by evidence, now revoked
					issued, err = revoked[0], nil
				}
				return
			}
		}
		issued, err = f.store.Issue(f.now(), time.Now().UnixMilli(), v)
	}, timeout) {
		return VerdictStatus{}, ErrTimeout
	}
	<-done
	if err != nil {
		return VerdictStatus{}, err
	}
	for {
		var s VerdictStatus
		checked := make(chan struct{})
		if !f.postToOwner(func(*membership.View) {
			defer close(checked)
			l, ok := f.store.Lookup(f.now(), issued.Kind, issued.What)
			if ok && l.Stamp == issued.Stamp && l.Member == issued.Member {
				s = f.verdictStatus(l, *f.aliveOthers.Load(), time.Now().UnixMilli())
			} else { // a newer verdict has replaced it
				s = VerdictStatus{Held: []string{f.cfg.Fleet.Name}, Missing: []string{}}
			}
		}, timeout) {
			return s, ErrTimeout
		}
		<-checked
		enforcedHere := slices.Contains(s.Held, f.cfg.Fleet.Name)
		elapsed := time.Since(startedAt)
		switch {
		case enforcedHere && (len(s.Missing) == 0 || elapsed >= wait):
			return s, nil
		case !enforcedHere && elapsed >= max(timeout, wait):
			return s, ErrTimeout
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// liftEvidence revokes a node's verdicts by evidence on an operator's call, and returns the revocations.
func (f *Fleet) liftEvidence(v *verdict.Verdict) (revoked []verdict.Verdict) {
	for _, x := range f.store.SickVerdicts(f.now(), v.What) {
		x.On, x.By, x.Reason, x.Span = false, v.By, v.Reason, 0
		if x, err := f.store.Issue(f.now(), time.Now().UnixMilli(), x); err == nil {
			revoked = append(revoked, x)
		}
	}
	return revoked
}
