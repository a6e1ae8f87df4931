// Package rehearse runs load and failure scenarios against coordinator processes, with emulated data nodes,
// an open-loop load generator and scripted faults. It records measurements, stores them, compares runs and
// draws charts. It is a separate tool and must never be linked into the serving program.
package rehearse

import (
	"embed"
	"fmt"
	"os"
	"path"
	"slices"
	"strings"

	"lapislever/internal/settings"
)

//go:embed scenarios/*.toml
var scenarios embed.FS

// Scenario describes a run. Times are in seconds since the start of the load.
type Scenario struct {
	About            string  `toml:"about"`
	Seed             uint64  `toml:"seed,omitempty"`
	Members          int     `toml:"members"`
	Nodes            int     `toml:"nodes"`
	DurationS        float64 `toml:"for_s"`
	Node             Ledger  `toml:"node"`
	Load             Load    `toml:"load"`
	Events           []Event `toml:"event,omitempty"`
	ExtraFleetConfig string  `toml:"fleet,omitempty"` // text appended to each member's fleet file
	Standalone       bool    `toml:"alone,omitempty"` // the members do not form a fleet

	Name string `toml:"-"`
}

// Ledger configures the emulated data nodes, which are all alike. The type names of a scenario's tables
// appear in messages about malformed files.
type Ledger struct {
	Slots     int     `toml:"slots"`           // parts processed concurrently
	Queue     int     `toml:"queue"`           // parts that can wait; further ones are rejected
	WorkMS    float64 `toml:"work_ms"`         // mean processing time of a part
	FixedWork bool    `toml:"fixed,omitempty"` // every part takes exactly WorkMS
}

// Load describes the requests that clients send.
type Load struct {
	Rate            float64 `toml:"rate"`              // new requests per second, without retries
	Steps           []Rate  `toml:"step,omitempty"`    // later changes of the rate
	Retries         int     `toml:"retries,omitempty"` // maximum retries of an unanswered request
	HonorRetryAfter bool    `toml:"heed,omitempty"`    // clients wait for Retry-After instead of 0.1 s
	PostShare       float64 `toml:"posts,omitempty"`   // share of exchange-post requests, worth 4 times as much
}

// Rate is a request rate that applies from a point in time.
type Rate struct {
	At   float64 `toml:"at_s"`
	Rate float64 `toml:"rate"`
}

// rateAt returns the request rate at a time.
func (l *Load) rateAt(at float64) float64 {
	rate := l.Rate
	for _, st := range l.Steps {
		if at >= st.At {
			rate = st.Rate
		}
	}
	return rate
}

// Event is a scripted change to members, nodes or links.
type Event struct {
	At         float64  `toml:"at_s"`
	Action     string   `toml:"do"`
	Targets    []string `toml:"who,omitempty"`  // members or nodes
	SlowFactor float64  `toml:"by,omitempty"`   // for slow: factor on the processing time
	OtherSide  []string `toml:"from,omitempty"` // for cut: members on the other side of the partition
}

// Limits of a scenario; those with Real apply to runs with real processes.
const (
	maxMembers     = 1000
	maxNodes       = 2000
	maxRealMembers = 12
	maxRealNodes   = 40
	maxRate        = 200_000
)

var actions = []string{"kill", "start", "stop", "cont", "cut", "heal", "slow", "fail", "deaf", "sound"}

// ParseScenario parses and validates a scenario. It reports all errors at once, each with its line and key.
func ParseScenario(name, text string) (*Scenario, error) {
	s := &Scenario{Name: strings.TrimSuffix(path.Base(name), ".toml")}
	f, err := settings.Parse(name, text, s)
	if err != nil {
		return nil, err
	}
	within := func(key string, x, lowest, highest float64) {
		f.Require(x >= lowest && x <= highest, key, "%g is not within %g and %g", x, lowest, highest)
	}
	within("members", float64(s.Members), 1, maxMembers)
	within("nodes", float64(s.Nodes), 2, maxNodes)
	within("for_s", s.DurationS, 1, 600)
	within("node.slots", float64(s.Node.Slots), 1, 256)
	within("node.queue", float64(s.Node.Queue), 0, 4096)
	within("node.work_ms", s.Node.WorkMS, 0.1, 10_000)
	within("load.rate", s.Load.Rate, 0, maxRate)
	within("load.retries", float64(s.Load.Retries), 0, 10)
	within("load.posts", s.Load.PostShare, 0, 1)
	for i, st := range s.Load.Steps {
		table := fmt.Sprintf("load.step[%d]", i+1)
		within(table+".at_s", st.At, 0, s.DurationS)
		within(table+".rate", st.Rate, 0, maxRate)
		f.Require(i == 0 || st.At >= s.Load.Steps[i-1].At, table+".at_s", "comes before the step above")
	}
	for i, e := range s.Events {
		table := fmt.Sprintf("event[%d]", i+1)
		within(table+".at_s", e.At, 0, s.DurationS)
		f.Require(slices.Contains(actions, e.Action), table+".do", "%q is none of %v", e.Action, actions)
		for _, target := range append(slices.Clone(e.Targets), e.OtherSide...) {
			n := -1
			_, memberErr := fmt.Sscanf(target, "m%02d", &n)
			member := memberErr == nil && n >= 0 && n < s.Members
			_, nodeErr := fmt.Sscanf(target, "n%d", &n)
			node := nodeErr == nil && n >= 0 && n < s.Nodes
			f.Require(member || node, table+".who", "%q is no member and no node", target)
			f.Require(member == !isNodeAction(e.Action), table+".who", "%q can't be told to %s", target, e.Action)
		}
		f.Require(len(e.Targets) > 0 || e.Action == "heal", table+".who", "is missing")
		f.Require(e.Action != "slow" || e.SlowFactor > 0, table+".by", "is missing")
		f.Require(e.Action != "cut" || len(e.OtherSide) > 0, table+".from", "is missing")
	}
	return s, f.Err()
}

// isNodeAction reports whether an action applies to data nodes rather than to members.
func isNodeAction(action string) bool {
	return slices.Contains([]string{"slow", "fail", "deaf", "sound"}, action)
}

// OpenScenario loads a built-in scenario by name, or else a scenario file.
func OpenScenario(name string) (*Scenario, error) {
	if text, err := scenarios.ReadFile("scenarios/" + name + ".toml"); err == nil {
		return ParseScenario(name+".toml", string(text))
	}
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("%w; the tool's own are: %s", err, strings.Join(ScenarioNames(), ", "))
	}
	return ParseScenario(name, string(text))
}

// ScenarioNames lists the built-in scenarios.
func ScenarioNames() (names []string) {
	list, _ := scenarios.ReadDir("scenarios")
	for _, e := range list {
		names = append(names, strings.TrimSuffix(e.Name(), ".toml"))
	}
	return names
}

// Capacity returns the number of two-part queries that all nodes together can process per second.
func (s *Scenario) Capacity() float64 {
	return float64(s.Nodes*s.Node.Slots) * 1000 / s.Node.WorkMS / 2
}

// scale multiplies the members, nodes and load of a scenario. An event on a member or node then applies to
// all of its copies too.
func (s *Scenario) scale(factor int) {
	for i := range s.Events {
		e := &s.Events[i]
		for _, list := range []*[]string{&e.Targets, &e.OtherSide} {
			var all []string
			for _, target := range *list {
				n, count, format := 0, s.Members, "m%02d"
				if isNodeAction(e.Action) {
					count, format = s.Nodes, "n%d"
				}
				_, _ = fmt.Sscanf(target[1:], "%d", &n)
				for k := range factor {
					all = append(all, fmt.Sprintf(format, n+k*count))
				}
			}
			*list = all
		}
	}
	s.Members, s.Nodes = min(maxMembers, s.Members*factor), min(maxNodes, s.Nodes*factor)
	s.Load.Rate *= float64(factor)
	for i := range s.Load.Steps {
		s.Load.Steps[i].Rate *= float64(factor)
	}
}
