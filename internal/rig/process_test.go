package rig

import (
	"crypto/rand"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const waitTimeout = 30 * time.Second

// awaitConverged waits until all running members have the same view; when names the point in the test.
func awaitConverged(t *testing.T, r *Rig, when string) {
	t.Helper()
	if !waitUntil(waitTimeout, func() bool { return Converged(r.RunningMembers()) }) {
		t.Fatalf("the members' views do not converge: %s", when)
	}
}

// A second process with a member's name, at another address, refuses to serve and exits with an error. The
// first process continues, both log the conflict, and the other members' views do not change.
func TestNewerProcessWithDuplicateNameExits(t *testing.T) {
	r := startRig(t, Config{Members: 4, Seed: 21, Rate: 5})
	awaitConverged(t, r, "start")
	older, newer := r.Member("m00"), r.Member("m03")
	if newer.Terminate() != 0 {
		t.Fatal("m03 did not exit with 0")
	}
	before := len(r.History.Events())
	if err := newer.Start(`name = "m03"`, `name = "m00"`, "\nm00 = ", "\nm03 = "); err != nil {
		t.Fatal(err)
	}
	if status := newer.Process().Wait(waitTimeout); status != 1 {
		t.Fatalf("the newer process exited with status %d", status)
	}
	newer.running.Store(false)
	for m, want := range map[*Member]string{older: "another process bears this member's name",
		newer: "another process bears this member's name and has run for longer"} {
		if !waitUntil(waitTimeout, func() bool {
			log, _ := os.ReadFile(m.LogPath())
			return strings.Contains(string(log), want)
		}) {
			t.Errorf("the log of %s does not contain %q", m.Name, want)
		}
	}
	time.Sleep(20 * period)
	if older.Process().Exited() || older.View().Figures.Conflict == "" {
		t.Error("the older process has exited, or does not report the conflict")
	}
	for _, e := range r.History.Events()[before:] {
		if e.Kind == KindView && e.Members["m00"] != "alive" {
			t.Fatalf("%s sees m00 %s", e.Subject, e.Members["m00"])
		}
	}
	// A second process at the same address cannot start.
	p, err := Start(r.program, []string{"serve", "--fleet", older.path("fleet.toml")},
		[]string{"RELAY_CONFIG=" + newer.path("config.json"), "TMPDIR=" + t.TempDir()}, newer.path("duplicate"))
	if err != nil {
		t.Fatal(err)
	}
	if status := p.Wait(waitTimeout); status != 1 {
		t.Fatalf("a process at an address in use exited with status %d", status)
	}
}

// Keys are rotated in service: the new key is added everywhere, then becomes the first, then the old key is
// removed. A member with only a foreign key sees no other member, and no other member sees it alive.
func TestKeyRotationInService(t *testing.T) {
	key := func() string {
		b := make([]byte, 32)
		_, _ = rand.Read(b)
		return base64.StdEncoding.EncodeToString(b)
	}
	oldKey, newKey := key(), key()
	r := startRig(t, Config{Members: 4, Seed: 22, Rate: 5, Keys: oldKey})
	awaitConverged(t, r, "start")
	setKeys := func(text string) {
		t.Helper()
		r.cfg.Keys = text
		for _, m := range r.Members()[:3] { // the fourth member is not reloaded
			if err := m.RewriteFiles(); err != nil {
				t.Fatal(err)
			}
			m.Reload()
			time.Sleep(3 * period)
		}
	}
	// RewriteFiles writes the key file that all members share, but only members that get a SIGHUP read it.
	setKeys(oldKey + "\n" + newKey)
	setKeys(newKey + "\n" + oldKey)
	for _, e := range r.History.Events() {
		for name, state := range e.Members {
			if e.Kind == KindView && state == "dead" {
				t.Fatalf("%s sees %s dead after %.0f ms", e.Subject, name, e.AtMS)
			}
		}
	}
	setKeys(newKey)
	reloaded := r.Members()[:3]
	if !waitUntil(waitTimeout, func() bool {
		for _, m := range reloaded {
			if v := m.View(); v == nil || v.StateOf("m03") != "dead" || v.Alive != 3 {
				return false
			}
		}
		return r.Member("m03").View().Alive == 1
	}) {
		t.Fatal("messages of the member without the new key are still accepted")
	}
	if r.Member("m03").View().Figures.Dropped["key"] == 0 {
		t.Error("messages with foreign keys are not counted as dropped")
	}
	if err := r.Member("m03").RewriteFiles(); err != nil {
		t.Fatal(err)
	}
	r.Member("m03").Reload()
	awaitConverged(t, r, "all members have the new key")
}

// All members share one key file, and the rig writes it again at every start. A process that has the file
// open while it is replaced must read a complete text: two members that were started at once used to read no
// keys.
func TestReplaceFileIsAtomic(t *testing.T) {
	path := filepath.Join(t.TempDir(), "fleet.keys")
	for _, text := range []string{"one\n", "two\n"} {
		if err := replaceFile(path, text); err != nil {
			t.Fatal(err)
		}
	}
	reader, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer reader.Close()
	if err := replaceFile(path, "three\n"); err != nil {
		t.Fatal(err)
	}
	old, err := io.ReadAll(reader)
	now, nerr := os.ReadFile(path)
	if err != nil || nerr != nil || string(old) != "two\n" || string(now) != "three\n" {
		t.Errorf("read %q (%v), then %q (%v)", old, err, now, nerr)
	}
	if left, _ := filepath.Glob(path + ".*"); left != nil {
		t.Errorf("temporary files left behind: %v", left)
	}
}

// Members whose rosters differ report it.
func TestDifferingRostersAreReported(t *testing.T) {
	r := startRig(t, Config{Members: 3, Seed: 23})
	awaitConverged(t, r, "start")
	m := r.Member("m01")
	if err := m.RewriteFiles("most = 64", "most = 65"); err != nil {
		t.Fatal(err)
	}
	m.Reload()
	if !waitUntil(waitTimeout, func() bool {
		a, b := r.Member("m00").View(), m.View()
		return len(a.Figures.Differ) == 1 && a.Figures.Differ[0] == "m01" && len(b.Figures.Differ) == 2
	}) {
		t.Fatalf("the difference is not reported: %+v", r.Member("m00").View().Figures)
	}
}

// Coordinators with any kind of front join the fleet, and the admin endpoint is up with each of them.
func TestEveryFrontJoinsFleet(t *testing.T) {
	program, err := BuildProgram()
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	r := &Rig{}
	if err := r.claimSubnet(); err != nil {
		t.Fatal(err)
	}
	defer r.closers[0]()
	fronts := []string{"promql", "translate", "promql"}
	files := map[string]string{"promql": `listen = "%s"
class = "ranges"
[[server]]
name = "a"
address = "127.0.0.1:9"
`, "translate": `listen = "%s"
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
`}
	var procs []*Proc
	for i, kind := range fronts {
		front := filepath.Join(dir, fmt.Sprint("front", i))
		file := filepath.Join(dir, fmt.Sprint("fleet", i))
		form := "[fleet]\nname = \"f%d\"\nlisten = %q\njoin = [%q]\nroster = [\"f0\", \"f1\", \"f2\"]\n"
		fleet := fmt.Sprintf(form, i, r.addr(1+i, portFleet), r.addr(1, portFleet))
		for path, text := range map[string]string{front: fmt.Sprintf(files[kind], r.addr(1+i, portFront)),
			file: fleet} {
			if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		p, err := Start(program, []string{"serve", "--" + kind, front, "--fleet", file},
			[]string{"RELAY_CONFIG=", "RELAY_OPERATOR=" + r.addr(1+i, portAdmin)}, filepath.Join(dir,
				fmt.Sprint("log", i)))
		if err != nil {
			t.Fatal(err)
		}
		defer p.Kill()
		procs = append(procs, p)
	}
	for i := range fronts {
		if !waitUntil(waitTimeout, func() bool {
			reply, err := callAdmin(r.addr(1+i, portAdmin), "GET", "/admin/fleet", "")
			var v View
			return err == nil && reply.Status == 200 && json.Unmarshal(reply.Body, &v) == nil && v.Alive == 3
		}) {
			log, _ := os.ReadFile(procs[i].LogPath)
			t.Fatalf("%s does not see all members:\n%s", fronts[i], log)
		}
	}
	// Without --fleet there is no fleet socket and no fleet endpoint.
	p, err := Start(program, []string{"serve", "--promql", filepath.Join(dir, "front0")},
		[]string{"RELAY_CONFIG=",
			"RELAY_OPERATOR=" + r.addr(9, portAdmin)}, filepath.Join(dir, "log9"))
	if err != nil {
		t.Fatal(err)
	}
	defer p.Kill()
	if !waitUntil(waitTimeout, func() bool {
		reply, err := callAdmin(r.addr(9, portAdmin), "GET", "/admin/fleet", "")
		return err == nil && reply.Status == 404
	}) {
		t.Fatal("a coordinator without --fleet serves /admin/fleet")
	}
}

// The decision modules of the members receive one another's messages.
func TestModulesExchangeMessages(t *testing.T) {
	r := startRig(t, Config{Members: 3, Seed: 24, Rate: 40})
	awaitConverged(t, r, "start")
	figures := func(m *Member) (sent, received int64) {
		reply, err := m.CallAdmin("GET", "/admin/fleet", "")
		if err != nil {
			return 0, 0
		}
		var v struct {
			Figures struct {
				Sent     int64 `json:"module_messages_sent"`
				Received int64 `json:"module_messages_received"`
			}
		}
		_ = json.Unmarshal(reply.Body, &v)
		return v.Figures.Sent, v.Figures.Received
	}
	if !waitUntil(waitTimeout, func() bool {
		for _, m := range r.Members() {
			if _, received := figures(m); received < 3 {
				return false
			}
		}
		return true
	}) {
		t.Fatal("the modules do not receive one another's messages")
	}
}

// Check finds each kind of violation, and none in a correct history.
func TestCheckFindsViolations(t *testing.T) {
	view := func(who, digest, state string, inc uint32) Event {
		return Event{Kind: KindView, Subject: who, Digest: digest, Members: map[string]string{"m01": state},
			Incarnations: map[string]uint32{"m01": inc}}
	}
	up := Event{Kind: KindProcess, Subject: "m01", Detail: "start"}
	for want, events := range map[string][]Event{
		"answered 2 times": {{Kind: KindQuery, Query: "q"}, {Kind: KindAnswer, Query: "q"},
			{Kind: KindAnswer, Query: "q"}},
		"never answered":       {{Kind: KindQuery, Query: "q"}},
		"which was running":    {{Kind: KindQuery, Query: "q"}, {Kind: KindAnswer, Query: "q", Detail: "cut off"}},
		"which no client sent": {{Kind: KindPart, Subject: "n0", Query: "q.1"}},
		"another's": {{Kind: KindQuery, Query: "q"}, {Kind: KindAnswer, Query: "q",
			Detail: "another's: x"}},
		"went back from 2 to 1":    {up, view("m00", "a", "alive", 2), view("m00", "b", "alive", 1)},
		"maps to both":             {up, view("m00", "a", "alive", 1), view("m02", "a", "left", 1)},
		"dead while it is running": {up, view("m00", "a", "dead", 1)},
	} {
		if got := strings.Join(Check(events, true), "; "); !strings.Contains(got, want) {
			t.Errorf("got %q, want a violation with %q", got, want)
		}
	}
	if got := Check([]Event{up, view("m00", "a", "alive", 1), {Kind: KindQuery, Query: "q"},
		{Kind: KindAnswer, Query: "q"}}, true); len(got) > 0 {
		t.Errorf("violations in a correct history: %v", got)
	}
}

// The error for an invalid scenario names all mistakes by line and key.
func TestInvalidScenarios(t *testing.T) {
	_, err := ParseScenario("s.toml", `members = 99
rate = -1
[[step]]
do = "dance"
who = ["x"]
[[step]]
after = -3
expect = "joy"
[[step]]
do = "cut"
`)
	if err == nil {
		t.Fatal("an invalid scenario is accepted")
	}
	for _, want := range []string{"s.toml:1: members", "s.toml:2: rate", "s.toml:4: step[1].do",
		"s.toml:5: step[1].who",
		"s.toml:7: step[2].after", "s.toml:8: step[2].expect", "step[3].sides"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("%q is missing in the error: %v", want, err)
		}
	}
}

// Relays inject the faults that are set on them.
func TestRelayFaults(t *testing.T) {
	dst, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer dst.Close()
	relay, err := newUDPRelay(&net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}, dst.LocalAddr().(*net.UDPAddr), 5)
	if err != nil {
		t.Fatal(err)
	}
	defer relay.close()
	src, err := net.Dial("udp", relay.conn.LocalAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer src.Close()
	exchange := func(send int) (n, corrupted int) {
		for range send {
			_, _ = src.Write([]byte("datagram"))
			time.Sleep(100 * time.Microsecond)
		}
		buf := make([]byte, 64)
		for {
			_ = dst.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
			k, err := dst.Read(buf)
			if err != nil {
				return n, corrupted
			}
			n++
			if string(buf[:k]) != "datagram" {
				corrupted++
			}
		}
	}
	for name, c := range map[string]struct {
		f         Fault
		min, max  int
		corrupted bool
	}{"sound": {Fault{}, 100, 100, false}, "cut": {Fault{Cut: true}, 0, 0, false},
		"loss": {Fault{Loss: 0.5}, 30, 70, false}, "twice": {Fault{Duplicate: 1}, 200, 200, false},
		"damage": {Fault{Corrupt: 1}, 100, 100, true}, "late": {Fault{Reorder: 0.5, DelayMS: 5}, 100, 100, false}} {
		relay.setFault(c.f)
		if n, corrupted := exchange(100); n < c.min || n > c.max || c.corrupted != (corrupted == n && n > 0) {
			t.Errorf("%s: %d received, %d corrupted", name, n, corrupted)
		}
	}
	relay.setFault(Fault{Freeze: true})
	if n, _ := exchange(20); n != 0 {
		t.Errorf("%d passed a frozen link", n)
	}
	relay.setFault(Fault{})
	if n, _ := exchange(0); n != 20 {
		t.Errorf("%d of 20 received after the link was unfrozen", n)
	}
}
