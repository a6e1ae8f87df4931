package membership

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

const testPeriod = 200_000

// testFleet connects several views that share a clock; datagrams are delivered at once.
type testFleet struct {
	t         testing.TB
	now       Micros
	views     map[netip.AddrPort]*View
	order     []*View
	lastBirth uint64
	blocked   func(from, to *View) bool
	onSend    func(from *View, s Datagram)
}

func newTestFleet(t testing.TB) *testFleet {
	return &testFleet{t: t, now: 1_000_000, views: map[netip.AddrPort]*View{}, blocked: func(_,
		_ *View) bool {
		return false
	},
		onSend: func(*View, Datagram) {}}
}

func addr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i >> 8), byte(i)}), 7946)
}

func (tf *testFleet) add(name string, at int, edit ...func(*Config)) *View {
	tf.t.Helper()
	tf.lastBirth += 0x1_0000_0001
	c := Config{Name: name, Zone: "z", Addr: addr(at), Birth: tf.lastBirth, Seed: uint64(at),
		Period: testPeriod, Settings: Settings{Most: 16, Join: []netip.AddrPort{addr(1), addr(2)}, Stamp: 7}}
	for _, e := range edit {
		e(&c)
	}
	v, err := New(c, tf.now)
	if err != nil {
		tf.t.Fatal(err)
	}
	tf.attach(v)
	return v
}

func (tf *testFleet) attach(v *View) {
	tf.views[v.self.addr] = v
	tf.order = append(tf.order, v)
}

func (tf *testFleet) remove(v *View) {
	if tf.views[v.self.addr] == v {
		delete(tf.views, v.self.addr)
	}
	for i, x := range tf.order {
		if x == v {
			tf.order = append(tf.order[:i:i], tf.order[i+1:]...)
		}
	}
}

// flush delivers datagrams until none is in flight.
func (tf *testFleet) flush() {
	for n, more := 0, true; more; n++ {
		if n > 10_000 {
			tf.t.Fatal("datagrams never stop")
		}
		more = false
		for _, v := range tf.order {
			sends, _, _ := v.TakeOutput()
			for _, s := range sends {
				more = true
				tf.onSend(v, s)
				if to := tf.views[s.To]; to != nil && !tf.blocked(v, to) {
					to.Receive(tf.now, s.Data)
				}
			}
		}
	}
}

func (tf *testFleet) run(periods int) {
	for range periods * slotsPerPeriod {
		tf.now += testPeriod / slotsPerPeriod
		for _, v := range append([]*View(nil), tf.order...) {
			v.Tick(tf.now)
			tf.flush()
		}
	}
}

func (tf *testFleet) waitFor(what string, maxPeriods int, ok func() bool) int {
	tf.t.Helper()
	for n := range maxPeriods {
		if ok() {
			return n
		}
		tf.run(1)
	}
	for _, v := range tf.order {
		tf.t.Logf("%s: %+v %+v", v.self.name, v.Members(), v.Stats())
	}
	tf.t.Fatalf("%s: not reached within %d periods", what, maxPeriods)
	return 0
}

func (tf *testFleet) converged() bool {
	for _, v := range tf.order {
		if alive, trusted := v.liveCounts(); v.digest != tf.order[0].digest || alive != len(tf.order) ||
			trusted != alive ||
			v.joining {
			return false
		}
	}
	return true
}

func stateOf(v *View, name string) string {
	if m := v.find(name); m != nil {
		return fmt.Sprintf("%v%d", m.export().State, m.inc)
	}
	return "unknown"
}

func TestConfigIsChecked(t *testing.T) {
	valid := Config{Name: "a", Addr: addr(1), Birth: 1, Period: testPeriod, Settings: Settings{Most: 2}}
	if _, err := New(valid, 0); err != nil {
		t.Fatal(err)
	}
	for what, edit := range map[string]func(*Config){
		"name":    func(c *Config) { c.Name = "" },
		"bytes":   func(c *Config) { c.Name = strings.Repeat("x", MaxName+1) },
		"zone":    func(c *Config) { c.Zone = strings.Repeat("x", MaxZone+1) },
		"birth":   func(c *Config) { c.Birth = 0 },
		"period":  func(c *Config) { c.Period = 10 },
		"address": func(c *Config) { c.Addr = netip.AddrPort{} },
		"roster":  func(c *Config) { c.Roster = []string{"b"} },
		"room":    func(c *Config) { c.Most = 0 },
	} {
		c := valid
		edit(&c)
		if _, err := New(c, 0); err == nil || !strings.Contains(err.Error(), what) {
			t.Errorf("%s: %v", what, err)
		}
	}
}

// A restarted process supersedes its predecessor, whether the members know it as alive or dead, although the
// new process starts without any state.
func TestRestartSupersedesPredecessor(t *testing.T) {
	tf := newTestFleet(t)
	a := tf.add("a", 1)
	tf.add("b", 2)
	c := tf.add("c", 3)
	tf.waitFor("start", 30, tf.converged)
	for round := range 3 {
		tf.remove(c)
		if round == 1 { // known to be dead before it is back
			tf.waitFor("death", 20, func() bool { return strings.HasPrefix(stateOf(a, "c"), "dead") })
		}
		oldInc := a.find("c").inc
		c = tf.add("c", 3)
		tf.waitFor("return", 20, tf.converged)
		if m := a.find("c"); m.birth != c.self.birth || m.inc <= oldInc || a.byBirth[c.self.birth] != m {
			t.Fatalf("a sees c as %+v", m)
		}
	}
	if c.conflict != nil || a.conflict != nil {
		t.Fatal("a restart was reported as a name conflict")
	}
}

// A restart at another address supersedes the predecessor too, since the predecessor no longer answers.
func TestRestartAtAnotherAddress(t *testing.T) {
	tf := newTestFleet(t)
	a, c := tf.add("a", 1), tf.add("c", 3)
	tf.waitFor("start", 30, tf.converged)
	tf.remove(c)
	c = tf.add("c", 9)
	tf.waitFor("return", 30, tf.converged)
	if m := a.find("c"); m.addr != addr(9) || c.conflict != nil {
		t.Fatalf("%+v, %+v", m, c.conflict)
	}
}

// Of two running processes with one name the later one has to stop: when it joins, after a partition, and
// when the two reach each other only through other members. The older one keeps its membership.
func TestTwoProcessesWithOneName(t *testing.T) {
	for _, scenario := range []string{"joins", "was partitioned", "is known through others only"} {
		tf := newTestFleet(t)
		a, b, c := tf.add("a", 1), tf.add("b", 2), tf.add("c", 3)
		tf.waitFor("start", 30, tf.converged)
		var d *View
		side := func(v *View) bool { return v == d }
		if scenario == "was partitioned" {
			tf.blocked = func(x, y *View) bool { return side(x) != side(y) }
		}
		d = tf.add("c", 9)
		if scenario == "is known through others only" {
			tf.blocked = func(x, y *View) bool { return x == d && y == c || x == c && y == d }
		}
		if scenario == "was partitioned" {
			tf.waitFor("d alone", 30, func() bool { return !d.joining })
			tf.run(10)
			tf.blocked = func(_, _ *View) bool { return false }
		}
		tf.waitFor("verdict: "+scenario, 60, func() bool { return d.conflict != nil && d.conflict.MustStop })
		if c.conflict == nil || c.conflict.MustStop {
			t.Fatalf("%s: the older process: %+v", scenario, c.conflict)
		}
		tf.remove(d) // its process ends
		tf.waitFor("agreement: "+scenario, 60, tf.converged)
		for _, v := range []*View{a, b} {
			if m := v.find("c"); m.birth != c.self.birth || m.addr != addr(3) {
				t.Fatalf("%s: %s sees c as %+v", scenario, v.self.name, m)
			}
		}
	}
}

// A member that left is not dead, is not contacted any more, and can return as a new process.
func TestLeaving(t *testing.T) {
	tf := newTestFleet(t)
	a, b, c := tf.add("a", 1), tf.add("b", 2), tf.add("c", 3)
	tf.waitFor("start", 30, tf.converged)
	c.Leave(tf.now)
	tf.flush()
	if !c.LeaveAcknowledged() {
		t.Fatal("no member acknowledged the leave")
	}
	tf.remove(c)
	tf.run(30)
	for _, v := range []*View{a, b} {
		if s := stateOf(v, "c"); s != "left1" {
			t.Fatalf("%s sees c as %s", v.self.name, s)
		}
	}
	datagrams := 0
	tf.onSend = func(_ *View, s Datagram) {
		if s.To == addr(3) {
			datagrams++
		}
	}
	tf.run(20)
	if datagrams > 0 {
		t.Fatalf("%d datagrams to a member that has left", datagrams)
	}
	tf.add("c", 3)
	tf.waitFor("return", 30, tf.converged)
}

// A forgotten member does not reappear: not when all datagrams ever sent are replayed, nor when a member that
// was stopped while the others forgot it resumes and still knows it as alive.
func TestForgottenMembersDoNotReturn(t *testing.T) {
	tf := newTestFleet(t)
	a, b, c := tf.add("a", 1), tf.add("b", 2), tf.add("c", 3)
	var recorded []Datagram
	tf.onSend = func(_ *View, s Datagram) { recorded = append(recorded, s) }
	tf.waitFor("start", 30, tf.converged)
	tf.run(5)
	d := tf.add("d", 4)
	tf.waitFor("d", 30, tf.converged)
	tf.remove(d) // simulates a stopped process
	tf.remove(c)
	tf.onSend = func(*View, Datagram) {}
	tf.waitFor("death", 40, func() bool { return stateOf(a, "c") == "dead1" && stateOf(b, "c") == "dead1" })
	tf.run(ForgetDead + 10)
	if s := stateOf(a, "c") + stateOf(b, "c"); s != "unknownunknown" {
		t.Fatalf("not forgotten: %s", s)
	}
	requireForgotten := func(when string) {
		t.Helper()
		for _, v := range tf.order {
			if s := stateOf(v, "c"); s != "unknown" {
				t.Fatalf("%s: %s sees c as %s", when, v.self.name, s)
			}
		}
	}
	for _, s := range recorded {
		if v := tf.views[s.To]; v != nil {
			v.Receive(tf.now, s.Data)
			tf.flush()
		}
	}
	requireForgotten("after the replay")
	tf.attach(d) // resumes, and still knows c as alive
	tf.waitFor("d back", 60, func() bool { return !d.joining && a.digest == d.digest && b.digest == d.digest })
	requireForgotten("after d resumed")
	if f := d.Stats(); f.Rejoins != 1 || a.Stats().Dropped[Replayed]+a.Stats().Dropped[Unknown] == 0 {
		t.Fatalf("%+v, %+v", f, a.Stats())
	}
}

// A member that receives nothing is not trusted: no other member is declared dead, only the deaf one.
func TestDeafMemberIsNotTrusted(t *testing.T) {
	tf := newTestFleet(t)
	var all []*View
	for i := range 6 {
		all = append(all, tf.add(string(rune('a'+i)), i+1))
	}
	tf.waitFor("start", 40, tf.converged)
	deaf := all[5]
	tf.blocked = func(_, to *View) bool { return to == deaf }
	died := false
	for range 60 {
		tf.run(1)
		for _, v := range all[:5] {
			for _, w := range all[:5] {
				died = died || v != w && strings.HasPrefix(stateOf(v, w.self.name), "dead")
			}
		}
	}
	if died || !strings.HasPrefix(stateOf(all[0], "f"), "dead") {
		t.Fatalf("a healthy member was declared dead: %v; the deaf one is %s", died, stateOf(all[0], "f"))
	}
	tf.blocked = func(_, _ *View) bool { return false }
	tf.waitFor("return", 30, tf.converged)
}

// The roster and the maximum size bound the view.
func TestRosterBoundsView(t *testing.T) {
	tf := newTestFleet(t)
	names := func(c *Config) { c.Roster, c.Most = []string{"a", "b"}, 0 }
	a := tf.add("a", 1, names)
	tf.add("b", 2, names)
	x := tf.add("x", 3, func(c *Config) { c.Roster, c.Most = []string{"a", "b", "x"}, 0 })
	tf.run(30)
	if stateOf(a, "x") != "unknown" || a.Stats().Dropped[NotAdmitted] == 0 || x.Stats().Rejections == 0 {
		t.Fatalf("%s, %+v, %+v", stateOf(a, "x"), a.Stats(), x.Stats())
	}
	if stateOf(a, "b") != "alive1" || stateOf(x, "b") == "" {
		t.Fatal("members of the roster are missing")
	}

	tf = newTestFleet(t)
	a = tf.add("a", 1, func(c *Config) { c.Most = 4 })
	for i := range 12 {
		v := tf.add(fmt.Sprint("p", i), 10+i)
		tf.run(6)
		if n := len(a.members) + 1; n > 4 {
			t.Fatalf("%d members, maximum is 4", n)
		}
		tf.remove(v)
		tf.run(20)
	}
	if stateOf(a, "p11") == "unknown" {
		t.Fatal("the members that died first were not evicted")
	}
}

// A successor continues as the same member without others noticing; if it fails, the old process continues.
func TestHandover(t *testing.T) {
	tf := newTestFleet(t)
	a, b, c := tf.add("a", 1), tf.add("b", 2), tf.add("c", 3)
	tf.waitFor("start", 30, tf.converged)
	tf.run(20)
	inc, birth := b.self.inc, b.self.birth
	successor, err := Resume(b.cfg, b.Snapshot(), tf.now)
	if err != nil {
		t.Fatal(err)
	}
	tf.remove(b)
	tf.attach(successor)
	for range 30 {
		tf.run(1)
		for _, v := range []*View{a, c} {
			if m := v.find("b"); m.state != Alive || m.suspect || m.birth != birth || m.inc != inc {
				t.Fatalf("%s noticed: %+v", v.self.name, m)
			}
		}
	}
	if !tf.converged() {
		t.Fatal("the views differ")
	}
	tf.remove(successor)
	tf.attach(b)
	b.Reclaim(tf.now)
	tf.waitFor("the old one is back", 30, tf.converged)
	if a.find("b").birth != birth {
		t.Fatal("the old process has another identity")
	}
}

// No input causes a panic, an oversized datagram or a view above its maximum size.
func FuzzReceive(f *testing.F) {
	tf := newTestFleet(f)
	tf.add("a", 1)
	tf.add("b", 2)
	tf.onSend = func(_ *View, s Datagram) { f.Add(s.Data) }
	tf.waitFor("start", 30, tf.converged)
	c := tf.add("c", 3)
	tf.run(3)
	c.Leave(tf.now)
	tf.run(3)
	f.Fuzz(func(t *testing.T, data []byte) {
		tf := newTestFleet(t)
		v := tf.add("a", 1, func(c *Config) { c.Most = 4 })
		tf.add("b", 2)
		tf.waitFor("start", 30, tf.converged)
		for range 2 {
			v.Receive(tf.now, data)
			sends, _, _ := v.TakeOutput()
			for _, s := range sends {
				if len(s.Data) > MaxPlain {
					t.Fatalf("%d bytes", len(s.Data))
				}
			}
		}
		if len(v.members)+1 > 4 {
			t.Fatalf("%d members", len(v.members)+1)
		}
		tf.run(2)
	})
}

// Encoded entries decode to the same values; a truncated entry is rejected.
func TestEntryRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := entry{record: record{birth: rapid.Uint64Range(1, 1<<63).Draw(t, "birth"),
			inc: rapid.Uint32Range(0, maxIncarnation).Draw(t, "inc")}, typ: rapid.ByteMax(typeVote).Draw(t, "what")}
		switch e.typ {
		case typeVote:
			e.votes = []uint32{rapid.Uint32().Draw(t, "vote")}
		case typeDead:
			e.state, e.age = Dead, Micros(rapid.Uint16().Draw(t, "age"))
			e.votes = rapid.SliceOfN(rapid.Uint32(), 0, maxVotes).Draw(t, "votes")
		case typeLeft:
			e.state, e.age = Left, Micros(rapid.Uint16().Draw(t, "age"))
		}
		if rapid.Bool().Draw(t, "full") {
			e.full = true
			e.name = rapid.StringOfN(rapid.RuneFrom([]rune("abc.-")), 1, MaxName, -1).Draw(t, "name")
			e.zone = rapid.StringOfN(rapid.RuneFrom([]rune("xyz")), 0, MaxZone, -1).Draw(t, "zone")
			e.addr = addr(int(rapid.Uint16().Draw(t, "addr")))
		}
		b := e.append(nil)
		if len(b) != e.size() {
			t.Fatalf("%d bytes, size() is %d", len(b), e.size())
		}
		r := newReader(b)
		got := r.entry()
		if r.Bad || len(r.Rest) > 0 || fmt.Sprintf("%+v", got) != fmt.Sprintf("%+v", e) {
			t.Fatalf("%+v was decoded as %+v", e, got)
		}
		r = newReader(b[:rapid.IntRange(0, len(b)-1).Draw(t, "cut")])
		if list := r.entries(); len(list) > 0 {
			t.Fatalf("a truncated entry was decoded: %+v", list)
		}
	})
}

// Each sequence number is accepted once, in any order, unless it is too old for the window.
func TestReplayWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var w replayWindow
		taken, top := map[uint64]bool{}, uint64(0)
		for _, n := range rapid.SliceOf(rapid.Uint64Range(1, 300)).Draw(t, "numbers") {
			want := !taken[n] && (n > top || top-n < 64)
			if got := w.accept(n); got != want {
				t.Fatalf("%d after %d: %v", n, top, got)
			}
			taken[n] = taken[n] || want
			top = max(top, n)
		}
	})
}

// The same inputs and seed produce byte-identical datagrams.
func TestRunIsDeterministic(t *testing.T) {
	run := func() (log string) {
		tf := newTestFleet(t)
		tf.onSend = func(_ *View, s Datagram) { log += fmt.Sprintf("%v %x\n", s.To, s.Data) }
		for i := range 5 {
			tf.add(fmt.Sprint("m", i), i+1)
		}
		tf.run(20)
		tf.remove(tf.order[4])
		tf.run(20)
		return log
	}
	if a, b := run(), run(); a != b || len(a) < 1000 {
		t.Fatal("two runs differ")
	}
}

func fullView(b *testing.B, n int) *View {
	b.Helper()
	v, err := New(Config{Name: "self", Addr: addr(60_000), Birth: 1, Seed: 1, Period: testPeriod,
		Settings: Settings{Most: n}}, 0)
	if err != nil {
		b.Fatal(err)
	}
	v.Tick(0)
	for i := range n - 1 {
		v.setRecord(record{name: fmt.Sprintf("m%04d", i), zone: "z", addr: addr(i + 1), birth: uint64(i + 2),
			inc: 1}, 0)
	}
	return v
}

// BenchmarkProbeRound measures one period of a member in a fleet of 300: its probe and its housekeeping.
func BenchmarkProbeRound(b *testing.B) {
	v := fullView(b, 300)
	now := Micros(0)
	b.ReportAllocs()
	for b.Loop() {
		for range slotsPerPeriod {
			now += testPeriod / slotsPerPeriod
			v.Tick(now)
		}
		for i := range v.probes { // all are answered
			if m := v.byBirth[v.probes[i].birth]; m != nil {
				v.probeAnswered(m, v.probes[i])
			}
		}
		v.probes = v.probes[:0]
		v.TakeOutput()
	}
}

// BenchmarkMerge measures merging one datagram's worth of entries in a fleet of 300.
func BenchmarkMerge(b *testing.B) {
	v := fullView(b, 300)
	var list []entry
	for i := range 14 {
		e := v.entryOf(v.members[i*20], false)
		list = append(list, e)
	}
	b.ReportAllocs()
	for b.Loop() {
		for i := range list {
			list[i].inc++
			v.merge(list[i])
		}
		v.updates = updateQueue{}
	}
}
