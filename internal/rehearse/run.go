package rehearse

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	lnet "lapislever/internal/net"
	"lapislever/internal/rig"
	"lapislever/internal/standin"
)

const (
	// aim and deadline are those of the rig's settings: what comes after the aim is worth less.
	aim      = 1500 * time.Millisecond
	deadline = 2 * time.Second
	// postWorth is what an answer to an exchange-post is worth; to a rate-check: 1.
	postWorth = 4
	// impatient is when a client comes again that does not heed when it is told to.
	impatient = 100 * time.Millisecond
	settle    = 30 * time.Second
	period    = 200 * time.Millisecond
	mostConns = 256 // idle ones of clients to a member
)

// Second is what happened in one second of a run. What belongs to a request is booked to the second in which
// it was first to be sent.
type Second struct {
	First    int64   `json:"first"`   // first tries
	Tries    int64   `json:"tries"`   // all tries
	InTime   int64   `json:"in_time"` // requests answered within the aim of a try
	Late     int64   `json:"late"`    // and after it
	Refused  int64   `json:"refused"` // requests whose last try was refused
	Lost     int64   `json:"lost"`    // or failed, or had no answer
	Worth    float64 `json:"worth"`   // of those in time
	Asked    float64 `json:"asked"`   // worth of all
	Parts    int64   `json:"parts"`   // that data nodes got, by the second in which they came
	Full     int64   `json:"full"`    // and turned away
	LevelMax int     `json:"level"`   // greatest level that a door showed
}

// Run is one play of a scenario.
type Run struct {
	Scenario string             `json:"scenario"`
	Label    string             `json:"label"`
	Seed     uint64             `json:"seed"`
	At       time.Time          `json:"at"`
	Seconds  []Second           `json:"seconds"`
	Latency  map[string]float64 `json:"latency_ms"` // quantiles of answered requests, from when they were due
	Capacity float64            `json:"capacity"`   // queries a second that the nodes can do
	Figures  map[string]float64 `json:"figures"`
	Virtual  bool               `json:"virtual,omitempty"`
}

// Player plays scenarios with one program.
type Player struct {
	Program  string // path; empty: it is built
	Progress func(second int, s Second)
}

type play struct {
	s       *Scenario
	rig     *rig.Rig
	nodes   []*ledger
	begun   time.Time
	mu      sync.Mutex // guards what follows
	seconds []Second
	hist    *hdrhistogram.Histogram
	idle    map[string]chan *lnet.Client
	out     sync.WaitGroup
}

// Play plays a scenario once.
func (pl *Player) Play(s *Scenario, seed uint64, label string) (*Run, error) {
	if s.Members > realMembers || s.Nodes > realNodes {
		return nil, fmt.Errorf("over %d members or %d nodes: on virtual time only", realMembers, realNodes)
	}
	dir, err := os.MkdirTemp("", "rehearse-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	p := &play{s: s, seconds: make([]Second, int(s.For)+1), idle: map[string]chan *lnet.Client{},
		hist: hdrhistogram.New(1, 60_000_000, 3)}
	for i := range s.Nodes {
		p.nodes = append(p.nodes, newLedger(s.Node, seed*1009+uint64(i)))
	}
	p.rig, err = rig.New(rig.Config{Dir: dir, Program: pl.Program, Members: s.Members, Nodes: s.Nodes,
		Seed: seed, Period: period, ExtraFleetConfig: s.Fleet, MaxMembers: s.Members, Standalone: s.Alone,
		SettingsEdits: worthEdit(),
		Answer: func(node int, q standin.Part) (string, string) {
			p.book(time.Now(), func(x *Second) { x.Parts++ })
			end := p.nodes[node].serve()
			if end == "B" {
				p.book(time.Now(), func(x *Second) { x.Full++ })
			}
			return end, "v:" + q.ID
		}})
	if err != nil {
		return nil, err
	}
	defer p.rig.Close()
	for _, m := range p.rig.Members() {
		p.idle[m.Name] = make(chan *lnet.Client, mostConns)
		if err := m.Start(); err != nil {
			return nil, err
		}
	}
	if err := p.ready(); err != nil {
		return nil, err
	}
	p.mu.Lock() // nodes may have had parts of probes already
	p.begun = time.Now()
	p.mu.Unlock()
	stop := make(chan struct{})
	var aside sync.WaitGroup
	aside.Add(2)
	go func() { defer aside.Done(); p.watch(stop, pl.Progress) }()
	go func() { defer aside.Done(); p.script(stop) }()
	p.load(seed)
	p.out.Wait()
	close(stop)
	aside.Wait()
	return s.result(seed, label, p.seconds, p.hist), nil
}

// result makes a run of what was counted.
func (s *Scenario) result(seed uint64, label string, seconds []Second, hist *hdrhistogram.Histogram) *Run {
	run := &Run{Scenario: s.Name, Label: label, Seed: seed, At: time.Now().UTC(),
		Seconds: seconds[:int(s.For)], Capacity: s.Capacity(), Latency: map[string]float64{}}
	for _, q := range []float64{50, 90, 99, 99.9} {
		run.Latency[strconv.FormatFloat(q, 'g', -1, 64)] = float64(hist.ValueAtQuantile(q)) / 1000
	}
	run.Figures = run.figures()
	return run
}

// ready waits until all members serve, and with a fleet see each other.
func (p *play) ready() error {
	for end := time.Now().Add(settle); ; time.Sleep(20 * time.Millisecond) {
		ok := p.s.Alone || rig.Converged(p.rig.Members())
		for _, m := range p.rig.Members() {
			if ok {
				r, err := m.CallAdmin("GET", "/admin/health", "")
				ok = err == nil && r.Status == 200
			}
		}
		if ok {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("the members did not all serve within %v", settle)
		}
	}
}

// book changes the figures of the second that a moment lies in.
func (p *play) book(at time.Time, do func(*Second)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := int(at.Sub(p.begun) / time.Second); !p.begun.IsZero() && i >= 0 && i < len(p.seconds) {
		do(&p.seconds[i])
	}
}

// script does what the scenario says, when it says so.
func (p *play) script(stop <-chan struct{}) {
	for _, e := range p.s.Events {
		select {
		case <-time.After(time.Until(p.begun.Add(time.Duration(e.At * float64(time.Second))))):
		case <-stop:
			return
		}
		p.do(e)
	}
}

func (p *play) do(e Event) {
	if onNodes(e.Do) {
		for _, who := range e.Who {
			n := 0
			_, _ = fmt.Sscanf(who, "n%d", &n)
			p.nodes[n].set(e.Do, e.By)
		}
		return
	}
	switch e.Do {
	case "cut":
		p.rig.Partition([][]string{e.Who, e.From})
		return
	case "heal":
		p.rig.SetAllLinkFaults(rig.Fault{})
		return
	}
	for _, who := range e.Who {
		m := p.rig.Member(who)
		switch e.Do {
		case "kill":
			m.Kill()
		case "start":
			_ = m.Start() // its log says why, if it does not
		case "stop":
			m.Pause()
		case "cont":
			m.Resume()
		}
	}
}

// watch looks at the doors once a second, and tells how it goes.
func (p *play) watch(stop <-chan struct{}, tell func(int, Second)) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		level := p.level()
		p.mu.Lock()
		if i < len(p.seconds) {
			p.seconds[i].LevelMax = level
			if x := p.seconds[max(0, i-1)]; tell != nil {
				p.mu.Unlock()
				tell(i, x)
				continue
			}
		}
		p.mu.Unlock()
	}
}

// load asks by a Poisson process at the rate of the moment. It never waits for an answer: what is late is
// late (no coordinated omission).
func (p *play) load(seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 77))
	number := 0
	for at := 0.0; ; {
		rate := p.s.Load.at(at)
		if rate <= 0 {
			at += 0.01
		} else {
			at += rng.ExpFloat64() / rate
		}
		if at >= p.s.For {
			return
		}
		due := p.begun.Add(time.Duration(at * float64(time.Second)))
		time.Sleep(time.Until(due))
		if rate <= 0 {
			continue
		}
		number++
		id := fmt.Sprintf("q%07d", number)
		post := rng.Float64() < p.s.Load.Posts
		member := rng.Uint64()
		p.out.Add(1)
		go func() {
			defer p.out.Done()
			p.ask(id, post, due, member)
		}()
	}
}

// ask is one client with one request: it tries again, at another member, until it is answered or has had its
// tries.
func (p *play) ask(id string, post bool, due time.Time, member uint64) {
	class, worth := "rate-check", 1.0
	if post {
		class, worth = "exchange-post", postWorth
	}
	p.book(due, func(x *Second) { x.First++; x.Asked += worth })
	status := 0
	for try := 0; try <= p.s.Load.Retries; try++ {
		begun := time.Now()
		if try == 0 {
			begun = due
		}
		p.book(due, func(x *Second) { x.Tries++ })
		var after time.Duration
		status, after = p.try(p.rig.Members()[(member+uint64(try))%uint64(p.s.Members)], id, class, try > 0)
		if took := time.Since(begun); status == 200 {
			p.mu.Lock()
			_ = p.hist.RecordValue(max(1, time.Since(due).Microseconds()))
			p.mu.Unlock()
			if took <= aim {
				p.book(due, func(x *Second) { x.InTime++; x.Worth += worth })
			} else {
				p.book(due, func(x *Second) { x.Late++ })
			}
			return
		}
		if !p.s.Load.Heed || after <= 0 {
			after = impatient
		}
		if try < p.s.Load.Retries {
			time.Sleep(after)
		}
	}
	if status == 503 {
		p.book(due, func(x *Second) { x.Refused++ })
	} else {
		p.book(due, func(x *Second) { x.Lost++ })
	}
}

// level is the greatest that a door shows.
func (p *play) level() (most int) {
	if p.s.Alone {
		return 0
	}
	for _, m := range p.rig.Members() {
		if !m.Running() {
			continue
		}
		r, err := m.CallAdmin("GET", "/admin/overload", "")
		var v struct{ Level int }
		if err == nil && json.Unmarshal(r.Body, &v) == nil {
			most = max(most, v.Level)
		}
	}
	return most
}

// try makes one try at a member. Status 0: there was no answer.
func (p *play) try(m *rig.Member, id, class string, again bool) (status int, after time.Duration) {
	var c *lnet.Client
	var err error
	idle := p.idle[m.Name]
	select {
	case c = <-idle:
	default:
		if c, err = lnet.Dial(m.Front(), 500*time.Millisecond, 1<<16); err != nil {
			return 0, 0
		}
	}
	head := [][2]string{{"X-Call-Id", id}, {"Idempotency-Key", "k" + id}}
	if again {
		head = append(head, [2]string{"X-Again", "1"})
	}
	r, err := c.Do("POST", "/"+class, m.Front(), head,
		[]byte(`{"slices":[{"slice":0,"mass":0.5},{"slice":1,"mass":0.5}],"filter":"c41e77d0"}`),
		time.Now().Add(deadline+time.Second))
	if err != nil {
		c.Close()
		return 0, 0
	}
	if s, perr := strconv.ParseFloat(r.Header.Get("Retry-After"), 64); perr == nil {
		after = time.Duration(s * float64(time.Second))
	}
	if c.Reusable() {
		select {
		case idle <- c:
			return r.Status, after
		default:
		}
	}
	c.Close()
	return r.Status, after
}
