package rig

import (
	"embed"
	"os"
	"path"
	"strings"
	"testing"
	"time"
)

//go:embed scenarios
var scenarios embed.FS

// Each scenario meets its bounds, and its history violates no invariant.
func TestScenarios(t *testing.T) {
	list, err := scenarios.ReadDir("scenarios")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range list {
		t.Run(strings.TrimSuffix(f.Name(), ".toml"), func(t *testing.T) {
			text, err := scenarios.ReadFile(path.Join("scenarios", f.Name()))
			if err != nil {
				t.Fatal(err)
			}
			s, err := ParseScenario(f.Name(), string(text))
			if err != nil {
				t.Fatal(err)
			}
			runScenario(t, s)
		})
	}
}

// checkUpgradesNotRestarts checks that no member took an upgrade for a restart.
func checkUpgradesNotRestarts(t *testing.T, r *Rig, events []Event) {
	t.Helper()
	upgraded, ended := map[string]bool{}, map[string]bool{}
	for _, e := range events {
		if e.Kind == KindProcess {
			upgraded[e.Subject] = upgraded[e.Subject] || e.Detail == "upgrade"
			ended[e.Subject] = ended[e.Subject] || e.Detail == "kill" || e.Detail == "term"
		}
	}
	for _, m := range r.Members() {
		log, err := os.ReadFile(m.LogPath())
		if err != nil {
			t.Error(err)
		}
		for _, line := range strings.Split(string(log), "\n") {
			for who := range upgraded {
				if !ended[who] && strings.Contains(line, "fleet member restarted") &&
					strings.Contains(line, "member="+who+" ") {
					t.Errorf("%s took the upgrade of %s for a restart: %s", m.Name, who, line)
				}
			}
		}
	}
}

// runScenario runs a scenario and checks its history.
func runScenario(t *testing.T, s *Scenario) *Rig {
	t.Helper()
	dir := t.TempDir()
	r, err := New(Config{Dir: dir, Members: s.Members, Seed: s.Seed, Rate: s.Rate, Nodes: max(4, s.Nodes),
		Period: time.Duration(s.PeriodMS) * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	closeOnCleanup(t, r)
	res, err := s.Run(r)
	if err != nil {
		t.Errorf("%v", err)
	}
	events := r.History.Events()
	for _, violation := range Check(events, s.NoDeaths) {
		t.Error(violation)
	}
	checkUpgradesNotRestarts(t, r, events)
	queries, served := 0, 0
	for _, e := range events {
		if e.Kind == KindAnswer {
			queries++
			if e.Status == 200 {
				served++
			}
		}
	}
	t.Logf("%s %d queries, %d served; periods: %v", s.Description, queries, served, res.Periods)
	return r
}
