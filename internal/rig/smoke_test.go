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

// closeOnCleanup ends the rig with the test, and shows the members' logs if it has failed.
func closeOnCleanup(t *testing.T, r *Rig) {
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

// startRig puts up a rig and starts its members.
func startRig(t *testing.T, cfg Config) *Rig {
	t.Helper()
	r := newRig(t, cfg)
	for _, m := range r.Members() {
		if err := m.Start(); err != nil {
			t.Fatal(err)
		}
	}
	return r
}

// newRig puts up a rig whose members are not started.
func newRig(t *testing.T, cfg Config) *Rig {
	t.Helper()
	cfg.Dir, cfg.Period = t.TempDir(), period
	if cfg.Nodes == 0 {
		cfg.Nodes = 4
	}
	r, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	closeOnCleanup(t, r)
	return r
}

// Three processes see each other; one is killed, and two say so at their doors.
func TestThreeMembersDetectCrash(t *testing.T) {
	r := startRig(t, Config{Members: 3, Seed: 1, Rate: 10})
	if !waitUntil(30*time.Second, func() bool { return Converged(r.RunningMembers()) }) {
		t.Fatal("the three never saw each other")
	}
	r.Member("m02").Kill()
	begun := time.Now()
	if !waitUntil(30*time.Second, func() bool { return Converged(r.RunningMembers()) }) {
		t.Fatal("the death was not seen")
	}
	t.Logf("known to both after %.1f periods", float64(time.Since(begun))/float64(period))
	for _, m := range r.RunningMembers() {
		if s := m.View().StateOf("m02"); s != "dead" {
			t.Errorf("%s says that m02 is %s", m.Name, s)
		}
	}
}
