package fleet

// Verdicts on the way between members, the core and operators. What holds is the table's to say:
// internal/verdict.

import (
	"errors"
	"slices"
	"time"

	"lapislever/internal/membership"
	"lapislever/internal/quota"
	"lapislever/internal/verdict"
)

// ErrTimeout tells that an operator's call was not carried out in time; it may still be.
var ErrTimeout = errors.New("not done in time, and may still be: call again")

// ErrNoVerdict tells that there is nothing to take back.
var ErrNoVerdict = errors.New("the fleet has no such verdict")

// Apply carries out at this member that something holds, or does not any more. It returns once that is done,
// or false if this process ends before.
type Apply func(verdict.Change) bool

// Handover is what the next process of this member needs.
type Handover struct {
	View     membership.Snapshot  `json:"view"`
	Verdicts []verdict.Saved      `json:"verdicts"`
	Lent     map[string]Handed    `json:"lent"` // of each limit
	Tenure   *quota.LeaseSnapshot `json:"tenure,omitempty"`
}

// Verdicts is the form of GET /admin/verdicts.
type Verdicts struct {
	Verdicts []VerdictStatus `json:"verdicts"`
	Told     bool            `json:"told"` // this process has taken in what another one knew
	Seen     []SeenStatus    `json:"seen"` // what this member itself has seen of nodes that may be sick
}

// SeenStatus is what this member has seen of one data node.
type SeenStatus struct {
	Node    string `json:"node"`
	Good    int    `json:"good"` // attempts that were served in time since the first bad one
	Bad     int    `json:"bad"`  // that came to nothing
	Late    int    `json:"late"` // that took far longer than is usual
	SinceMS int64  `json:"since_ms"`
}

// VerdictStatus is one verdict as the door shows it. Times are in Unix milliseconds by the clock here.
type VerdictStatus struct {
	Kind    string   `json:"kind"`
	What    string   `json:"what"`
	By      string   `json:"by"`
	Reason  string   `json:"reason"`
	AtMS    int64    `json:"at_ms"`
	EndsMS  int64    `json:"ends_ms"` // 0: when it is taken back
	Held    []string `json:"held"`
	Missing []string `json:"missing"`
}

// keeper is the part of the goroutine that holds the view which holds the table.
type keeper struct {
	*verdict.Gossiper
	tickAt  membership.Micros
	pending []verdict.Change
}

// mostPending is how many changes may wait for the core beside those that the keeper holds back.
const mostPending = 64

// apply carries changes out one after the other.
func (f *Fleet) apply() {
	for {
		select {
		case c := <-f.toApply:
			if f.host.Load().Apply != nil && !f.host.Load().Apply(c) {
				return
			}
			f.call(func(*membership.View) {
				f.keep.Applied(c.Verdict)
			}, time.Hour)
		case <-f.closed:
			return
		}
	}
}

// call has the view's owner call a function, and waits until it takes it. False: there is no owner any more,
// or none that takes it within the time.
func (f *Fleet) call(do func(*membership.View), within time.Duration) bool {
	late := time.NewTimer(within)
	defer late.Stop()
	select {
	case f.calls <- do:
		return true
	case <-f.closed:
	case <-late.C:
	}
	return false
}

// tend lets the table have its turn: once a period it looks whom to tell.
func (f *Fleet) tend(v *membership.View) {
	k := &f.keep
	if now := f.now(); v.Joined() && now >= k.tickAt {
		k.tickAt = now + f.cfg.Period().Microseconds()
		var peers []verdict.Peer
		var names []string
		self := v.Self().Name
		for _, m := range v.Members() {
			if m.State <= membership.Suspect && m.Name != self {
				peers = append(peers, verdict.Peer{Name: m.Name, Digest: m.App})
				names = append(names, m.Name)
			}
		}
		k.Tick(now, peers)
		f.tendLimits(v, now, names)
		f.tendJury(v, now)
		f.tendOverload(v, now, names)
	}
	sends, changes := k.TakePending()
	for _, c := range changes {
		f.acquit(c)
		if !f.concerns(&c.Verdict) { // there is nothing to carry out
			k.Applied(c.Verdict)
		}
		if c.Verdict.Kind != verdict.Setting {
			f.log.Info("fleet verdict", "kind", c.Verdict.String(), "what", c.Verdict.What, "holds", c.InForce,
				"by", c.Verdict.By, "at", c.Verdict.Member, "reason", c.Verdict.Reason)
		}
		k.Push(f.now(), c.Verdict)
	}
	more, _ := k.TakePending()
	for _, s := range append(sends, more...) {
		v.Say(s.To, toVerdict, s.Data)
	}
	for _, c := range changes {
		if f.concerns(&c.Verdict) {
			k.pending = append(k.pending, c)
		}
	}
	for len(k.pending) > 0 {
		select {
		case f.toApply <- k.pending[0]:
			k.pending = k.pending[1:]
			continue
		default:
		}
		break
	}
	v.Tell(k.AnnouncedDigest())
}

// hearVerdict takes in another member's message on verdicts.
func (f *Fleet) hearVerdict(h membership.Heard) {
	if !f.keep.Receive(f.now(), h.From, h.Data) {
		f.drop(errMessage)
	}
}

// showVerdicts makes the table what the door shows.
func (f *Fleet) showVerdicts(alive []string) {
	now, wall := f.now(), time.Now().UnixMilli()
	out := &Verdicts{Verdicts: []VerdictStatus{}, Told: f.keep.Synced()}
	for _, l := range f.keep.InForce(now) {
		if l.Kind == verdict.Setting {
			continue
		}
		out.Verdicts = append(out.Verdicts, f.status(l, alive, wall))
	}
	f.verdicts.Store(out)
}

func (f *Fleet) status(l verdict.Status, alive []string, wall int64) VerdictStatus {
	s := VerdictStatus{Kind: l.Verdict.String(), What: l.What, By: l.By, Reason: l.Reason, Held: l.HeldBy,
		AtMS: wall - l.Age/1000, Missing: []string{}}
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

// Verdicts is what the door shows.
func (f *Fleet) Verdicts() *Verdicts {
	v := *f.verdicts.Load()
	v.Seen = f.seen()
	return &v
}

// VerdictsSynced tells that this process has taken in what other members knew.
func (f *Fleet) VerdictsSynced() bool { return f.verdicts.Load().Told }

// IssueVerdict gives a verdict for the fleet. It returns once that holds here and, for as long as wait says, at all
// others that are alive.
func (f *Fleet) IssueVerdict(v verdict.Verdict, within, wait time.Duration) (VerdictStatus, error) {
	begun := time.Now()
	var given verdict.Verdict
	var err error
	done := make(chan struct{})
	if !f.call(func(*membership.View) {
		defer close(done)
		if !v.On {
			var ill []verdict.Verdict
			if v.Kind == verdict.Node {
				ill = f.pardon(&v)
			}
			if l, ok := f.keep.Lookup(f.now(), v.Kind, v.What); !ok || !l.On {
				if err = ErrNoVerdict; len(ill) > 0 { // by evidence alone, and that is taken back
					given, err = ill[0], nil
				}
				return
			}
		}
		given, err = f.keep.Issue(f.now(), time.Now().UnixMilli(), v)
	}, within) {
		return VerdictStatus{}, ErrTimeout
	}
	<-done
	if err != nil {
		return VerdictStatus{}, err
	}
	for {
		var s VerdictStatus
		looked := make(chan struct{})
		if !f.call(func(*membership.View) {
			defer close(looked)
			l, ok := f.keep.Lookup(f.now(), given.Kind, given.What)
			if ok && l.Stamp == given.Stamp && l.Member == given.Member {
				s = f.status(l, *f.alive.Load(), time.Now().UnixMilli())
			} else { // another has said otherwise since
				s = VerdictStatus{Held: []string{f.cfg.Fleet.Name}, Missing: []string{}}
			}
		}, within) {
			return s, ErrTimeout
		}
		<-looked
		here := slices.Contains(s.Held, f.cfg.Fleet.Name)
		took := time.Since(begun)
		switch {
		case here && (len(s.Missing) == 0 || took >= wait):
			return s, nil
		case !here && took >= max(within, wait):
			return s, ErrTimeout
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// pardon takes back what holds of a node by evidence, with an operator's word, and returns that.
func (f *Fleet) pardon(v *verdict.Verdict) (given []verdict.Verdict) {
	for _, x := range f.keep.SickVerdicts(f.now(), v.What) {
		x.On, x.By, x.Reason, x.Span = false, v.By, v.Reason, 0
		if x, err := f.keep.Issue(f.now(), time.Now().UnixMilli(), x); err == nil {
			given = append(given, x)
		}
	}
	return given
}
