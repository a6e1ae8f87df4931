package membership

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

const testPeriod = 200_000

// lab is a few views that hear one another at once, on one clock.
type lab struct {
	t     testing.TB
	now   Micros
	views map[netip.AddrPort]*View
	order []*View
	born  uint64
	cut   func(from, to *View) bool
	tap   func(from *View, s Datagram)
}

func newLab(t testing.TB) *lab {
	return &lab{t: t, now: 1_000_000, views: map[netip.AddrPort]*View{}, cut: func(_,
		_ *View) bool {
		return false
	},
		tap: func(*View, Datagram) {}}
}

func addr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i >> 8), byte(i)}), 7946)
}

func (l *lab) add(name string, at int, edit ...func(*Config)) *View {
	l.t.Helper()
	l.born += 0x1_0000_0001
	c := Config{Name: name, Zone: "z", Addr: addr(at), Birth: l.born, Seed: uint64(at),
		Period: testPeriod, Settings: Settings{Most: 16, Join: []netip.AddrPort{addr(1), addr(2)}, Stamp: 7}}
	for _, e := range edit {
		e(&c)
	}
	v, err := New(c, l.now)
	if err != nil {
		l.t.Fatal(err)
	}
	l.put(v)
	return v
}

func (l *lab) put(v *View) {
	l.views[v.self.addr] = v
	l.order = append(l.order, v)
}

func (l *lab) remove(v *View) {
	if l.views[v.self.addr] == v {
		delete(l.views, v.self.addr)
	}
	for i, x := range l.order {
		if x == v {
			l.order = append(l.order[:i:i], l.order[i+1:]...)
		}
	}
}

// flush delivers until nothing is on its way.
func (l *lab) flush() {
	for n, more := 0, true; more; n++ {
		if n > 10_000 {
			l.t.Fatal("datagrams without end")
		}
		more = false
		for _, v := range l.order {
			sends, _, _ := v.TakeOutput()
			for _, s := range sends {
				more = true
				l.tap(v, s)
				if to := l.views[s.To]; to != nil && !l.cut(v, to) {
					to.Receive(l.now, s.Data)
				}
			}
		}
	}
}

func (l *lab) run(periods int) {
	for range periods * slots {
		l.now += testPeriod / slots
		for _, v := range append([]*View(nil), l.order...) {
			v.Tick(l.now)
			l.flush()
		}
	}
}

func (l *lab) until(what string, most int, ok func() bool) int {
	l.t.Helper()
	for n := range most {
		if ok() {
			return n
		}
		l.run(1)
	}
	for _, v := range l.order {
		l.t.Logf("%s: %+v %+v", v.self.name, v.Members(), v.Stats())
	}
	l.t.Fatalf("%s: not within %d periods", what, most)
	return 0
}

func (l *lab) agree() bool {
	for _, v := range l.order {
		if alive, trusted := v.alive(); v.digest != l.order[0].digest || alive != len(l.order) ||
			trusted != alive ||
			v.joining {
			return false
		}
	}
	return true
}

func state(v *View, name string) string {
	if m := v.find(name); m != nil {
		return fmt.Sprintf("%v%d", m.shown().State, m.inc)
	}
	return "unknown"
}

func TestConfigIsChecked(t *testing.T) {
	sound := Config{Name: "a", Addr: addr(1), Birth: 1, Period: testPeriod, Settings: Settings{Most: 2}}
	if _, err := New(sound, 0); err != nil {
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
		c := sound
		edit(&c)
		if _, err := New(c, 0); err == nil || !strings.Contains(err.Error(), what) {
			t.Errorf("%s: %v", what, err)
		}
	}
}

// A new process of a member's name goes behind its predecessor, whatever the members remember of that one,
// and although it starts from nothing each time.
func TestARestartGoesBehindItsPredecessor(t *testing.T) {
	l := newLab(t)
	a := l.add("a", 1)
	l.add("b", 2)
	c := l.add("c", 3)
	l.until("start", 30, l.agree)
	for round := range 3 {
		l.remove(c)
		if round == 1 { // known to be dead before it is back
			l.until("death", 20, func() bool { return strings.HasPrefix(state(a, "c"), "dead") })
		}
		was := a.find("c").inc
		c = l.add("c", 3)
		l.until("return", 20, l.agree)
		if m := a.find("c"); m.birth != c.self.birth || m.inc <= was || a.births[c.self.birth] != m {
			t.Fatalf("a holds c for %+v", m)
		}
	}
	if c.conflict != nil || a.conflict != nil {
		t.Fatal("a restart was taken for a stranger")
	}
}

// At another address too, where the predecessor does not answer any more.
func TestARestartElsewhere(t *testing.T) {
	l := newLab(t)
	a, c := l.add("a", 1), l.add("c", 3)
	l.until("start", 30, l.agree)
	l.remove(c)
	c = l.add("c", 9)
	l.until("return", 30, l.agree)
	if m := a.find("c"); m.addr != addr(9) || c.conflict != nil {
		t.Fatalf("%+v, %+v", m, c.conflict)
	}
}

// Of two that run under one name the later one has to give way, at once where it joins, and after a cut as
// well; the elder one stays what it was to everybody.
func TestTwoOfOneName(t *testing.T) {
	for _, later := range []string{"joins", "was cut off", "is heard of through others only"} {
		l := newLab(t)
		a, b, c := l.add("a", 1), l.add("b", 2), l.add("c", 3)
		l.until("start", 30, l.agree)
		var d *View
		side := func(v *View) bool { return v == d }
		if later == "was cut off" {
			l.cut = func(x, y *View) bool { return side(x) != side(y) }
		}
		d = l.add("c", 9)
		if later == "is heard of through others only" {
			l.cut = func(x, y *View) bool { return x == d && y == c || x == c && y == d }
		}
		if later == "was cut off" {
			l.until("d alone", 30, func() bool { return !d.joining })
			l.run(10)
			l.cut = func(_, _ *View) bool { return false }
		}
		l.until("verdict: "+later, 60, func() bool { return d.conflict != nil && d.conflict.Refused })
		if c.conflict == nil || c.conflict.Refused {
			t.Fatalf("%s: the elder one: %+v", later, c.conflict)
		}
		l.remove(d) // its process ends
		l.until("calm: "+later, 60, l.agree)
		for _, v := range []*View{a, b} {
			if m := v.find("c"); m.birth != c.self.birth || m.addr != addr(3) {
				t.Fatalf("%s: %s holds c for %+v", later, v.self.name, m)
			}
		}
	}
}

// Who leaves is no dead one, is not called on, and comes back as a new process.
func TestLeaving(t *testing.T) {
	l := newLab(t)
	a, b, c := l.add("a", 1), l.add("b", 2), l.add("c", 3)
	l.until("start", 30, l.agree)
	c.Leave(l.now)
	l.flush()
	if !c.LeaveKnown() {
		t.Fatal("nobody heard")
	}
	l.remove(c)
	l.run(30)
	for _, v := range []*View{a, b} {
		if s := state(v, "c"); s != "left1" {
			t.Fatalf("%s holds c for %s", v.self.name, s)
		}
	}
	calls := 0
	l.tap = func(_ *View, s Datagram) {
		if s.To == addr(3) {
			calls++
		}
	}
	l.run(20)
	if calls > 0 {
		t.Fatalf("%d calls on one that has left", calls)
	}
	l.add("c", 3)
	l.until("return", 30, l.agree)
}

// What has been forgotten does not come back: not by all the datagrams that it ever sent, nor by a member's
// that were late, nor by one that was stopped while the others forgot.
func TestTheForgottenStayAway(t *testing.T) {
	l := newLab(t)
	a, b, c := l.add("a", 1), l.add("b", 2), l.add("c", 3)
	var tape []Datagram
	l.tap = func(_ *View, s Datagram) { tape = append(tape, s) }
	l.until("start", 30, l.agree)
	l.run(5)
	d := l.add("d", 4)
	l.until("d", 30, l.agree)
	l.remove(d) // stopped
	l.remove(c)
	l.tap = func(*View, Datagram) {}
	l.until("death", 40, func() bool { return state(a, "c") == "dead1" && state(b, "c") == "dead1" })
	l.run(ForgetDead + 10)
	if s := state(a, "c") + state(b, "c"); s != "unknownunknown" {
		t.Fatalf("not forgotten: %s", s)
	}
	back := func(when string) {
		t.Helper()
		for _, v := range l.order {
			if s := state(v, "c"); s != "unknown" {
				t.Fatalf("%s: %s holds c for %s", when, v.self.name, s)
			}
		}
	}
	for _, s := range tape {
		if v := l.views[s.To]; v != nil {
			v.Receive(l.now, s.Data)
			l.flush()
		}
	}
	back("after the replay")
	l.put(d) // thaws, and knows c alive
	l.until("d back", 60, func() bool { return !d.joining && a.digest == d.digest && b.digest == d.digest })
	back("after the thaw")
	if f := d.Stats(); f.Rejoins != 1 || a.Stats().Dropped[Replayed]+a.Stats().Dropped[Unknown] == 0 {
		t.Fatalf("%+v, %+v", f, a.Stats())
	}
}

// A member that hears nobody is not believed by anybody: none is dead but for itself.
func TestTheDeafAreNotBelieved(t *testing.T) {
	l := newLab(t)
	var all []*View
	for i := range 6 {
		all = append(all, l.add(string(rune('a'+i)), i+1))
	}
	l.until("start", 40, l.agree)
	deaf := all[5]
	l.cut = func(_, to *View) bool { return to == deaf }
	died := false
	for range 60 {
		l.run(1)
		for _, v := range all[:5] {
			for _, w := range all[:5] {
				died = died || v != w && strings.HasPrefix(state(v, w.self.name), "dead")
			}
		}
	}
	if died || !strings.HasPrefix(state(all[0], "f"), "dead") {
		t.Fatalf("a sound member died: %v; the deaf one is %s", died, state(all[0], "f"))
	}
	l.cut = func(_, _ *View) bool { return false }
	l.until("return", 30, l.agree)
}

// The roster and its size bound what is kept, whatever arrives.
func TestTheRosterBoundsTheView(t *testing.T) {
	l := newLab(t)
	names := func(c *Config) { c.Roster, c.Most = []string{"a", "b"}, 0 }
	a := l.add("a", 1, names)
	l.add("b", 2, names)
	x := l.add("x", 3, func(c *Config) { c.Roster, c.Most = []string{"a", "b", "x"}, 0 })
	l.run(30)
	if state(a, "x") != "unknown" || a.Stats().Dropped[Stranger] == 0 || x.Stats().TurnedDown == 0 {
		t.Fatalf("%s, %+v, %+v", state(a, "x"), a.Stats(), x.Stats())
	}
	if state(a, "b") != "alive1" || state(x, "b") == "" {
		t.Fatal("the roster's own are not there")
	}

	l = newLab(t)
	a = l.add("a", 1, func(c *Config) { c.Most = 4 })
	for i := range 12 {
		v := l.add(fmt.Sprint("p", i), 10+i)
		l.run(6)
		if n := len(a.list) + 1; n > 4 {
			t.Fatalf("%d members, where 4 have room", n)
		}
		l.remove(v)
		l.run(20)
	}
	if state(a, "p11") == "unknown" {
		t.Fatal("the oldest dead ones did not make way")
	}
}

// A process that takes over goes on as the same member; if it fails, the old one goes on.
func TestTakingOver(t *testing.T) {
	l := newLab(t)
	a, b, c := l.add("a", 1), l.add("b", 2), l.add("c", 3)
	l.until("start", 30, l.agree)
	l.run(20)
	inc, birth := b.self.inc, b.self.birth
	next, err := Resume(b.cfg, b.Snapshot(), l.now)
	if err != nil {
		t.Fatal(err)
	}
	l.remove(b)
	l.put(next)
	for range 30 {
		l.run(1)
		for _, v := range []*View{a, c} {
			if m := v.find("b"); m.state != Alive || m.suspect || m.birth != birth || m.inc != inc {
				t.Fatalf("%s noticed: %+v", v.self.name, m)
			}
		}
	}
	if !l.agree() {
		t.Fatal("no one view")
	}
	l.remove(next)
	l.put(b)
	b.Again(l.now)
	l.until("the old one is back", 30, l.agree)
	if a.find("b").birth != birth {
		t.Fatal("taken for another process")
	}
}

// Whatever arrives: no panic, and no more kept than there is room for.
func FuzzReceive(f *testing.F) {
	l := newLab(f)
	l.add("a", 1)
	l.add("b", 2)
	l.tap = func(_ *View, s Datagram) { f.Add(s.Data) }
	l.until("start", 30, l.agree)
	c := l.add("c", 3)
	l.run(3)
	c.Leave(l.now)
	l.run(3)
	f.Fuzz(func(t *testing.T, data []byte) {
		l := newLab(t)
		v := l.add("a", 1, func(c *Config) { c.Most = 4 })
		l.add("b", 2)
		l.until("start", 30, l.agree)
		for range 2 {
			v.Receive(l.now, data)
			sends, _, _ := v.TakeOutput()
			for _, s := range sends {
				if len(s.Data) > MaxPlain {
					t.Fatalf("%d bytes", len(s.Data))
				}
			}
		}
		if len(v.list)+1 > 4 {
			t.Fatalf("%d members", len(v.list)+1)
		}
		l.run(2)
	})
}

// What is written is read back the same, and cut anywhere it is turned down whole or read as less.
func TestEntriesReadBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := entry{record: record{birth: rapid.Uint64Range(1, 1<<63).Draw(t, "birth"),
			inc: rapid.Uint32Range(0, incMost).Draw(t, "inc")}, what: rapid.ByteMax(isVote).Draw(t, "what")}
		switch e.what {
		case isVote:
			e.votes = []uint32{rapid.Uint32().Draw(t, "vote")}
		case isDead:
			e.state, e.age = Dead, Micros(rapid.Uint16().Draw(t, "age"))
			e.votes = rapid.SliceOfN(rapid.Uint32(), 0, votesMost).Draw(t, "votes")
		case isLeft:
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
			t.Fatalf("%d bytes, said to be %d", len(b), e.size())
		}
		r := read(b)
		got := r.entry()
		if r.Bad || len(r.Rest) > 0 || fmt.Sprintf("%+v", got) != fmt.Sprintf("%+v", e) {
			t.Fatalf("%+v became %+v", e, got)
		}
		r = read(b[:rapid.IntRange(0, len(b)-1).Draw(t, "cut")])
		if list := r.entries(); len(list) > 0 {
			t.Fatalf("a cut entry was read: %+v", list)
		}
	})
}

// A number is taken once, in whatever order and however often it comes, unless it is too old to tell.
func TestWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var w window
		taken, top := map[uint64]bool{}, uint64(0)
		for _, n := range rapid.SliceOf(rapid.Uint64Range(1, 300)).Draw(t, "numbers") {
			want := !taken[n] && (n > top || top-n < 64)
			if got := w.fresh(n); got != want {
				t.Fatalf("%d after %d: %v", n, top, got)
			}
			taken[n] = taken[n] || want
			top = max(top, n)
		}
	})
}

// The same inputs and seed give the same datagrams to the byte.
func TestARunReplays(t *testing.T) {
	run := func() (log string) {
		l := newLab(t)
		l.tap = func(_ *View, s Datagram) { log += fmt.Sprintf("%v %x\n", s.To, s.Data) }
		for i := range 5 {
			l.add(fmt.Sprint("m", i), i+1)
		}
		l.run(20)
		l.remove(l.order[4])
		l.run(20)
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
		v.set(record{name: fmt.Sprintf("m%04d", i), zone: "z", addr: addr(i + 1), birth: uint64(i + 2), inc: 1}, 0)
	}
	return v
}

// BenchmarkProbeRound is one period of a member of 300: its probe and what keeps house.
func BenchmarkProbeRound(b *testing.B) {
	v := fullView(b, 300)
	now := Micros(0)
	b.ReportAllocs()
	for b.Loop() {
		for range slots {
			now += testPeriod / slots
			v.Tick(now)
		}
		for i := range v.probes { // all are answered
			if m := v.births[v.probes[i].birth]; m != nil {
				v.evidence(m, v.probes[i])
			}
		}
		v.probes = v.probes[:0]
		v.TakeOutput()
	}
}

// BenchmarkMerge is one datagram's worth of entries taken in by a member of 300.
func BenchmarkMerge(b *testing.B) {
	v := fullView(b, 300)
	var list []entry
	for i := range 14 {
		e := v.entryOf(v.list[i*20], false)
		list = append(list, e)
	}
	b.ReportAllocs()
	for b.Loop() {
		for i := range list {
			list[i].inc++
			v.merge(list[i])
		}
		v.news = news{}
	}
}
