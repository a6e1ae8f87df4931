package fleet

// Evidence on data nodes: passes this member's observations to the outlier detection of internal/verdict,
// which decides which nodes are sick.

import (
	"fmt"
	"sync"
	"time"

	"lapislever/internal/core"
	"lapislever/internal/membership"
	"lapislever/internal/verdict"
)

// defaultEvidenceShare is the default maximum share of all nodes that evidence may take out at a time.
const defaultEvidenceShare = 0.25

// maxObserverHealth is the highest local health score at which a member's observations of nodes count: a
// process that gets too little CPU time sees late answers from all nodes.
const maxObserverHealth = 1

// Host is the set of callbacks into the process that a Fleet runs in. Nil functions are not called.
type Host struct {
	// Apply enforces verdicts in this process.
	Apply ApplyFunc
	// NodeName returns the name of a data node by its ID; false: it is not known here.
	NodeName func(node uint64) (string, bool)
	// NodeCount returns the number of listed data nodes.
	NodeCount func() int
}

// evidenceState is this member's outlier detector and its counters.
type evidenceState struct {
	mu       sync.Mutex // guards detector: the core reports attempts from its own goroutine
	detector *verdict.OutlierDetector
	zones    map[string]string // owner goroutine only: zones of alive members, by name
	issued   int64             // verdicts issued by this member
	withheld int64             // verdicts withheld because too many nodes were out
}

// ServerID returns the ID of a data node by its name. It is the module's ID, which peers use in messages.
func ServerID(name string) uint64 { return uint64(core.ServerID(name)) }

// EvidenceEnabled reports whether this member takes part in outlier detection by evidence.
func (c *Config) EvidenceEnabled() bool {
	return c.Fleet.Evidence.Share != nil && *c.Fleet.Evidence.Share > 0
}

// EvidenceShare is the maximum share of all nodes that evidence may take out at a time.
func (c *Config) EvidenceShare() float64 { return *c.Fleet.Evidence.Share }

// ObserveAttempt records the result and the duration of an attempt to a node. It does not block.
func (f *Fleet) ObserveAttempt(node uint64, class int, outcome verdict.Outcome, elapsed time.Duration) {
	f.evidence.mu.Lock()
	defer f.evidence.mu.Unlock()
	f.evidence.detector.Observe(f.now(), node, class, outcome, elapsed.Microseconds())
}

// tickEvidence runs the detector's periodic work and issues verdicts on the outliers that it finds.
func (f *Fleet) tickEvidence(v *membership.View, now membership.Micros) {
	if !f.cfg.EvidenceEnabled() {
		return
	}
	e := &f.evidence
	self := f.cfg.Fleet.Name
	var others []verdict.Member
	size := 0
	clear(e.zones)
	for _, m := range v.Members() {
		if m.State <= membership.Dead {
			size++
		}
		if m.State <= membership.Suspect && m.Name != self {
			others = append(others, verdict.Member{Name: m.Name, Zone: m.Zone})
			e.zones[m.Name] = m.Zone
		}
	}
	e.mu.Lock()
	sends := e.detector.Tick(now, others, size, v.Stats().Health <= maxObserverHealth)
	outliers := e.detector.Outliers(now)
	e.mu.Unlock()
	for _, s := range sends {
		v.SendApp(s.To, kindEvidence, s.Data)
	}
	for _, outlier := range outliers {
		f.issueSick(now, outlier, len(others)+1, size)
	}
}

// issueSick issues the verdict on an outlier, unless it is barred or too many nodes are out already.
func (f *Fleet) issueSick(now membership.Micros, outlier verdict.Outlier, alive, size int) {
	host := f.host.Load()
	if host.NodeName == nil || host.NodeCount == nil {
		return
	}
	name, ok := host.NodeName(outlier.Node)
	if !ok {
		return
	}
	v, allowed := f.store.SickVerdict(now, f.cfg.Period().Microseconds(), name, outlier)
	if !allowed {
		return
	}
	if f.store.CountSick(now, outlier.Zone) >=
		verdict.MaxSick(host.NodeCount(), f.cfg.EvidenceShare(), alive, size) {
		f.evidence.withheld++
		return
	}
	if _, err := f.store.Issue(now, time.Now().UnixMilli(), v); err != nil {
		f.log.Warn("no verdict issued on a sick node", "node", name, "err", err)
		return
	}
	f.evidence.issued++
}

// receiveEvidence handles another member's evidence message.
func (f *Fleet) receiveEvidence(v *membership.View, msg membership.AppMessage) {
	if !f.cfg.EvidenceEnabled() {
		return
	}
	zone, ok := f.evidence.zones[msg.From]
	if !ok {
		return // it joined after the last period's update of zones
	}
	f.evidence.mu.Lock()
	sends, ok := f.evidence.detector.Receive(f.now(), verdict.Member{Name: msg.From, Zone: zone}, msg.Data)
	f.evidence.mu.Unlock()
	if !ok {
		f.countDrop(errBadMessage)
	}
	for _, s := range sends {
		v.SendApp(s.To, kindEvidence, s.Data)
	}
}

// clearEvidence drops the evidence against a node that is back in use, so that only new evidence counts.
func (f *Fleet) clearEvidence(c verdict.Change) {
	if c.InForce || c.Verdict.Kind != verdict.SickNode && c.Verdict.Kind != verdict.SickPath {
		return
	}
	name, _ := c.Verdict.Node()
	f.evidence.mu.Lock()
	defer f.evidence.mu.Unlock()
	f.evidence.detector.ClearEvidence(ServerID(name))
}

// evidenceStatus returns this member's observations of nodes that may be sick, for the admin endpoint.
func (f *Fleet) evidenceStatus() []EvidenceStatus {
	out := []EvidenceStatus{}
	now := f.now()
	f.evidence.mu.Lock()
	defer f.evidence.mu.Unlock()
	for _, id := range f.evidence.detector.FailingNodes() {
		t := f.evidence.detector.Tally(now, id, 0)
		s := EvidenceStatus{Node: fmt.Sprintf("%016x", id), Good: int(t.Good), Bad: int(t.Bad), Late: int(t.Late),
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

// appliesHere reports whether a verdict has to be enforced at this member.
func (f *Fleet) appliesHere(v *verdict.Verdict) bool {
	_, zone := v.Node()
	return v.Kind != verdict.Setting && (zone == "" || zone == f.cfg.Fleet.Zone)
}
