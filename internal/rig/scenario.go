package rig

import (
	"fmt"
	"math/bits"
	"slices"
	"sync"
	"time"

	"lapislever/internal/settings"
)

// Scenario describes a test run: the members, their environment and a sequence of steps. Times are in fleet
// periods.
type Scenario struct {
	Description string  `toml:"about"`
	Seed        uint64  `toml:"seed"`
	Members     int     `toml:"members"`
	Nodes       int     `toml:"nodes,omitempty"`
	PeriodMS    int     `toml:"period_ms,omitempty"`
	Rate        float64 `toml:"rate,omitempty"`      // queries per second and member
	NoDeaths    bool    `toml:"no_deaths,omitempty"` // no running member may ever be seen dead
	LinkFault   Fault   `toml:"link,omitempty"`      // of all links between members, from the start
	Steps       []Step  `toml:"step"`
}

// Step is one action or one expectation.
type Step struct {
	After      float64    `toml:"after,omitempty"` // delay before the step
	Action     string     `toml:"do,omitempty"`
	Targets    []string   `toml:"who,omitempty"`
	Concurrent bool       `toml:"together,omitempty"` // acts on all targets at once
	Sides      [][]string `toml:"sides,omitempty"`    // of a partition; a member on no side reaches all
	OneWay     bool       `toml:"one_way,omitempty"`  // traffic from the first side to the others still passes
	Fault      Fault      `toml:"fault,omitempty"`    // of do = "link": on all links from and to the targets
	Expect     string     `toml:"expect,omitempty"`
	Observers  []string   `toml:"among,omitempty"`  // members that must see it; empty: all that run
	Within     float64    `toml:"within,omitempty"` // 0: the documented bound for the expectation
}

// The valid actions and expectations of steps.
var (
	actions = []string{"kill", "start", "stop", "cont", "term", "restart", "upgrade", "add", "hup", "cut",
		"heal", "link"}
	expectations = []string{"settled", "dead", "left", "alive"}
)

// SettlePeriods is the bound on convergence in periods, as stated in docs/FLEET.md.
const SettlePeriods = 20

// CrashPeriods returns the bound in periods, as stated in docs/FLEET.md, within which all of the given number
// of members know of a crash.
func CrashPeriods(members int) float64 { return 12 + float64(bits.Len(uint(max(1, members-1)))) }

// ParseScenario parses a scenario. Its error lists all mistakes, with line and key.
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
		f.Require((st.Action == "") != (st.Expect == ""), at+".do", "exactly one of do and expect must be set")
		f.Require(st.Action == "" || slices.Contains(actions, st.Action), at+".do", "%q is none of %v", st.Action,
			actions)
		f.Require(st.Expect == "" || slices.Contains(expectations, st.Expect), at+".expect", "%q is none of %v",
			st.Expect, expectations)
		f.Require(st.After >= 0 && st.After <= 10_000, at+".after", "%g is not within 0 and 10000", st.After)
		if st.Action == "add" {
			members += max(1, len(st.Targets))
		}
		known := func(key string, list []string) {
			for _, who := range list {
				n := -1
				_, err := fmt.Sscanf(who, "m%02d", &n)
				f.Require(err == nil && n >= 0 && n < members, at+"."+key, "there is no member %q", who)
			}
		}
		known("who", st.Targets)
		known("among", st.Observers)
		for _, side := range st.Sides {
			known("sides", side)
		}
		f.Require(st.Action != "cut" || len(st.Sides) >= 1, at+".sides", "is missing")
		f.Require(st.Expect == "" || st.Expect == "settled" || len(st.Targets) > 0, at+".who", "is missing")
	}
	return s, f.Err()
}

// Result is the outcome of a scenario.
type Result struct {
	History *History
	Periods map[string]float64 // time that each expectation took, by step and name
}

// Run runs the scenario on a rig that was made for it, and stops at the first expectation that is not met.
func (s *Scenario) Run(r *Rig) (*Result, error) {
	res := &Result{History: r.History, Periods: map[string]float64{}}
	period := r.cfg.Period
	if s.LinkFault != (Fault{}) {
		r.SetAllLinkFaults(s.LinkFault)
	}
	for _, m := range r.members {
		if err := m.Start(); err != nil {
			return res, err
		}
	}
	if err := s.await(r, res, 0, Step{Expect: "settled", Within: 3 * SettlePeriods}); err != nil {
		return res, err // process start-up takes time; the scenario proper starts here
	}
	for i, st := range s.Steps {
		time.Sleep(time.Duration(st.After * float64(period)))
		if st.Expect != "" {
			if err := s.await(r, res, i+1, st); err != nil {
				return res, err
			}
			continue
		}
		if err := s.perform(r, st); err != nil {
			return res, fmt.Errorf("step %d, %s: %w", i+1, st.Action, err)
		}
	}
	if !r.Quiesce(15 * time.Second) {
		return res, fmt.Errorf("%d queries were never answered", r.Unanswered())
	}
	return res, nil
}

// Quiesce stops sending queries and waits for the answers to those in flight. It returns false if some do not
// arrive within the timeout.
func (r *Rig) Quiesce(timeout time.Duration) bool {
	r.noNewQueries.Store(true)
	return waitUntil(timeout, func() bool { return r.inFlight.Load() == 0 && r.Unanswered() == 0 })
}

// Unanswered returns the number of queries in the history without an answer.
func (r *Rig) Unanswered() int {
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

// perform runs the action of one step.
func (s *Scenario) perform(r *Rig, st Step) error {
	r.History.Record(Event{Kind: KindStep, Detail: fmt.Sprintf("%s %v %v", st.Action, st.Targets, st.Sides)})
	switch st.Action {
	case "cut":
		r.partition(st.Sides, st.OneWay, s.LinkFault)
		return nil
	case "heal":
		r.SetAllLinkFaults(s.LinkFault)
		return nil
	case "add":
		for range max(1, len(st.Targets)) {
			m, err := r.AddMember()
			if err != nil {
				return err
			}
			for _, o := range r.members {
				r.SetLinkFault(m.Name, o.Name, s.LinkFault)
				r.SetLinkFault(o.Name, m.Name, s.LinkFault)
			}
		}
		return nil
	case "link":
		for _, who := range st.Targets {
			for _, o := range r.members {
				r.SetLinkFault(who, o.Name, st.Fault)
				r.SetLinkFault(o.Name, who, st.Fault)
			}
		}
		return nil
	}
	var wait sync.WaitGroup
	errs := make([]error, len(st.Targets))
	for i, who := range st.Targets {
		m := r.Member(who)
		if m == nil {
			return fmt.Errorf("there is no member %s", who)
		}
		wait.Add(1)
		act := func() { defer wait.Done(); errs[i] = m.perform(st.Action) }
		if st.Concurrent {
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

// perform runs one action on one member.
func (m *Member) perform(action string) error {
	switch action {
	case "kill":
		m.Kill()
	case "start":
		return m.Start()
	case "stop":
		m.Pause()
	case "cont":
		m.Resume()
	case "hup":
		if err := m.RewriteFiles(); err != nil {
			return err
		}
		m.Reload()
	case "upgrade":
		return m.Upgrade()
	case "term", "restart":
		if status := m.Terminate(); status != 0 {
			return fmt.Errorf("%s exited with status %d", m.Name, status)
		}
		if action == "restart" {
			return m.Start()
		}
	}
	return nil
}

// Partition cuts the links between the sides and clears the faults of all other links.
func (r *Rig) Partition(sides [][]string) { r.partition(sides, false, Fault{}) }

// partition cuts the links between the sides and sets the fault of all other links to rest.
func (r *Rig) partition(sides [][]string, oneWay bool, rest Fault) {
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
			r.SetLinkFault(a.Name, b.Name, f)
		}
	}
}

// await waits for a step's expectation.
func (s *Scenario) await(r *Rig, res *Result, i int, st Step) error {
	observers := r.RunningMembers()
	if len(st.Observers) > 0 {
		observers = slices.DeleteFunc(observers, func(m *Member) bool {
			return !slices.Contains(st.Observers, m.Name)
		})
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
			return Converged(observers)
		}
		for _, m := range observers {
			v := m.View()
			for _, who := range st.Targets {
				if v == nil || v.StateOf(who) != st.Expect {
					return false
				}
			}
		}
		return true
	}
	begun := time.Now()
	// Polling takes time, and polls may be late on a busy machine: the bound is extended by two polls.
	ok := waitUntil(time.Duration(bound*float64(r.cfg.Period))+2*pollInterval, holds)
	took := float64(time.Since(begun)) / float64(r.cfg.Period)
	key := fmt.Sprintf("%d %s", i, st.Expect)
	res.Periods[key] = took
	r.History.Record(Event{Kind: KindStep, Detail: fmt.Sprintf("expected %s %v: %v after %.1f", st.Expect,
		st.Targets, ok, took)})
	if !ok {
		return fmt.Errorf("step %d: %s %v not reached within %.1f periods", i, st.Expect, st.Targets, bound)
	}
	return nil
}
