// Package fleetsim runs many members' views on virtual time in one goroutine: what one machine is too small
// for with processes. The decisions are those of internal/membership, unchanged; only links, clocks and
// faults are made here. The same seed gives the same run to the byte. It is never linked into serving.
package fleetsim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"

	"lapislever/internal/membership"
)

// Micros is virtual time.
type Micros = membership.Micros

// Period is the simulated fleet's period.
const Period Micros = 200_000

// overhead is what the seal takes of a datagram: counted, as it goes over the wire.
const overhead = 30

// Link is what happens to datagrams on one directed link.
type Link struct {
	Loss, Twice float64 // shares that are lost, and that come twice
	Delay       Micros  // at least
	Jitter      Micros  // and up to so much more
	Cut         bool
}

// Config is what a fleet is made of.
type Config struct {
	Members int
	Seed    uint64
	Link    Link
	Join    int // of the first so many all others know the addresses
	Ablate  membership.Ablation
	Drift   float64 // clocks run fast or slow by up to this share
	Warm    bool    // all know one another from the start
	// Slow are members that take so long over each datagram and act as late.
	Slow      func(i int) bool
	SlowDelay Micros
}

// node is one simulated process.
type node struct {
	view    *membership.View
	cfg     membership.Config
	addr    netip.AddrPort
	up      bool
	stopped bool
	held    []event // while stopped
	wake    Micros  // when its tick is queued for
	gen     int     // of the process: what belongs to an earlier one is void
	skew    float64
	slow    Micros
}

type event struct {
	at   Micros
	seq  uint64
	to   int
	gen  int
	data []byte // nil: a tick
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	o := *e
	x := o[len(o)-1]
	*e = o[:len(o)-1]
	return x
}

// Seen is a change in one member's view.
type Seen struct {
	At Micros
	By int
	membership.Change
}

// Fleet is a simulated fleet.
type Fleet struct {
	cfg   Config
	rng   *rand.Rand
	now   Micros
	seq   uint64
	queue events
	nodes []*node
	index map[netip.AddrPort]int
	links map[[2]int]Link
	sides func(from, to int) bool // whether a datagram may pass
	Bytes int64                   // over all links, sealed
	Seen  func(Seen)              // hears every change
}

// New starts a fleet; all members start within one period.
func New(cfg Config) (*Fleet, error) {
	f := &Fleet{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 7)), index: map[netip.AddrPort]int{},
		links: map[[2]int]Link{}, Seen: func(Seen) {}, sides: func(int, int) bool { return true }}
	for i := range cfg.Members {
		f.add(i)
	}
	for i := range f.nodes {
		if err := f.Start(i); err != nil {
			return nil, err
		}
	}
	if cfg.Warm {
		return f, f.acquaint()
	}
	return f, nil
}

// acquaint has all members go on as if they had long known one another.
func (f *Fleet) acquaint() error {
	for _, n := range f.nodes {
		s := membership.Snapshot{Birth: n.view.Self().Birth, Incarnation: 1, Joined: true}
		for _, o := range f.nodes {
			if x := o.view.Self(); o != n {
				s.Members = append(s.Members, membership.MemberSnapshot{Name: x.Name, Zone: x.Zone, Addr: x.Addr,
					Birth: x.Birth, Incarnation: 1, State: membership.Alive, Stamp: 1})
			}
		}
		cfg := n.cfg
		cfg.Seed++
		v, err := membership.Resume(cfg, s, f.clock(n, f.now))
		if err != nil {
			return err
		}
		n.view = v
	}
	return nil
}

func (f *Fleet) add(i int) {
	n := &node{addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1 + byte(i>>14), byte(i >> 7 & 127),
		1 + byte(i&127)}), 7946)}
	n.skew = 1 + f.cfg.Drift*(2*f.rng.Float64()-1)
	if f.cfg.Slow != nil && f.cfg.Slow(i) {
		n.slow = f.cfg.SlowDelay
	}
	f.nodes = append(f.nodes, n)
	f.index[n.addr] = i
}

// Grow adds members and starts them.
func (f *Fleet) Grow(n int) error {
	for range n {
		f.add(len(f.nodes))
		if err := f.Start(len(f.nodes) - 1); err != nil {
			return err
		}
	}
	return nil
}

// Name is a member's name.
func Name(i int) string { return fmt.Sprintf("m%04d", i) }

// Start starts a member that is down, as a new process that remembers nothing.
func (f *Fleet) Start(i int) error {
	n := f.nodes[i]
	var join []netip.AddrPort
	for j := range max(1, f.cfg.Join) {
		join = append(join, f.nodes[min(j, len(f.nodes)-1)].addr)
	}
	zone := fmt.Sprintf("z%d", i%3)
	n.cfg = membership.Config{Name: Name(i), Zone: zone, Addr: n.addr,
		Birth: f.rng.Uint64() | 1, Seed: f.rng.Uint64(), Period: Period, Ablate: f.cfg.Ablate,
		Settings: membership.Settings{Join: join, Most: 4 * max(f.cfg.Members, len(f.nodes)), Stamp: 1}}
	v, err := membership.New(n.cfg, f.clock(n, f.now))
	if err != nil {
		return err
	}
	n.view, n.up, n.stopped, n.held = v, true, false, nil
	n.gen++
	f.schedule(i, f.now+f.rng.Int64N(Period))
	return nil
}

// clock is a member's own time.
func (f *Fleet) clock(n *node, t Micros) Micros { return 1_000_000 + Micros(float64(t)*n.skew) }

func (f *Fleet) schedule(i int, at Micros) {
	f.nodes[i].wake = at
	f.push(event{at: at, to: i, gen: f.nodes[i].gen})
}

func (f *Fleet) push(e event) {
	f.seq++
	e.seq = f.seq
	heap.Push(&f.queue, e)
}

// Now is the virtual time.
func (f *Fleet) Now() Micros { return f.now }

// Kill ends a member without a word.
func (f *Fleet) Kill(i int) { f.nodes[i].up = false; f.nodes[i].gen++ }

// Stop and Thaw are SIGSTOP and SIGCONT: what comes meanwhile waits, up to a bound.
func (f *Fleet) Stop(i int) { f.nodes[i].stopped = true }

// Thaw lets a stopped member go on.
func (f *Fleet) Thaw(i int) {
	n := f.nodes[i]
	n.stopped = false
	for _, e := range n.held {
		e.at = f.now
		f.push(e)
	}
	n.held = nil
	f.schedule(i, f.now)
}

// Leave has a member say that it goes; Kill it afterwards.
func (f *Fleet) Leave(i int) {
	n := f.nodes[i]
	n.view.Leave(f.clock(n, f.now))
	f.collect(i)
}

// SetLink makes one directed link another one.
func (f *Fleet) SetLink(from, to int, l Link) { f.links[[2]int{from, to}] = l }

// Cut lets only those datagrams pass for which pass says yes.
func (f *Fleet) Cut(pass func(from, to int) bool) { f.sides = pass }

// Heal lets all pass.
func (f *Fleet) Heal() { f.sides = func(int, int) bool { return true } }

// SetLoss changes what all links lose.
func (f *Fleet) SetLoss(p float64) { f.cfg.Link.Loss = p }

// Up tells that a member runs.
func (f *Fleet) Up(i int) bool { return f.nodes[i].up && !f.nodes[i].stopped }

// View is a member's view.
func (f *Fleet) View(i int) *membership.View { return f.nodes[i].view }

// Len is how many members there are, running or not.
func (f *Fleet) Len() int { return len(f.nodes) }

// Run goes on for some time.
func (f *Fleet) Run(d Micros) { f.Until(d, nil) }

// Until goes on until something holds, looked at each tenth of a period, or for the time given. It returns
// how long that took and whether it held.
func (f *Fleet) Until(d Micros, holds func() bool) (Micros, bool) {
	begun, end, look := f.now, f.now+d, f.now
	for {
		if holds != nil && f.now >= look {
			if holds() {
				return f.now - begun, true
			}
			look = f.now + Period/10
		}
		if len(f.queue) == 0 || f.queue[0].at > end {
			f.now = end
			return d, holds != nil && holds()
		}
		e := heap.Pop(&f.queue).(event)
		f.now = max(f.now, e.at)
		f.deliver(e)
	}
}

func (f *Fleet) deliver(e event) {
	n := f.nodes[e.to]
	if !n.up || e.gen != n.gen && e.data == nil {
		return
	}
	if n.stopped {
		if e.data != nil && len(n.held) < 512 {
			n.held = append(n.held, e)
		}
		return
	}
	if e.data == nil {
		if e.at != n.wake {
			return
		}
		n.view.Tick(f.clock(n, f.now))
		next := Micros(float64(n.view.NextTick()-1_000_000)/n.skew) + 1
		f.schedule(e.to, max(f.now+1, next+n.slow))
	} else {
		n.view.Receive(f.clock(n, f.now), e.data)
	}
	f.collect(e.to)
}

// collect takes what a view has to say to where it belongs.
func (f *Fleet) collect(i int) {
	sends, changes, _ := f.nodes[i].view.TakeOutput()
	for _, c := range changes {
		f.Seen(Seen{At: f.now, By: i, Change: c})
	}
	for _, s := range sends {
		f.carry(i, s)
	}
}

func (f *Fleet) carry(from int, s membership.Datagram) {
	f.Bytes += int64(len(s.Data) + overhead)
	to, ok := f.index[s.To]
	if !ok {
		return
	}
	l, own := f.links[[2]int{from, to}]
	if !own {
		l = f.cfg.Link
	}
	times := 1
	if f.rng.Float64() < l.Twice {
		times = 2
	}
	for range times {
		lost := f.rng.Float64() < l.Loss
		wait := l.Delay + f.nodes[to].slow
		if l.Jitter > 0 {
			wait += f.rng.Int64N(l.Jitter)
		}
		if !lost && !l.Cut && f.sides(from, to) {
			f.push(event{at: f.now + wait, to: to, data: slices.Clone(s.Data)})
		}
	}
}

// Agree tells that all members that run, and for which among says yes, have one digest, and that it shows
// just those of them that run as alive.
func (f *Fleet) Agree(among func(i int) bool) bool {
	digest, first, up := uint64(0), true, 0
	for i := range f.nodes {
		if !f.Up(i) || !among(i) {
			continue
		}
		up++
		if d := f.nodes[i].view.Digest(); first {
			digest, first = d, false
		} else if d != digest {
			return false
		}
	}
	for i := range f.nodes {
		if f.Up(i) && among(i) {
			alive := 0
			for _, m := range f.nodes[i].view.Members() {
				if m.State == membership.Alive || m.State == membership.Suspect {
					alive++
				}
			}
			return alive == up
		}
	}
	return true
}

// All is every member.
func All(int) bool { return true }
