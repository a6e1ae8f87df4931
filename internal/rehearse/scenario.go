// Package rehearse plays scenarios on processes of the program: emulated data nodes, an open-loop load and
// scripted failures around them. It measures, keeps what it measured, compares and draws. It is a tool: never
// linked into serving.
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

// Scenario is a run written down. Times are in seconds from the load's begin.
type Scenario struct {
	About   string  `toml:"about"`
	Seed    uint64  `toml:"seed,omitempty"`
	Members int     `toml:"members"`
	Nodes   int     `toml:"nodes"`
	For     float64 `toml:"for_s"`
	Node    Ledger  `toml:"node"`
	Load    Load    `toml:"load"`
	Events  []Event `toml:"event,omitempty"`
	Fleet   string  `toml:"fleet,omitempty"` // text that is added to each member's fleet file
	Alone   bool    `toml:"alone,omitempty"` // the members know nothing of one another

	Name string `toml:"-"`
}

// Ledger is what all data nodes are like.
type Ledger struct {
	Slots  int     `toml:"slots"`   // parts that are worked on at a time
	Queue  int     `toml:"queue"`   // that wait; more are turned away
	WorkMS float64 `toml:"work_ms"` // of a part, on the mean
	Fixed  bool    `toml:"fixed,omitempty"`
}

// Load is what clients ask for.
type Load struct {
	Rate    float64 `toml:"rate"`              // first tries a second
	Steps   []Rate  `toml:"step,omitempty"`    // and from when on another rate
	Retries int     `toml:"retries,omitempty"` // that a client makes of one that was not answered
	Heed    bool    `toml:"heed,omitempty"`    // they come back when they are told to, not after 0.1 s
	Posts   float64 `toml:"posts,omitempty"`   // share that is exchange-post, which is worth 4 times as much
}

// Rate is how much is asked for from a moment on.
type Rate struct {
	At   float64 `toml:"at_s"`
	Rate float64 `toml:"rate"`
}

// at is the rate at a moment.
func (l *Load) at(at float64) float64 {
	rate := l.Rate
	for _, st := range l.Steps {
		if at >= st.At {
			rate = st.Rate
		}
	}
	return rate
}

// Event is something that happens to members, nodes or links.
type Event struct {
	At   float64  `toml:"at_s"`
	Do   string   `toml:"do"`
	Who  []string `toml:"who,omitempty"`  // members or nodes
	By   float64  `toml:"by,omitempty"`   // of slow: how many times longer
	From []string `toml:"from,omitempty"` // of cut: the others of the cut
}

// Bounds of a scenario; with real processes there are fewer.
const (
	mostMembers = 1000
	mostNodes   = 2000
	realMembers = 12
	realNodes   = 40
	mostRate    = 200_000
)

var doings = []string{"kill", "start", "stop", "cont", "cut", "heal", "slow", "fail", "deaf", "sound"}

// Parse reads a scenario; all faults are told at once, with line and key.
func Parse(name, text string) (*Scenario, error) {
	s := &Scenario{Name: strings.TrimSuffix(path.Base(name), ".toml")}
	f, err := settings.Parse(name, text, s)
	if err != nil {
		return nil, err
	}
	within := func(key string, x, least, most float64) {
		f.Require(x >= least && x <= most, key, "%g is not within %g and %g", x, least, most)
	}
	within("members", float64(s.Members), 1, mostMembers)
	within("nodes", float64(s.Nodes), 2, mostNodes)
	within("for_s", s.For, 1, 600)
	within("node.slots", float64(s.Node.Slots), 1, 256)
	within("node.queue", float64(s.Node.Queue), 0, 4096)
	within("node.work_ms", s.Node.WorkMS, 0.1, 10_000)
	within("load.rate", s.Load.Rate, 0, mostRate)
	within("load.retries", float64(s.Load.Retries), 0, 10)
	within("load.posts", s.Load.Posts, 0, 1)
	for i, st := range s.Load.Steps {
		at := fmt.Sprintf("load.step[%d]", i+1)
		within(at+".at_s", st.At, 0, s.For)
		within(at+".rate", st.Rate, 0, mostRate)
		f.Require(i == 0 || st.At >= s.Load.Steps[i-1].At, at+".at_s", "comes before the step above")
	}
	for i, e := range s.Events {
		at := fmt.Sprintf("event[%d]", i+1)
		within(at+".at_s", e.At, 0, s.For)
		f.Require(slices.Contains(doings, e.Do), at+".do", "%q is none of %v", e.Do, doings)
		for _, who := range append(slices.Clone(e.Who), e.From...) {
			n := -1
			_, merr := fmt.Sscanf(who, "m%02d", &n)
			member := merr == nil && n >= 0 && n < s.Members
			_, nerr := fmt.Sscanf(who, "n%d", &n)
			node := nerr == nil && n >= 0 && n < s.Nodes
			f.Require(member || node, at+".who", "%q is no member and no node", who)
			f.Require(member == !onNodes(e.Do), at+".who", "%q can't be told to %s", who, e.Do)
		}
		f.Require(len(e.Who) > 0 || e.Do == "heal", at+".who", "is missing")
		f.Require(e.Do != "slow" || e.By > 0, at+".by", "is missing")
		f.Require(e.Do != "cut" || len(e.From) > 0, at+".from", "is missing")
	}
	return s, f.Err()
}

// onNodes tells that something is done to data nodes, not to members.
func onNodes(do string) bool { return slices.Contains([]string{"slow", "fail", "deaf", "sound"}, do) }

// Open reads a scenario of a file, or one that the tool brings along by its name.
func Open(name string) (*Scenario, error) {
	if text, err := scenarios.ReadFile("scenarios/" + name + ".toml"); err == nil {
		return Parse(name+".toml", string(text))
	}
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("%w; the tool's own are: %s", err, strings.Join(Names(), ", "))
	}
	return Parse(name, string(text))
}

// Names are the scenarios that the tool brings along.
func Names() (names []string) {
	list, _ := scenarios.ReadDir("scenarios")
	for _, e := range list {
		names = append(names, strings.TrimSuffix(e.Name(), ".toml"))
	}
	return names
}

// Capacity is how many queries of two parts a second all nodes can do.
func (s *Scenario) Capacity() float64 {
	return float64(s.Nodes*s.Node.Slots) * 1000 / s.Node.WorkMS / 2
}

// grow makes a scenario so many times as large: what is done to a member or a node is done to all that it
// stands for.
func (s *Scenario) grow(times int) {
	for i := range s.Events {
		e := &s.Events[i]
		for _, list := range []*[]string{&e.Who, &e.From} {
			var all []string
			for _, who := range *list {
				n, of, form := 0, s.Members, "m%02d"
				if onNodes(e.Do) {
					of, form = s.Nodes, "n%d"
				}
				_, _ = fmt.Sscanf(who[1:], "%d", &n)
				for k := range times {
					all = append(all, fmt.Sprintf(form, n+k*of))
				}
			}
			*list = all
		}
	}
	s.Members, s.Nodes = min(mostMembers, s.Members*times), min(mostNodes, s.Nodes*times)
	s.Load.Rate *= float64(times)
	for i := range s.Load.Steps {
		s.Load.Steps[i].Rate *= float64(times)
	}
}
