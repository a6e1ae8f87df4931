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

// verdictBound returns the time within which a verdict holds at every reachable member, as in
// docs/VERDICTS.md.
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

// fleetCall makes a fleet-wide call at a member's admin endpoint.
func (m *Member) fleetCall(t *testing.T, call, body, query string) (status int, parsed fleetCallReply) {
	t.Helper()
	reply, err := m.CallAdmin("POST", "/admin/fleet/"+call+query, body)
	if err != nil {
		t.Fatalf("%s at %s: %v", call, m.Name, err)
	}
	_ = json.Unmarshal(reply.Body, &parsed)
	return reply.Status, parsed
}

// verdicts returns the objects of the verdicts that a member's admin endpoint reports, and whether the member
// has received the fleet's verdicts.
func (m *Member) verdicts() (objects []string, synced bool) {
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
		objects = append(objects, x.What)
	}
	return objects, v.Told
}

// awaitServing waits until the member reports that it accepts clients. Its admin endpoint is up before that.
func (m *Member) awaitServing(t *testing.T) {
	t.Helper()
	if !m.waitServing(waitTimeout) {
		t.Fatalf("%s does not start serving", m.Name)
	}
}

// allHoldVerdicts returns a condition: all running members hold verdicts on exactly these objects.
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

// partsBetween counts the parts that a data node received in a time span of the history, in milliseconds.
func partsBetween(r *Rig, node string, from, to float64) (n int) {
	for _, e := range r.History.Events() {
		if e.Kind == KindPart && e.Subject == node && e.AtMS >= from && e.AtMS < to {
			n++
		}
	}
	return n
}

// elapsedMS returns the time since the start of the history, in milliseconds.
func (h *History) elapsedMS() float64 { return float64(time.Since(h.start).Microseconds()) / 1000 }

// A cordon that is set at one of three members holds at all of them, and the node receives no new parts. It
// survives the restart of each member in turn. The uncordon holds at all members again.
func TestCordonSurvivesRestarts(t *testing.T) {
	r := startRig(t, Config{Members: 3, Seed: 31, Rate: 30})
	awaitConverged(t, r, "start")
	if !waitUntil(waitTimeout, func() bool { return partsBetween(r, "n0", 0, 1e12) > 10 }) {
		t.Fatal("n0 receives no parts even before the cordon")
	}
	status, s := r.Member("m01").fleetCall(t, "cordon", "n0", "?wait=2s")
	if status != 200 || len(s.Held) != 3 || len(s.Missing) != 0 {
		t.Fatalf("%d %+v", status, s)
	}
	cordoned := r.History.elapsedMS()
	for _, m := range r.Members() {
		if status := m.Terminate(); status != 0 {
			t.Fatalf("%s exited with status %d", m.Name, status)
		}
		if err := m.Start(); err != nil {
			t.Fatal(err)
		}
		awaitConverged(t, r, "restart of "+m.Name)
		m.awaitServing(t)
		if got, synced := m.verdicts(); !slices.Equal(got, []string{"n0"}) || !synced {
			t.Fatalf("%s holds %v after its restart, synced: %v", m.Name, got, synced)
		}
	}
	time.Sleep(5 * period)
	if n := partsBetween(r, "n0", cordoned+5, 1e12); n > 0 { // parts written before may still be in transit
		t.Fatalf("%d parts were sent to a cordoned node", n)
	}
	if other := partsBetween(r, "n2", cordoned, 1e12); other == 0 {
		t.Fatal("the other replica receives no parts, either")
	}
	if status, s = r.Member("m00").fleetCall(t, "uncordon", "n0", "?wait=2s"); status != 200 ||
		len(s.Missing) != 0 {
		t.Fatalf("%d %+v", status, s)
	}
	uncordoned := r.History.elapsedMS()
	if !waitUntil(waitTimeout, func() bool { return partsBetween(r, "n0", uncordoned, 1e12) > 0 }) {
		t.Fatal("the node receives no parts after the uncordon")
	}
	for call, want := range map[string]int{"cordon nowhere": 404, "uncordon n0": 404, "cordon ": 400,
		"cordon n0 fast": 400, "uncordon n0 1s": 400} {
		name, body, _ := strings.Cut(call, " ")
		if status, _ := r.Member("m00").fleetCall(t, name, body, ""); status != want {
			t.Errorf("%s: status %d, want %d", call, status, want)
		}
	}
}

// Operators on both sides of a partition make conflicting calls; after the heal all members hold one outcome.
// A call that waits for members on the other side is answered with 202 and names them as missing.
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
	if status, _ = b[1].fleetCall(t, "cordon", "n1 1h", ""); status != 200 { // later than the other side's call
		t.Fatal(status)
	}
	if !waitUntil(waitTimeout, func() bool {
		x, _ := a[0].verdicts()
		y, _ := b[2].verdicts()
		return len(x) == 0 && slices.Equal(y, []string{"n1", "n2"})
	}) {
		t.Fatal("the sides do not hold the verdicts of their own calls")
	}
	r.SetAllLinkFaults(Fault{})
	if !waitUntil(time.Duration(SettlePeriods)*period+verdictBound(6)+2*pollInterval,
		allHoldVerdicts(r, "n1", "n2")) {
		t.Fatal("the members do not agree after the heal")
	}
	if !r.Quiesce(waitTimeout) {
		t.Error("some queries were not answered")
	}
	for _, violation := range Check(r.History.Events(), false) {
		t.Error(violation)
	}
}

// A verdict survives the crash of all members but three and an upgrade. A verdict with an end expires on
// time.
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
	crashed := r.Members()[3:]
	for _, m := range crashed {
		m.Kill()
	}
	if err := r.Member("m00").Upgrade(); err != nil {
		t.Fatal(err)
	}
	if got, _ := r.Member("m00").verdicts(); !slices.Contains(got, "n3") {
		t.Fatalf("after its upgrade m00 holds %v", got)
	}
	for _, m := range crashed {
		if err := m.Start(); err != nil {
			t.Fatal(err)
		}
	}
	awaitConverged(t, r, "the crashed members have restarted")
	for _, m := range crashed {
		m.awaitServing(t)
		if got, synced := m.verdicts(); !slices.Contains(got, "n3") || !synced {
			t.Errorf("%s holds %v after its restart, synced: %v", m.Name, got, synced)
		}
	}
	if time.Since(begun) < span {
		if got, _ := crashed[0].verdicts(); !slices.Contains(got, "n0") {
			t.Errorf("the verdict on n0 has ended early: %v", got)
		}
	}
	if !waitUntil(waitTimeout, allHoldVerdicts(r, "n3")) {
		t.Fatal("the verdict does not expire")
	}
	if early := span - time.Since(begun); early > period {
		t.Fatalf("the verdict expired %v early", early)
	}
}

// At 30% datagram loss, with duplicates and reordering, a verdict holds everywhere in time.
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

// A prefix that is banned at one member is banned by admission at all members, including one that starts
// later, and is lifted at all of them.
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
	start := func(i int) {
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
	start(0)
	start(1)
	if !waitUntil(waitTimeout, func() bool { return up(0) && up(1) }) {
		t.Fatal("the members do not start")
	}
	if reply, err := callAdmin(r.addr(1, portAdmin), "POST", "/admin/fleet/ban", "10.9.0.0/16 1h"); err != nil ||
		reply.Status != 200 {
		t.Fatalf("%v %+v", err, reply)
	}
	start(2)
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
