package rehearse

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lapislever/balance"
	"lapislever/internal/core"
	"lapislever/internal/overload"
	"lapislever/internal/platform"
	"lapislever/internal/rig"
)

// Virtual time: the coordinators' cores with their modules and guards, emulated nodes, clients and links, in
// one goroutine. A scenario with the same seed gives the same run to the byte. Not in it are sockets, the
// view of the fleet (who is gone or cut off is known after a stated time), limits and evidence.

const (
	hop       = 300 * time.Microsecond // of a message, on the mean
	knownIn   = 12                     // periods after which a death or a cut is known
	listAfter = 100 * time.Millisecond // of a start
	mostSteps = 200_000_000
)

// moment is something that happens.
type moment struct {
	at  balance.Micros
	seq int
	do  func()
}

type moments []moment

func (m moments) Len() int { return len(m) }
func (m moments) Less(i, j int) bool {
	return m[i].at < m[j].at || m[i].at == m[j].at && m[i].seq < m[j].seq
}
func (m moments) Swap(i, j int) { m[i], m[j] = m[j], m[i] }
func (m *moments) Push(x any)   { *m = append(*m, x.(moment)) }
func (m *moments) Pop() any {
	old := *m
	x := old[len(old)-1]
	old[len(old)-1] = moment{}
	*m = old[:len(old)-1]
	return x
}

// world is a virtual run.
type world struct {
	s       *Scenario
	rng     *rand.Rand
	begin   time.Time
	now     balance.Micros
	ends    balance.Micros
	heap    moments
	seq     int
	conf    *platform.Config
	ranks   []int
	members []*vmember
	nodes   map[balance.ReplicaID]*vnode
	order   []*vnode
	cuts    [][2]int // pairs of members that do not hear one another
	seconds []Second
	hist    *hdrhistogram.Histogram
	left    int // requests that have no end yet
	bytes   int64
}

// vmember is a coordinator.
type vmember struct {
	w     *world
	name  string
	index int
	core  *core.Simulated
	guard *overload.Controller
	life  int // which process it is
	up    bool
	due   balance.Micros // of the Step that is planned; 0: none
	seen  []bool         // who is alive, as it sees it
	open  map[*vask]int  // tries that wait here
}

// vnode is a data node: see ledger.
type vnode struct {
	w       *world
	id      balance.ReplicaID
	rng     *rand.Rand
	mode    string
	by      float64
	busy    int
	waiting []func()
}

func (w *world) at(when balance.Micros, do func()) {
	w.seq++
	heap.Push(&w.heap, moment{max(when, w.now), w.seq, do})
}

func (w *world) after(d time.Duration, do func()) { w.at(w.now+d.Microseconds(), do) }

// way is how long one message takes.
func (w *world) way() time.Duration { return time.Duration((0.5 + w.rng.Float64()) * float64(hop)) }

func (w *world) time(at balance.Micros) time.Time {
	return w.begin.Add(time.Duration(at-w.begin.UnixMicro()) * time.Microsecond)
}

func (w *world) book(at balance.Micros, do func(*Second)) {
	if i := int((at - w.begin.UnixMicro()) / 1_000_000); i >= 0 && i < len(w.seconds) {
		do(&w.seconds[i])
	}
}

// PlayVirtual plays a scenario once on virtual time.
func PlayVirtual(s *Scenario, seed uint64, label string) (*Run, error) {
	w := &world{s: s, rng: rand.New(rand.NewPCG(seed, 21)), begin: time.Unix(1_700_000_000, 0),
		nodes: map[balance.ReplicaID]*vnode{}, seconds: make([]Second, int(s.For)+1),
		hist: hdrhistogram.New(1, 60_000_000, 3)}
	w.now = w.begin.UnixMicro()
	w.ends = w.now + int64(s.For*1e6)
	var settings map[string]any
	text := strings.NewReplacer(worthEdit()...).Replace(rig.SettingsJSON)
	if err := json.Unmarshal([]byte(text), &settings); err != nil {
		return nil, err
	}
	settings["peersTotal"] = s.Members
	var err error
	if w.conf, err = platform.Standalone(settings); err != nil {
		return nil, err
	}
	var worth []float64
	for _, c := range w.conf.Module.Classes {
		worth = append(worth, c.Worth)
	}
	w.ranks = overload.RankByWorth(worth)
	for i := range s.Nodes {
		n := &vnode{w: w, id: core.ServerID(fmt.Sprint("n", i)), by: 1,
			rng: rand.New(rand.NewPCG(seed*1009+uint64(i), 5))}
		w.nodes[n.id] = n
		w.order = append(w.order, n)
	}
	for i := range s.Members {
		m := &vmember{w: w, index: i, name: fmt.Sprintf("m%02d", i), seen: make([]bool, s.Members)}
		w.members = append(w.members, m)
	}
	for _, m := range w.members {
		for i := range m.seen {
			m.seen[i] = true
		}
		if err := m.start(0); err != nil {
			return nil, err
		}
	}
	for _, e := range s.Events {
		if e.Do == "stop" || e.Do == "cont" {
			return nil, fmt.Errorf("%s is not played on virtual time", e.Do)
		}
		w.at(w.begin.UnixMicro()+int64(e.At*1e6), func() { w.do(e) })
	}
	w.load(seed)
	steps := 0
	for len(w.heap) > 0 {
		next := heap.Pop(&w.heap).(moment)
		if w.now = next.at; w.now > w.ends && w.left == 0 {
			break
		}
		next.do()
		if steps++; steps > mostSteps {
			return nil, fmt.Errorf("over %d events", mostSteps)
		}
	}
	run := s.result(seed, label, w.seconds, w.hist)
	run.Virtual = true
	run.Figures["fleet_bytes"] = float64(w.bytes) / s.For / float64(s.Members)
	return run, nil
}

// worthEdit has an exchange-post be worth more.
func worthEdit() []string {
	return []string{`"windowUs":3000000,"worth":1`, fmt.Sprintf(`"windowUs":3000000,"worth":%d`, postWorth)}
}

// start starts a process of the member; it has the list after a while.
func (m *vmember) start(list time.Duration) error {
	w := m.w
	m.life++
	life := m.life
	m.up, m.due, m.open = true, 0, map[*vask]int{}
	settings := w.conf.Module
	settings.Number, settings.Zone = m.index, m.index%2
	cfg := core.Config{Settings: settings, Seed: uint64(m.index)*7919 + uint64(life),
		Backends: []core.Backend{m}, Log: slog.New(slog.DiscardHandler)}
	if settings.CanTell = settings.CanTell && !w.s.Alone; settings.CanTell {
		cfg.Peers = m
	}
	cfg.Settings = settings
	if !w.s.Alone && !strings.Contains(w.s.Fleet, "off = true") {
		m.guard = overload.NewController(m.name, period.Microseconds())
		cfg.Admission = gate{m}
	}
	var err error
	if m.core, err = core.NewSimulated(cfg, w.time(w.now)); err != nil {
		return err
	}
	w.after(list, func() {
		if m.life != life {
			return
		}
		var all []balance.Replica
		for i, n := range w.order {
			all = append(all, balance.Replica{ID: n.id, Zone: i / 2 % 2, Cell: i % 2, State: balance.Ready, Size: 1})
		}
		m.take(core.ListUpdate{Mode: balance.Full, Replicas: all})
	})
	if m.guard != nil {
		m.tick(life)
	}
	return nil
}

// take hands an event in, and plans the Step that it needs.
func (m *vmember) take(e core.Event) {
	if m.up {
		m.core.Handle(e)
		m.plan()
	}
}

func (m *vmember) plan() {
	at := m.core.NextStep(m.w.now)
	if at == 0 || m.due > 0 && m.due <= at {
		return
	}
	m.due = at
	life := m.life
	m.w.at(at, func() {
		if m.life != life || !m.up || m.due != at {
			return
		}
		m.due = 0
		m.core.Step(m.w.now)
		m.plan()
	})
}

// tick is a period of the member's guard.
func (m *vmember) tick(life int) {
	w := m.w
	if m.life != life || !m.up || w.now > w.ends {
		return
	}
	var others []string
	for i, alive := range m.seen {
		if alive && i != m.index {
			others = append(others, w.members[i].name)
		}
	}
	m.post(m.guard.Tick(w.now, others))
	w.book(w.now, func(x *Second) { x.LevelMax = max(x.LevelMax, m.guard.Level()) })
	w.after(period, func() { m.tick(life) })
}

// post sends a guard's messages.
func (m *vmember) post(list []overload.Message) {
	for _, s := range list {
		n, _ := strconv.Atoi(s.To[1:])
		m.w.bytes += int64(len(s.Data))
		m.w.reach(m.index, n, func(to *vmember) {
			if to.guard == nil {
				return
			}
			if out, ok := to.guard.Receive(m.w.now, m.name, s.Data); ok {
				to.post(out)
			}
		})
	}
}

// reach does something at another member after a message's way, if the two are not cut off from each other.
func (w *world) reach(from, to int, do func(*vmember)) {
	if slices.Contains(w.cuts, [2]int{from, to}) {
		return
	}
	w.after(w.way(), func() {
		if m := w.members[to]; m.up {
			do(m)
		}
	})
}

// Tell takes the module's messages to peers: core.Peers.
func (m *vmember) Tell(to uint32, text string) {
	for i := range m.w.members {
		if i != m.index && (to == balance.AllPeers || int(to)%len(m.w.members) == i) {
			m.w.reach(m.index, i, func(o *vmember) {
				o.take(core.PeerMessage{From: uint32(m.index), Data: []byte(text)})
			})
		}
	}
}

// Send takes attempts to a node: core.Backend.
func (m *vmember) Send(to balance.ReplicaID, call []*core.Attempt) bool {
	n := m.w.nodes[to]
	for _, a := range call {
		m.w.after(m.w.way(), func() { n.arrive(m, m.life, a) })
	}
	return true
}

// Cancel gives an attempt up; the node goes on with it.
func (m *vmember) Cancel(*core.Attempt) bool { return false }

// Probe looks at a node.
func (m *vmember) Probe(to balance.ReplicaID) bool {
	n, life, begun := m.w.nodes[to], m.life, m.w.now
	m.w.after(m.w.way()+m.w.way(), func() {
		if m.life == life && n.mode != "deaf" {
			m.take(core.ProbeDone{Replica: to, Outcome: balance.OK,
				Elapsed: time.Duration(m.w.now-begun) * time.Microsecond, Report: n.report()})
		}
	})
	return true
}

// CloseIdle and Stop have nothing to do here.
func (m *vmember) CloseIdle(balance.ReplicaID) {}

// Stop: nothing is queued on the way.
func (m *vmember) CancelQueued(balance.ReplicaID) []*core.Attempt { return nil }

// Admit, Ended, Send and Over are the gate.
func (m *vmember) Admit(q *core.Query) (bool, time.Duration, string) {
	ok, after := m.guard.Admit(overload.Priority(m.w.ranks[q.Class], q.Key), m.w.rng.Uint64(), q.Repeat)
	return ok, time.Duration(after) * time.Microsecond, "the fleet is overloaded"
}

// gate is the rest of it: a core's backend has a Send of its own.
type gate struct{ *vmember }

// QueryEnded books how a query ended.
func (m *vmember) QueryEnded(_ *core.Query, e core.QueryOutcome) {
	m.guard.Finished(e == core.Answered)
}

// AllowSend asks whether an attempt may be sent.
func (g gate) AllowSend(a *core.Attempt) (bool, balance.Outcome) {
	return g.guard.AllowSend(a.IsFirst()), balance.NotSent
}

// AttemptEnded has nothing to do.
func (g gate) AttemptEnded(*core.Attempt) {}

func (n *vnode) report() []float32 { return []float32{0, float32(len(n.waiting))} }

// arrive is a part that reaches the node.
func (n *vnode) arrive(from *vmember, life int, a *core.Attempt) {
	w := n.w
	w.book(w.now, func(x *Second) { x.Parts++ })
	end := func(o balance.Outcome, after time.Duration) {
		report := n.report()
		w.after(after+w.way(), func() {
			if from.life == life {
				from.take(core.AttemptDone{Attempt: a, Outcome: o, Report: report, Value: core.Value{Body: []byte("v")}})
			}
		})
	}
	switch {
	case n.mode == "fail":
		end(balance.Error, 0)
		return
	case n.mode == "deaf":
		return
	case n.busy+len(n.waiting) >= w.s.Node.Slots+w.s.Node.Queue:
		w.book(w.now, func(x *Second) { x.Full++ })
		end(balance.Busy, 0)
		return
	}
	work := func() {
		n.busy++
		ms := w.s.Node.WorkMS * n.by
		if !w.s.Node.Fixed {
			ms *= 0.5 + 0.5*n.rng.ExpFloat64()
		}
		w.after(time.Duration(ms*float64(time.Millisecond)), func() {
			n.busy--
			end(balance.OK, 0)
			if len(n.waiting) > 0 {
				next := n.waiting[0]
				n.waiting = n.waiting[1:]
				next()
			}
		})
	}
	if n.busy < w.s.Node.Slots {
		work()
	} else {
		n.waiting = append(n.waiting, work)
	}
}

// do carries out an event of the scenario.
func (w *world) do(e Event) {
	index := func(who string) (n int) {
		n, _ = strconv.Atoi(strings.TrimLeft(who, "mn"))
		return n
	}
	known := func(do func()) { w.after(knownIn*period, do) }
	switch {
	case onNodes(e.Do):
		for _, who := range e.Who {
			n := w.order[index(who)]
			if n.mode, n.by = e.Do, 1; e.Do == "slow" {
				n.by = e.By
			}
		}
	case e.Do == "cut":
		for _, a := range e.Who {
			for _, b := range e.From {
				x, y := index(a), index(b)
				w.cuts = append(w.cuts, [2]int{x, y}, [2]int{y, x})
				known(func() { w.see(x, y); w.see(y, x) })
			}
		}
	case e.Do == "heal":
		was := w.cuts
		w.cuts = nil
		known(func() {
			for _, c := range was {
				w.see(c[0], c[1])
			}
		})
	default:
		for _, who := range e.Who {
			m := w.members[index(who)]
			if e.Do == "kill" {
				m.kill()
			} else if !m.up {
				_ = m.start(listAfter)
			}
			known(func() {
				for i := range w.members {
					w.see(i, m.index)
				}
			})
		}
	}
}

// see has a member know what is the case with another.
func (w *world) see(who, whom int) {
	w.members[who].seen[whom] = w.members[whom].up && !slices.Contains(w.cuts, [2]int{who, whom})
}

// kill ends the process: what waits there is cut off.
func (m *vmember) kill() {
	m.up = false
	m.life++
	var waiting []*vask
	for a := range m.open {
		waiting = append(waiting, a)
	}
	slices.SortFunc(waiting, func(a, b *vask) int { return strings.Compare(a.id, b.id) })
	for _, a := range waiting {
		a.end(0, 0)
	}
	m.open = nil
}

// load plans all first tries.
func (w *world) load(seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 77))
	number := 0
	var next func(at float64)
	next = func(at float64) {
		rate := w.s.Load.at(at)
		if rate <= 0 {
			at += 0.01
		} else {
			at += rng.ExpFloat64() / rate
		}
		if at >= w.s.For {
			return
		}
		post, member := rng.Float64() < w.s.Load.Posts, rng.Uint64()
		w.at(w.begin.UnixMicro()+int64(at*1e6), func() {
			if rate > 0 {
				number++
				a := &vask{w: w, id: fmt.Sprintf("q%07d", number), due: w.now, member: member, class: 0, worth: 1}
				if post {
					a.class, a.worth = 1, postWorth
				}
				w.left++
				w.book(a.due, func(x *Second) { x.First++; x.Asked += a.worth })
				a.try()
			}
			next(at)
		})
	}
	next(0)
}

// vask is a client with one request.
type vask struct {
	w      *world
	id     string
	class  int
	worth  float64
	due    balance.Micros
	begun  balance.Micros
	member uint64
	tries  int
	number int // of the try that waits; answers to others come too late
}

func (a *vask) try() {
	w := a.w
	m := w.members[(a.member+uint64(a.tries))%uint64(len(w.members))]
	a.tries++
	a.number++
	a.begun = w.now
	w.book(a.due, func(x *Second) { x.Tries++ })
	number := a.number
	if !m.up {
		w.after(w.way(), func() { a.end(0, number) })
		return
	}
	life := m.life
	w.after(w.way(), func() {
		if m.life != life || !m.up {
			a.end(0, number)
			return
		}
		m.open[a] = number
		rules := &w.conf.Module.Classes[a.class]
		m.core.Submit(&core.Query{Name: a.id, Class: a.class, Key: "k" + a.id, Repeat: a.tries > 1, Backend: m,
			Deadline: w.time(w.now + rules.Deadline), Client: vclient{a, m, number},
			Parts: []core.PartSpec{{Shard: 0, Weight: 0.5}, {Shard: 1, Weight: 0.5}}})
		m.plan()
	})
	w.after(deadline+time.Second, func() { a.end(0, number) })
}

// vclient hears the answer of one try.
type vclient struct {
	a      *vask
	m      *vmember
	number int
}

// Final is the final answer: core.Client.
func (c vclient) Final(f core.FinalAnswer) {
	status := 502
	switch f.Outcome {
	case core.Answered:
		status = 200
	case core.Refused:
		status = 503
	}
	if c.m.open[c.a] == c.number {
		delete(c.m.open, c.a)
	}
	c.a.w.after(c.a.w.way(), func() { c.a.ended(status, f.RetryAfter, c.number) })
}

func (a *vask) end(status, number int) { a.ended(status, 0, number) }

// ended is the end of a try; number 0: whichever waits.
func (a *vask) ended(status int, after time.Duration, number int) {
	if number == 0 {
		number = a.number
	}
	if number != a.number {
		return
	}
	a.number++ // nothing that comes for this try counts any more
	w := a.w
	if status == 200 {
		w.left--
		_ = w.hist.RecordValue(max(1, w.now-a.due))
		w.book(a.due, func(x *Second) {
			if w.now-a.begun <= aim.Microseconds() {
				x.InTime++
				x.Worth += a.worth
			} else {
				x.Late++
			}
		})
		return
	}
	if a.tries > w.s.Load.Retries {
		w.left--
		w.book(a.due, func(x *Second) {
			if status == 503 {
				x.Refused++
			} else {
				x.Lost++
			}
		})
		return
	}
	if !w.s.Load.Heed || after <= 0 {
		after = impatient
	}
	w.after(after, a.try)
}
