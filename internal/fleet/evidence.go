package fleet

// What this member sees of data nodes, on its way to those who judge them. Who is sick is the jury's to say:
// internal/verdict.

import (
	"fmt"
	"sync"
	"time"

	"lapislever/internal/core"
	"lapislever/internal/membership"
	"lapislever/internal/verdict"
)

// defaultShare is how many of all nodes may be out by evidence at a time.
const defaultShare = 0.25

// soundHealth is the greatest local health at which a member's word on nodes counts: one that gets too little
// processor time sees all of them late.
const soundHealth = 1

// Host is what the fleet's part needs of the process around it. Functions that are nil are not called.
type Host struct {
	// Apply carries verdicts out here.
	Apply Apply
	// NodeName is the name of a data node by its number; false: it is not known here.
	NodeName func(node uint64) (string, bool)
	// NodeCount is how many data nodes are listed.
	NodeCount func() int
}

// jurors is the part of the fleet that judges.
type jurors struct {
	mu    sync.Mutex // guards jury: the core tells what it sees from its own goroutine
	jury  *verdict.OutlierDetector
	zones map[string]string // the view's owner's: of members that are alive
	given int64             // judgements given here
	held  int64             // and held back, as too many were out
}

// ServerNumber is the number of a data node by its name: the module's, as peers name nodes by it.
func ServerNumber(name string) uint64 { return uint64(core.ServerID(name)) }

// EvidenceEnabled tells that evidence counts at this member.
func (c *Config) EvidenceEnabled() bool {
	return c.Fleet.Evidence.Share != nil && *c.Fleet.Evidence.Share > 0
}

// EvidenceShare is how many of all nodes may be out by evidence at a time, as a share.
func (c *Config) EvidenceShare() float64 { return *c.Fleet.Evidence.Share }

// ObserveAttempt takes in how an attempt at a node ended that took so long. It does not wait.
func (f *Fleet) ObserveAttempt(node uint64, class int, e verdict.Outcome, took time.Duration) {
	f.jurors.mu.Lock()
	defer f.jurors.mu.Unlock()
	f.jurors.jury.Observe(f.now(), node, class, e, took.Microseconds())
}

// tendJury has the jury its turn, once a period.
func (f *Fleet) tendJury(v *membership.View, now membership.Micros) {
	if !f.cfg.EvidenceEnabled() {
		return
	}
	j := &f.jurors
	self := f.cfg.Fleet.Name
	var others []verdict.Member
	size := 0
	clear(j.zones)
	for _, m := range v.Members() {
		if m.State <= membership.Dead {
			size++
		}
		if m.State <= membership.Suspect && m.Name != self {
			others = append(others, verdict.Member{Name: m.Name, Zone: m.Zone})
			j.zones[m.Name] = m.Zone
		}
	}
	j.mu.Lock()
	sends := j.jury.Tick(now, others, size, v.Stats().Health <= soundHealth)
	judged := j.jury.Outliers(now)
	j.mu.Unlock()
	for _, s := range sends {
		v.Say(s.To, toEvidence, s.Data)
	}
	for _, x := range judged {
		f.judge(now, x, len(others)+1, size)
	}
}

// judge gives the verdict that a judgement is, if it may be given and there is room for it.
func (f *Fleet) judge(now membership.Micros, x verdict.Outlier, alive, size int) {
	host := f.host.Load()
	if host.NodeName == nil || host.NodeCount == nil {
		return
	}
	name, ok := host.NodeName(x.Node)
	if !ok {
		return
	}
	said, may := f.keep.SickVerdict(now, f.cfg.Period().Microseconds(), name, x)
	if !may {
		return
	}
	if f.keep.CountSick(now, x.Zone) >= verdict.MaxSick(host.NodeCount(), f.cfg.EvidenceShare(), alive, size) {
		f.jurors.held++
		return
	}
	if _, err := f.keep.Issue(now, time.Now().UnixMilli(), said); err != nil {
		f.log.Warn("a sick node stays in", "node", name, "err", err)
		return
	}
	f.jurors.given++
}

// hearEvidence takes in another member's message on what it has seen.
func (f *Fleet) hearEvidence(v *membership.View, h membership.Heard) {
	if !f.cfg.EvidenceEnabled() {
		return
	}
	zone, ok := f.jurors.zones[h.From]
	if !ok {
		return // it has come up since the last period
	}
	f.jurors.mu.Lock()
	sends, ok := f.jurors.jury.Receive(f.now(), verdict.Member{Name: h.From, Zone: zone}, h.Data)
	f.jurors.mu.Unlock()
	if !ok {
		f.drop(errMessage)
	}
	for _, s := range sends {
		v.Say(s.To, toEvidence, s.Data)
	}
}

// acquit drops the evidence against a node that is back: it has to be found sick anew.
func (f *Fleet) acquit(c verdict.Change) {
	if c.InForce || c.Verdict.Kind != verdict.SickNode && c.Verdict.Kind != verdict.SickPath {
		return
	}
	name, _ := c.Verdict.Node()
	f.jurors.mu.Lock()
	defer f.jurors.mu.Unlock()
	f.jurors.jury.ClearEvidence(ServerNumber(name))
}

// seen is what this member has seen of nodes that may be sick, for the door.
func (f *Fleet) seen() []SeenStatus {
	out := []SeenStatus{}
	now := f.now()
	f.jurors.mu.Lock()
	defer f.jurors.mu.Unlock()
	for _, id := range f.jurors.jury.FailingNodes() {
		t := f.jurors.jury.Tally(now, id, 0)
		s := SeenStatus{Node: fmt.Sprintf("%016x", id), Good: int(t.Good), Bad: int(t.Bad), Late: int(t.Late),
			SinceMS: int64(t.FirstBadAge) * f.cfg.Period().Milliseconds()}
		if host := f.host.Load(); host.NodeName != nil {
			if name, ok := host.NodeName(id); ok {
				s.Node = name
			}
		}
		out = append(out, s)
	}
	return out
}

// concerns tells that a verdict is to be carried out at this member.
func (f *Fleet) concerns(x *verdict.Verdict) bool {
	_, zone := x.Node()
	return x.Kind != verdict.Setting && (zone == "" || zone == f.cfg.Fleet.Zone)
}
