package rig

import (
	"os"
	"testing"
	"time"

	// The packages of the program, so that go test does not reuse cached results after a change in them.
	_ "lapislever/internal/console"
	_ "lapislever/internal/legacyfront"
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

// closeOnCleanup closes the rig at the end of the test and logs the members' logs if the test has failed.
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

// startRig creates a rig and starts its members.
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

// newRig creates a rig without starting its members.
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

// Three members see each other; one is killed, and the other two report it as dead.
func TestThreeMembersDetectCrash(t *testing.T) {
	r := startRig(t, Config{Members: 3, Seed: 1, Rate: 10})
	if !waitUntil(30*time.Second, func() bool { return Converged(r.RunningMembers()) }) {
		t.Fatal("the three members did not converge")
	}
	r.Member("m02").Kill()
	begun := time.Now()
	if !waitUntil(30*time.Second, func() bool { return Converged(r.RunningMembers()) }) {
		t.Fatal("the crash was not detected")
	}
	t.Logf("detected by both after %.1f periods", float64(time.Since(begun))/float64(period))
	for _, m := range r.RunningMembers() {
		if s := m.View().StateOf("m02"); s != "dead" {
			t.Errorf("%s reports m02 as %s", m.Name, s)
		}
	}
}
