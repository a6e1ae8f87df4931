package rig

import (
	"fmt"
	"math/bits"
	"slices"
	"sync"
	"time"

	"lapislever/internal/settings"
)

// Scenario is a run written down: the members, what stands around them, and what happens when. Times are in
// periods of the fleet.
type Scenario struct {
	About    string  `toml:"about"`
	Seed     uint64  `toml:"seed"`
	Members  int     `toml:"members"`
	Nodes    int     `toml:"nodes,omitempty"`
	PeriodMS int     `toml:"period_ms,omitempty"`
	Rate     float64 `toml:"rate,omitempty"`      // queries a second and member
	NoDeaths bool    `toml:"no_deaths,omitempty"` // nobody that runs may ever be seen dead
	Link     Fault   `toml:"link,omitempty"`      // on all links between members, from the start
	Steps    []Step  `toml:"step"`
}

// Step is one thing that is done or expected.
type Step struct {
	After    float64    `toml:"after,omitempty"` // waits so long before
	Do       string     `toml:"do,omitempty"`
	Who      []string   `toml:"who,omitempty"`
	Together bool       `toml:"together,omitempty"` // for all of Who at once
	Sides    [][]string `toml:"sides,omitempty"`    // of a cut; who is on no side sees all
	OneWay   bool       `toml:"one_way,omitempty"`  // what the first side says to others comes through
	Fault    Fault      `toml:"fault,omitempty"`    // of do = "link": on links between Who and everybody
	Expect   string     `toml:"expect,omitempty"`
	Among    []string   `toml:"among,omitempty"`  // who has to see it; without: all that run
	Within   float64    `toml:"within,omitempty"` // 0: the bound that holds for what is expected
}

// What steps may do and expect.
var (
	doings = []string{"kill", "start", "stop", "cont", "term", "restart", "upgrade", "add", "hup", "cut",
		"heal", "link"}
	expects = []string{"settled", "dead", "left", "alive"}
)

// SettlePeriods and CrashPeriods are the bounds that docs/FLEET.md states.
const SettlePeriods = 20

// CrashPeriods is within how many periods all of so many members know of a crash.
func CrashPeriods(members int) float64 { return 12 + float64(bits.Len(uint(max(1, members-1)))) }

// ParseScenario reads a scenario; all faults are told at once, with line and key.
func ParseScenario(name, text string) (*Scenario, error) {
	s := &Scenario{}
	f, err := settings.Parse(name, text, s)
	if err != nil {
		return nil, err
	}
	f.Require(s.Members >= 1 && s.Members <= 40, "members", "%d is not within 1 and 40", s.Members)
	if s.PeriodMS == 0 {
		s.PeriodMS = 200
	}
	f.Require(s.PeriodMS >= 20 && s.PeriodMS <= 10_000, "period_ms", "%d is not within 20 and 10000", s.PeriodMS)
	f.Require(s.Rate >= 0 && s.Rate <= 1000, "rate", "%g is not within 0 and 1000", s.Rate)
	f.Require(s.Nodes >= 0 && s.Nodes <= 40, "nodes", "%d is not within 0 and 40", s.Nodes)
	members := s.Members
	for i, st := range s.Steps {
		at := fmt.Sprintf("step[%d]", i+1)
		f.Require((st.Do == "") != (st.Expect == ""), at+".do", "one of do and expect has to be there")
		f.Require(st.Do == "" || slices.Contains(doings, st.Do), at+".do", "%q is none of %v", st.Do, doings)
		f.Require(st.Expect == "" || slices.Contains(expects, st.Expect), at+".expect", "%q is none of %v", st.Expect,
			expects)
		f.Require(st.After >= 0 && st.After <= 10_000, at+".after", "%g is not within 0 and 10000", st.After)
		if st.Do == "add" {
			members += max(1, len(st.Who))
		}
		known := func(key string, list []string) {
			for _, who := range list {
				n := -1
				_, err := fmt.Sscanf(who, "m%02d", &n)
				f.Require(err == nil && n >= 0 && n < members, at+"."+key, "%q is no member", who)
			}
		}
		known("who", st.Who)
		known("among", st.Among)
		for _, side := range st.Sides {
			known("sides", side)
		}
		f.Require(st.Do != "cut" || len(st.Sides) >= 1, at+".sides", "is missing")
		f.Require(st.Expect == "" || st.Expect == "settled" || len(st.Who) > 0, at+".who", "is missing")
	}
	return s, f.Err()
}

// Result is how a scenario went.
type Result struct {
	History *History
	Took    map[string]float64 // periods that each expectation took, by step and name
}

// Run plays a scenario on a rig that was made for it, and returns at the first expectation that is not met.
func (s *Scenario) Run(r *Rig) (*Result, error) {
	res := &Result{History: r.History, Took: map[string]float64{}}
	period := r.cfg.Period
	if s.Link != (Fault{}) {
		r.SetAllLinkFaults(s.Link)
	}
	for _, m := range r.members {
		if err := m.Start(); err != nil {
			return res, err
		}
	}
	if err := s.expect(r, res, 0, Step{Expect: "settled", Within: 3 * SettlePeriods}); err != nil {
		return res, err // starting processes takes its own time: what counts begins now
	}
	for i, st := range s.Steps {
		time.Sleep(time.Duration(st.After * float64(period)))
		if st.Expect != "" {
			if err := s.expect(r, res, i+1, st); err != nil {
				return res, err
			}
			continue
		}
		if err := s.do(r, st); err != nil {
			return res, fmt.Errorf("step %d, %s: %w", i+1, st.Do, err)
		}
	}
	if !r.Quiesce(15 * time.Second) {
		return res, fmt.Errorf("%d queries never got their answer", r.Open())
	}
	return res, nil
}

// Quiesce asks no more queries and waits for the answers to those that were; false: some did not come in
// time.
func (r *Rig) Quiesce(most time.Duration) bool {
	r.quiet.Store(true)
	return within(most, func() bool { return r.busy.Load() == 0 && r.Open() == 0 })
}

// Open counts queries that have had no end yet.
func (r *Rig) Open() int {
	open := 0
	for _, e := range r.History.Events() {
		switch e.Kind {
		case KindQuery:
			open++
		case KindAnswer:
			open--
		}
	}
	return open
}

// do carries out one step.
func (s *Scenario) do(r *Rig, st Step) error {
	r.History.Note(Event{Kind: KindStep, What: fmt.Sprintf("%s %v %v", st.Do, st.Who, st.Sides)})
	switch st.Do {
	case "cut":
		r.cut(st.Sides, st.OneWay, s.Link)
		return nil
	case "heal":
		r.SetAllLinkFaults(s.Link)
		return nil
	case "add":
		for range max(1, len(st.Who)) {
			m, err := r.Add()
			if err != nil {
				return err
			}
			for _, o := range r.members {
				r.Link(m.Name, o.Name, s.Link)
				r.Link(o.Name, m.Name, s.Link)
			}
		}
		return nil
	case "link":
		for _, who := range st.Who {
			for _, o := range r.members {
				r.Link(who, o.Name, st.Fault)
				r.Link(o.Name, who, st.Fault)
			}
		}
		return nil
	}
	var wait sync.WaitGroup
	errs := make([]error, len(st.Who))
	for i, who := range st.Who {
		m := r.Member(who)
		if m == nil {
			return fmt.Errorf("%s is not there", who)
		}
		wait.Add(1)
		act := func() { defer wait.Done(); errs[i] = m.act(st.Do) }
		if st.Together {
			go act()
		} else {
			act()
		}
	}
	wait.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// act does one thing to one member.
func (m *Member) act(what string) error {
	switch what {
	case "kill":
		m.Kill()
	case "start":
		return m.Start()
	case "stop":
		m.Pause()
	case "cont":
		m.Resume()
	case "hup":
		if err := m.Rewrite(); err != nil {
			return err
		}
		m.Hup()
	case "upgrade":
		return m.Upgrade()
	case "term", "restart":
		if status := m.Term(); status != 0 {
			return fmt.Errorf("%s ended with %d", m.Name, status)
		}
		if what == "restart" {
			return m.Start()
		}
	}
	return nil
}

// Partition separates sides; all other links are sound.
func (r *Rig) Partition(sides [][]string) { r.cut(sides, false, Fault{}) }

// cut separates sides; all other links get the fault given.
func (r *Rig) cut(sides [][]string, oneWay bool, rest Fault) {
	side := map[string]int{}
	for i, names := range sides {
		for _, n := range names {
			side[n] = i + 1
		}
	}
	for _, a := range r.members {
		for _, b := range r.members {
			f := rest
			x, y := side[a.Name], side[b.Name]
			if x != 0 && y != 0 && x != y && !(oneWay && x == 1) {
				f = Fault{Cut: true}
			}
			r.Link(a.Name, b.Name, f)
		}
	}
}

// expect waits for what a step expects.
func (s *Scenario) expect(r *Rig, res *Result, i int, st Step) error {
	among := r.Running()
	if len(st.Among) > 0 {
		among = slices.DeleteFunc(among, func(m *Member) bool { return !slices.Contains(st.Among, m.Name) })
	}
	bound := st.Within
	if bound == 0 {
		bound = SettlePeriods
		if st.Expect == "dead" {
			bound = CrashPeriods(len(r.members))
		}
	}
	holds := func() bool {
		if st.Expect == "settled" {
			return Converged(among)
		}
		for _, m := range among {
			v := m.View()
			for _, who := range st.Who {
				if v == nil || v.State(who) != st.Expect {
					return false
				}
			}
		}
		return true
	}
	begun := time.Now()
	// Looking takes time too, and the look may come late on a busy machine: that is given on top.
	ok := within(time.Duration(bound*float64(r.cfg.Period))+2*pollEvery, holds)
	took := float64(time.Since(begun)) / float64(r.cfg.Period)
	what := fmt.Sprintf("%d %s", i, st.Expect)
	res.Took[what] = took
	r.History.Note(Event{Kind: KindStep, What: fmt.Sprintf("expected %s %v: %v after %.1f", st.Expect, st.Who,
		ok,
		took)})
	if !ok {
		return fmt.Errorf("step %d: %s %v not within %.1f periods", i, st.Expect, st.Who, bound)
	}
	return nil
}
