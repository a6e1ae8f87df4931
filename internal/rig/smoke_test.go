package rig

import (
	"os"
	"testing"
	"time"

	// What the program is made of: so that results that go test has kept do not outlive a change of it.
	_ "lapislever/internal/console"
	_ "lapislever/internal/kiosk"
	_ "lapislever/internal/platform"
	_ "lapislever/internal/promql"
)

func TestMain(m *testing.M) {
	RunHelper()
	code := m.Run()
	RemoveProgram()
	os.Exit(code)
}

// period is the fleet's period in tests on real processes.
const period = 200 * time.Millisecond

// closeAfter ends the rig with the test, and shows the members' logs if it has failed.
func closeAfter(t *testing.T, r *Rig) {
	t.Cleanup(func() {
		r.Close()
		if !t.Failed() {
			return
		}
		for _, m := range r.Members() {
			if b, err := os.ReadFile(m.LogPath()); err == nil {
				t.Logf("%s:\n%s", m.Name, b[max(0, len(b)-40000):])
			}
		}
	})
}

// open puts up a rig and starts its members.
func open(t *testing.T, cfg Config) *Rig {
	t.Helper()
	r := openIdle(t, cfg)
	for _, m := range r.Members() {
		if err := m.Start(); err != nil {
			t.Fatal(err)
		}
	}
	return r
}

// openIdle puts up a rig whose members are not started.
func openIdle(t *testing.T, cfg Config) *Rig {
	t.Helper()
	cfg.Dir, cfg.Period = t.TempDir(), period
	if cfg.Nodes == 0 {
		cfg.Nodes = 4
	}
	r, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	closeAfter(t, r)
	return r
}

// Three processes see each other; one is killed, and two say so at their doors.
func TestThreeProcessesSeeOneDie(t *testing.T) {
	r := open(t, Config{Members: 3, Seed: 1, Rate: 10})
	if !within(30*time.Second, func() bool { return Converged(r.Running()) }) {
		t.Fatal("the three never saw each other")
	}
	r.Member("m02").Kill()
	begun := time.Now()
	if !within(30*time.Second, func() bool { return Converged(r.Running()) }) {
		t.Fatal("the death was not seen")
	}
	t.Logf("known to both after %.1f periods", float64(time.Since(begun))/float64(period))
	for _, m := range r.Running() {
		if s := m.View().State("m02"); s != "dead" {
			t.Errorf("%s says that m02 is %s", m.Name, s)
		}
	}
}
