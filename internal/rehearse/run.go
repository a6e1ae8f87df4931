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
	// aim and deadline match the rig's settings. An answer after the aim is worth less.
	aim      = 1500 * time.Millisecond
	deadline = 2 * time.Second
	// postWorth is the worth of an answered exchange-post request; that of a rate-check is 1.
	postWorth = 4
	// defaultRetryDelay applies to clients that ignore Retry-After, and to replies without one.
	defaultRetryDelay = 100 * time.Millisecond
	startTimeout      = 30 * time.Second
	period            = 200 * time.Millisecond
	maxIdleConns      = 256 // of clients, per member
)

// Second holds the measurements of one second of a run. Those of a request count in the second in which its
// first try was due.
type Second struct {
	Requests      int64   `json:"first"`   // requests, without retries
	Tries         int64   `json:"tries"`   // tries, including retries
	InTime        int64   `json:"in_time"` // requests answered within the aim, counted from the last try
	Late          int64   `json:"late"`    // requests answered after the aim
	Refused       int64   `json:"refused"` // requests whose last try was refused
	Lost          int64   `json:"lost"`    // requests whose last try failed or got no answer
	Worth         float64 `json:"worth"`   // total worth of the requests answered in time
	OfferedWorth  float64 `json:"asked"`   // total worth of all requests
	Parts         int64   `json:"parts"`   // parts that arrived at data nodes in this second
	RejectedParts int64   `json:"full"`    // parts that data nodes rejected in this second
	MaxLevel      int     `json:"level"`   // highest overload level of any member
}

// Run is the result of running a scenario once.
type Run struct {
	Scenario   string             `json:"scenario"`
	Label      string             `json:"label"`
	Seed       uint64             `json:"seed"`
	RecordedAt time.Time          `json:"at"`
	Seconds    []Second           `json:"seconds"`
	Latency    map[string]float64 `json:"latency_ms"` // by percentile, of answered requests since their due time
	Capacity   float64            `json:"capacity"`   // queries per second that the nodes can process
	Figures    map[string]float64 `json:"figures"`
	Virtual    bool               `json:"virtual,omitempty"`
}

// Runner runs scenarios with real processes of one program.
type Runner struct {
	Program  string                     // path of the executable; if empty, it is built
	Progress func(second int, s Second) // if set, called about once a second
}

// liveRun is the state of a run with real processes.
type liveRun struct {
	scenario  *Scenario
	rig       *rig.Rig
	nodes     []*emulatedNode
	started   time.Time
	mu        sync.Mutex // guards seconds and hist, and started until the load begins
	seconds   []Second
	hist      *hdrhistogram.Histogram
	idleConns map[string]chan *lnet.Client
	requests  sync.WaitGroup
}

// Run runs a scenario once.
func (r *Runner) Run(s *Scenario, seed uint64, label string) (*Run, error) {
	if s.Members > maxRealMembers || s.Nodes > maxRealNodes {
		return nil, fmt.Errorf("over %d members or %d nodes: on virtual time only", maxRealMembers, maxRealNodes)
	}
	dir, err := os.MkdirTemp("", "rehearse-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	run := &liveRun{scenario: s, seconds: make([]Second, int(s.DurationS)+1),
		idleConns: map[string]chan *lnet.Client{}, hist: hdrhistogram.New(1, 60_000_000, 3)}
	for i := range s.Nodes {
		run.nodes = append(run.nodes, newEmulatedNode(s.Node, seed*1009+uint64(i)))
	}
	run.rig, err = rig.New(rig.Config{Dir: dir, Program: r.Program, Members: s.Members, Nodes: s.Nodes,
		Seed: seed, Period: period, ExtraFleetConfig: s.ExtraFleetConfig, MaxMembers: s.Members,
		Standalone: s.Standalone, SettingsEdits: worthEdits(),
		Answer: func(node int, part standin.Part) (string, string) {
			run.record(time.Now(), func(x *Second) { x.Parts++ })
			end := run.nodes[node].serve()
			if end == "B" {
				run.record(time.Now(), func(x *Second) { x.RejectedParts++ })
			}
			return end, "v:" + part.ID
		}})
	if err != nil {
		return nil, err
	}
	defer run.rig.Close()
	for _, m := range run.rig.Members() {
		run.idleConns[m.Name] = make(chan *lnet.Client, maxIdleConns)
		if err := m.Start(); err != nil {
			return nil, err
		}
	}
	if err := run.waitReady(); err != nil {
		return nil, err
	}
	run.mu.Lock() // nodes may already have received parts of probes
	run.started = time.Now()
	run.mu.Unlock()
	stop := make(chan struct{})
	var background sync.WaitGroup
	background.Add(2)
	go func() { defer background.Done(); run.sampleLevels(stop, r.Progress) }()
	go func() { defer background.Done(); run.runEvents(stop) }()
	run.generateLoad(seed)
	run.requests.Wait()
	close(stop)
	background.Wait()
	return s.newRun(seed, label, run.seconds, run.hist), nil
}

// newRun builds a run from the measurements.
func (s *Scenario) newRun(seed uint64, label string, seconds []Second, hist *hdrhistogram.Histogram) *Run {
	run := &Run{Scenario: s.Name, Label: label, Seed: seed, RecordedAt: time.Now().UTC(),
		Seconds: seconds[:int(s.DurationS)], Capacity: s.Capacity(), Latency: map[string]float64{}}
	for _, percentile := range []float64{50, 90, 99, 99.9} {
		run.Latency[strconv.FormatFloat(percentile, 'g', -1, 64)] = float64(hist.ValueAtQuantile(percentile)) / 1000
	}
	run.Figures = run.computeFigures()
	return run
}

// waitReady waits until all members are healthy and, unless they are standalone, their views have converged.
func (run *liveRun) waitReady() error {
	for end := time.Now().Add(startTimeout); ; time.Sleep(20 * time.Millisecond) {
		ok := run.scenario.Standalone || rig.Converged(run.rig.Members())
		for _, m := range run.rig.Members() {
			if ok {
				r, err := m.CallAdmin("GET", "/admin/health", "")
				ok = err == nil && r.Status == 200
			}
		}
		if ok {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("the members did not all serve within %v", startTimeout)
		}
	}
}

// record updates the measurements of the second that contains the given time.
func (run *liveRun) record(at time.Time, update func(*Second)) {
	run.mu.Lock()
	defer run.mu.Unlock()
	if i := int(at.Sub(run.started) / time.Second); !run.started.IsZero() && i >= 0 && i < len(run.seconds) {
		update(&run.seconds[i])
	}
}

// runEvents applies the events of the scenario at their times.
func (run *liveRun) runEvents(stop <-chan struct{}) {
	for _, e := range run.scenario.Events {
		select {
		case <-time.After(time.Until(run.started.Add(time.Duration(e.At * float64(time.Second))))):
		case <-stop:
			return
		}
		run.apply(e)
	}
}

func (run *liveRun) apply(e Event) {
	if isNodeAction(e.Action) {
		for _, target := range e.Targets {
			n := 0
			_, _ = fmt.Sscanf(target, "n%d", &n)
			run.nodes[n].setMode(e.Action, e.SlowFactor)
		}
		return
	}
	switch e.Action {
	case "cut":
		run.rig.Partition([][]string{e.Targets, e.OtherSide})
		return
	case "heal":
		run.rig.SetAllLinkFaults(rig.Fault{})
		return
	}
	for _, target := range e.Targets {
		m := run.rig.Member(target)
		switch e.Action {
		case "kill":
			m.Kill()
		case "start":
			_ = m.Start() // on failure, the process log has the reason
		case "stop":
			m.Pause()
		case "cont":
			m.Resume()
		}
	}
}

// sampleLevels records the highest overload level once a second, and reports progress.
func (run *liveRun) sampleLevels(stop <-chan struct{}, progress func(int, Second)) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		level := run.maxLevel()
		run.mu.Lock()
		if i < len(run.seconds) {
			run.seconds[i].MaxLevel = level
			if x := run.seconds[max(0, i-1)]; progress != nil {
				run.mu.Unlock()
				progress(i, x)
				continue
			}
		}
		run.mu.Unlock()
	}
}

// generateLoad starts requests as a Poisson process at the current rate. It never waits for an answer, so
// slow answers do not lower the load or the measured latency (no coordinated omission).
func (run *liveRun) generateLoad(seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 77))
	number := 0
	for at := 0.0; ; {
		rate := run.scenario.Load.rateAt(at)
		if rate <= 0 {
			at += 0.01
		} else {
			at += rng.ExpFloat64() / rate
		}
		if at >= run.scenario.DurationS {
			return
		}
		due := run.started.Add(time.Duration(at * float64(time.Second)))
		time.Sleep(time.Until(due))
		if rate <= 0 {
			continue
		}
		number++
		id := fmt.Sprintf("q%07d", number)
		post := rng.Float64() < run.scenario.Load.PostShare
		member := rng.Uint64()
		run.requests.Add(1)
		go func() {
			defer run.requests.Done()
			run.runRequest(id, post, due, member)
		}()
	}
}

// runRequest sends one request, and retries it at the next member until it is answered or out of retries.
func (run *liveRun) runRequest(id string, post bool, due time.Time, member uint64) {
	class, worth := "rate-check", 1.0
	if post {
		class, worth = "exchange-post", postWorth
	}
	run.record(due, func(x *Second) { x.Requests++; x.OfferedWorth += worth })
	status := 0
	for try := 0; try <= run.scenario.Load.Retries; try++ {
		started := time.Now()
		if try == 0 {
			started = due
		}
		run.record(due, func(x *Second) { x.Tries++ })
		var retryAfter time.Duration
		status, retryAfter = run.send(run.rig.Members()[(member+uint64(try))%uint64(run.scenario.Members)],
			id, class, try > 0)
		if took := time.Since(started); status == 200 {
			run.mu.Lock()
			_ = run.hist.RecordValue(max(1, time.Since(due).Microseconds()))
			run.mu.Unlock()
			if took <= aim {
				run.record(due, func(x *Second) { x.InTime++; x.Worth += worth })
			} else {
				run.record(due, func(x *Second) { x.Late++ })
			}
			return
		}
		if !run.scenario.Load.HonorRetryAfter || retryAfter <= 0 {
			retryAfter = defaultRetryDelay
		}
		if try < run.scenario.Load.Retries {
			time.Sleep(retryAfter)
		}
	}
	if status == 503 {
		run.record(due, func(x *Second) { x.Refused++ })
	} else {
		run.record(due, func(x *Second) { x.Lost++ })
	}
}

// maxLevel returns the highest overload level that the admin endpoint of any running member reports.
func (run *liveRun) maxLevel() (level int) {
	if run.scenario.Standalone {
		return 0
	}
	for _, m := range run.rig.Members() {
		if !m.Running() {
			continue
		}
		r, err := m.CallAdmin("GET", "/admin/overload", "")
		var v struct{ Level int }
		if err == nil && json.Unmarshal(r.Body, &v) == nil {
			level = max(level, v.Level)
		}
	}
	return level
}

// send sends one try to a member. It returns status 0 if there was no answer.
func (run *liveRun) send(m *rig.Member, id, class string, retry bool) (status int, retryAfter time.Duration) {
	var c *lnet.Client
	var err error
	idle := run.idleConns[m.Name]
	select {
	case c = <-idle:
	default:
		if c, err = lnet.Dial(m.Front(), 500*time.Millisecond, 1<<16); err != nil {
			return 0, 0
		}
	}
	header := [][2]string{{"X-Call-Id", id}, {"Idempotency-Key", "k" + id}}
	if retry {
		header = append(header, [2]string{"X-Again", "1"})
	}
	r, err := c.Do("POST", "/"+class, m.Front(), header,
		[]byte(`{"slices":[{"slice":0,"mass":0.5},{"slice":1,"mass":0.5}],"filter":"c41e77d0"}`),
		time.Now().Add(deadline+time.Second))
	if err != nil {
		c.Close()
		return 0, 0
	}
	if s, parseErr := strconv.ParseFloat(r.Header.Get("Retry-After"), 64); parseErr == nil {
		retryAfter = time.Duration(s * float64(time.Second))
	}
	if c.Reusable() {
		select {
		case idle <- c:
			return r.Status, retryAfter
		default:
		}
	}
	c.Close()
	return r.Status, retryAfter
}
