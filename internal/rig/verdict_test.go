package rig

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

// verdictBound is within how many periods a verdict holds at every member in reach: docs/VERDICTS.md.
func verdictBound(members int) time.Duration {
	bits := 0
	for 1<<bits < members {
		bits++
	}
	return time.Duration(4+2*bits) * period
}

type fleetCallReply struct {
	Held, Missing []string
}

// fleetCall makes a call for the whole fleet at a member's door.
func (m *Member) fleetCall(t *testing.T, call, body, query string) (status int, s fleetCallReply) {
	t.Helper()
	reply, err := m.CallAdmin("POST", "/admin/fleet/"+call+query, body)
	if err != nil {
		t.Fatalf("%s at %s: %v", call, m.Name, err)
	}
	_ = json.Unmarshal(reply.Body, &s)
	return reply.Status, s
}

// verdicts tells what a member's door says of verdicts: the things that are out.
func (m *Member) verdicts() (what []string, told bool) {
	reply, err := m.CallAdmin("GET", "/admin/verdicts", "")
	if err != nil || reply.Status != 200 {
		return []string{"?"}, false
	}
	var v struct {
		Verdicts []struct {
			What    string
			Missing []string
		}
		Told bool
	}
	_ = json.Unmarshal(reply.Body, &v)
	for _, x := range v.Verdicts {
		what = append(what, x.What)
	}
	return what, v.Told
}

// awaitServing waits until the member says that it takes clients: the door is open before.
func (m *Member) awaitServing(t *testing.T) {
	t.Helper()
	if !m.waitServing(waitTimeout) {
		t.Fatalf("%s does not serve", m.Name)
	}
}

func allHoldVerdicts(r *Rig, want ...string) func() bool {
	return func() bool {
		for _, m := range r.RunningMembers() {
			if got, _ := m.verdicts(); !slices.Equal(got, want) {
				return false
			}
		}
		return true
	}
}

// partsBetween counts what a data node got between two moments of the history, in milliseconds.
func partsBetween(r *Rig, node string, from, to float64) (n int) {
	for _, e := range r.History.Events() {
		if e.Kind == KindPart && e.Subject == node && e.AtMS >= from && e.AtMS < to {
			n++
		}
	}
	return n
}

func (h *History) elapsedMS() float64 { return float64(time.Since(h.start).Microseconds()) / 1000 }

// A call at one of three holds at all; nothing new is sent to the node, as the node counts; each of them is
// restarted in turn and none forgets; the call back holds at all again.
func TestCordonSurvivesRestarts(t *testing.T) {
	r := startRig(t, Config{Members: 3, Seed: 31, Rate: 30})
	awaitConverged(t, r, "start")
	if !waitUntil(waitTimeout, func() bool { return partsBetween(r, "n0", 0, 1e12) > 10 }) {
		t.Fatal("n0 gets nothing anyhow")
	}
	status, s := r.Member("m01").fleetCall(t, "cordon", "n0", "?wait=2s")
	if status != 200 || len(s.Held) != 3 || len(s.Missing) != 0 {
		t.Fatalf("%d %+v", status, s)
	}
	out := r.History.elapsedMS()
	for _, m := range r.Members() {
		if status := m.Terminate(); status != 0 {
			t.Fatalf("%s ended with %d", m.Name, status)
		}
		if err := m.Start(); err != nil {
			t.Fatal(err)
		}
		awaitConverged(t, r, "restart of "+m.Name)
		m.awaitServing(t)
		if got, told := m.verdicts(); !slices.Equal(got, []string{"n0"}) || !told {
			t.Fatalf("%s holds %v after its restart, told: %v", m.Name, got, told)
		}
	}
	time.Sleep(5 * period)
	if n := partsBetween(r, "n0", out+5, 1e12); n > 0 { // what was written before may still be on its way
		t.Fatalf("%d parts went to a node that is out", n)
	}
	if other := partsBetween(r, "n2", out, 1e12); other == 0 {
		t.Fatal("nothing goes to the partner either")
	}
	if status, s = r.Member("m00").fleetCall(t, "uncordon", "n0", "?wait=2s"); status != 200 ||
		len(s.Missing) != 0 {
		t.Fatalf("%d %+v", status, s)
	}
	back := r.History.elapsedMS()
	if !waitUntil(waitTimeout, func() bool { return partsBetween(r, "n0", back, 1e12) > 0 }) {
		t.Fatal("the node gets nothing after it was put back")
	}
	for call, want := range map[string]int{"cordon nowhere": 404, "uncordon n0": 404, "cordon ": 400,
		"cordon n0 fast": 400, "uncordon n0 1s": 400} {
		name, body, _ := strings.Cut(call, " ")
		if status, _ := r.Member("m00").fleetCall(t, name, body, ""); status != want {
			t.Errorf("%s: %d, not %d", call, status, want)
		}
	}
}

// Operators on both sides of a cut say contrary things; after the heal all hold one. While cut, each side's
// door says who is missing once they are dead to it, and a wait for them is a 202 before.
func TestConflictingCordonsAcrossPartition(t *testing.T) {
	r := startRig(t, Config{Members: 6, Seed: 32, Rate: 10})
	awaitConverged(t, r, "start")
	a, b := r.Members()[:3], r.Members()[3:]
	if status, _ := a[0].fleetCall(t, "cordon", "n1", "?wait=2s"); status != 200 {
		t.Fatal(status)
	}
	r.partition([][]string{{"m00", "m01", "m02"}, {"m03", "m04", "m05"}}, false, Fault{})
	status, s := a[1].fleetCall(t, "uncordon", "n1", "?wait=300ms")
	if status != 202 || !slices.Contains(s.Missing, "m04") || !slices.Contains(s.Held, "m01") {
		t.Fatalf("%d %+v", status, s)
	}
	time.Sleep(period)
	if status, _ = b[0].fleetCall(t, "cordon", "n2", ""); status != 200 {
		t.Fatal(status)
	}
	if status, _ = b[1].fleetCall(t, "cordon", "n1 1h", ""); status != 200 { // later than the other side's word
		t.Fatal(status)
	}
	if !waitUntil(waitTimeout, func() bool {
		x, _ := a[0].verdicts()
		y, _ := b[2].verdicts()
		return len(x) == 0 && slices.Equal(y, []string{"n1", "n2"})
	}) {
		t.Fatal("the sides do not hold what was said there")
	}
	r.SetAllLinkFaults(Fault{})
	if !waitUntil(time.Duration(SettlePeriods)*period+verdictBound(6)+2*pollInterval,
		allHoldVerdicts(r, "n1", "n2")) {
		t.Fatal("no one verdict after the heal")
	}
	if !r.Quiesce(waitTimeout) {
		t.Error("queries without an answer")
	}
	for _, f := range Check(r.History.Events(), false) {
		t.Error(f)
	}
}

// A verdict survives the death of all that it was told to but three, an upgrade, and ends when it should.
func TestVerdictSurvivesMassCrashAndExpires(t *testing.T) {
	r := startRig(t, Config{Members: 8, Seed: 33, Rate: 8})
	awaitConverged(t, r, "start")
	if status, s := r.Member("m07").fleetCall(t, "cordon", "n3", "?wait=3s"); status != 200 {
		t.Fatalf("%d %+v", status, s)
	}
	span := 40 * period
	begun := time.Now()
	if status, s := r.Member("m07").fleetCall(t, "cordon", fmt.Sprintf("n0 %v", span),
		"?wait=3s"); status != 200 {
		t.Fatalf("%d %+v", status, s)
	}
	herd := r.Members()[3:]
	for _, m := range herd {
		m.Kill()
	}
	if err := r.Member("m00").Upgrade(); err != nil {
		t.Fatal(err)
	}
	if got, _ := r.Member("m00").verdicts(); !slices.Contains(got, "n3") {
		t.Fatalf("after the upgrade it holds %v", got)
	}
	for _, m := range herd {
		if err := m.Start(); err != nil {
			t.Fatal(err)
		}
	}
	awaitConverged(t, r, "the herd is back")
	for _, m := range herd {
		m.awaitServing(t)
		if got, told := m.verdicts(); !slices.Contains(got, "n3") || !told {
			t.Errorf("%s is back and holds %v, told: %v", m.Name, got, told)
		}
	}
	if time.Since(begun) < span {
		if got, _ := herd[0].verdicts(); !slices.Contains(got, "n0") {
			t.Errorf("n0 is back before its time: %v", got)
		}
	}
	if !waitUntil(waitTimeout, allHoldVerdicts(r, "n3")) {
		t.Fatal("the verdict with an end does not end")
	}
	if early := span - time.Since(begun); early > period {
		t.Fatalf("it ended %v early", early)
	}
}

// At 30% loss, and with a node that sees the fleet through one member only, a verdict holds in time.
func TestVerdictSpreadsDespiteLoss(t *testing.T) {
	r := startRig(t, Config{Members: 8, Seed: 34, Rate: 5})
	awaitConverged(t, r, "start")
	r.SetAllLinkFaults(Fault{Loss: 0.3, Duplicate: 0.2, Reorder: 0.2})
	for k, who := range []string{"m00", "m05", "m03"} {
		call, want := "cordon", []string{"n2"}
		if k == 1 {
			call, want = "uncordon", nil
		}
		if status, _ := r.Member(who).fleetCall(t, call, "n2", ""); status != 200 {
			t.Fatalf("%s at %s: %d", call, who, status)
		}
		begun := time.Now()
		if !waitUntil(verdictBound(8)+2*pollInterval, allHoldVerdicts(r, want...)) {
			t.Fatalf("%s at %s does not hold everywhere within %v", call, who, verdictBound(8))
		}
		t.Logf("%s held everywhere after %.1f periods", call, float64(time.Since(begun))/float64(period))
	}
}

// A prefix that is banned at one coordinator is banned at the gates of all, also of one that starts
// afterwards, and lifted at all.
func TestBanAppliesAtEveryMember(t *testing.T) {
	program, err := BuildProgram()
	if err != nil {
		t.Fatal(err)
	}
	r, dir := &Rig{}, t.TempDir()
	if err := r.claimSubnet(); err != nil {
		t.Fatal(err)
	}
	defer r.closers[0]()
	const front = `listen = "%s"
[admission]
reserve = 2
[[class]]
name = "rate-check"
effect = "safe"
aim_s = 1.0
deadline_s = 2.0
worth = 1.0
[[server]]
name = "a"
address = "127.0.0.1:9"
form = "old"
cell = 0
`
	begin := func(i int) {
		paths := [2]string{filepath.Join(dir, fmt.Sprint("front", i)), filepath.Join(dir, fmt.Sprint("fleet", i))}
		texts := [2]string{fmt.Sprintf(front, r.addr(1+i, portFront)), fmt.Sprintf(
			"[fleet]\nname = \"g%d\"\nlisten = %q\njoin = [%q]\nmost = 9\n", i, r.addr(1+i, portFleet),
			r.addr(1, portFleet))}
		for k := range paths {
			if err := os.WriteFile(paths[k], []byte(texts[k]), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		p, err := Start(program, []string{"serve", "--translate", paths[0], "--fleet", paths[1]},
			[]string{"RELAY_CONFIG=", "RELAY_OPERATOR=" + r.addr(1+i, portAdmin)}, paths[0]+".log")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(p.Kill)
	}
	banned := func(i int) bool {
		reply, err := callAdmin(r.addr(1+i, portAdmin), "GET", "/admin/admission", "")
		return err == nil && reply.Status == 200 && strings.Contains(string(reply.Body), "10.9.0.0/16")
	}
	up := func(i int) bool {
		reply, err := callAdmin(r.addr(1+i, portAdmin), "GET", "/admin/fleet", "")
		return err == nil && reply.Status == 200
	}
	begin(0)
	begin(1)
	if !waitUntil(waitTimeout, func() bool { return up(0) && up(1) }) {
		t.Fatal("no start")
	}
	if reply, err := callAdmin(r.addr(1, portAdmin), "POST", "/admin/fleet/ban", "10.9.0.0/16 1h"); err != nil ||
		reply.Status != 200 {
		t.Fatalf("%v %+v", err, reply)
	}
	begin(2)
	if !waitUntil(waitTimeout, func() bool { return banned(0) && banned(1) && banned(2) }) {
		t.Fatalf("banned at %v %v %v", banned(0), banned(1), banned(2))
	}
	if reply, err := callAdmin(r.addr(2, portAdmin), "POST", "/admin/fleet/lift", "10.9.0.0/16"); err != nil ||
		reply.Status != 200 {
		t.Fatalf("%v %+v", err, reply)
	}
	if !waitUntil(waitTimeout, func() bool { return !banned(0) && !banned(1) && !banned(2) }) {
		t.Fatal("not lifted everywhere")
	}
	for call_, want := range map[string]int{"ban 10.9.0.0/16": 400, "ban nonsense 1h": 400,
		"lift 10.9.9.9": 404} {
		name, body, _ := strings.Cut(call_, " ")
		if reply, err := callAdmin(r.addr(1, portAdmin), "POST", "/admin/fleet/"+name, body); err != nil ||
			reply.Status != want {
			t.Errorf("%s: %v %+v", call_, err, reply)
		}
	}
}
