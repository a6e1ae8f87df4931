package rig

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lapislever/internal/standin"
)

// drainGrace is how long after discovery's word a server that drains may still get new work.
const drainGrace = 550 * time.Millisecond

// lateRun is a play of one coordinator under faults in which every request, client's end and drain is held
// against the rules.
type lateRun struct {
	t         *testing.T
	rig       *Rig
	arrivals  *arrivals
	served    atomic.Int64
	mu        sync.Mutex
	budget    time.Duration // what a client waits for
	lateParts []string      // parts that came to a server behind its grace
}

func startLateRun(t *testing.T, seed uint64, budget time.Duration, faults *SyscallFaults) *lateRun {
	p := &lateRun{t: t, budget: budget, arrivals: &arrivals{at: map[string][]time.Time{}}}
	p.rig = startRig(t, Config{Members: 1, Seed: seed, Nodes: 6, Standalone: true, Faults: faults, Answer: p.answer})
	if !p.rig.Member("m00").waitServing(waitTimeout) {
		t.Fatal("the coordinator does not serve")
	}
	return p
}

// answer serves a part, but for some that are never answered, so that there are hedged requests and retries.
func (p *lateRun) answer(node int, part standin.Part) (string, string) {
	p.arrivals.record(part.ID)
	if for_ := p.rig.DrainingFor(node); for_ > drainGrace+deliverySlack {
		p.mu.Lock()
		p.lateParts = append(p.lateParts, fmt.Sprintf("%s at n%d, %v after the word", part.ID, node, for_))
		p.mu.Unlock()
	}
	if p.served.Add(1)%7 == 0 {
		return "", ""
	}
	return "S", "v:" + part.ID
}

// drainRoundRobin has one server drain after the other until it is told to stop.
func drainRoundRobin(r *Rig, stop <-chan struct{}, rng *rand.Rand) {
	for node := 0; ; node = (node + 1) % 4 { // the last two stay, so that each shard has a server
		r.Drain(node)
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(800+rng.IntN(300)) * time.Millisecond):
		}
		r.Restore(node)
	}
}

// run asks a number of requests, some of whose clients leave early, and checks how each ended.
func (p *lateRun) run(asked int, every, longest time.Duration) {
	stop := make(chan struct{})
	var draining sync.WaitGroup
	draining.Go(func() { drainRoundRobin(p.rig, stop, rand.New(rand.NewPCG(p.rig.cfg.Seed, 5))) })
	front, endings := p.rig.Member("m00").Front(), make(chan outcome, asked)
	var out sync.WaitGroup
	for i := range asked {
		out.Go(func() { endings <- sendOnce(front, fmt.Sprintf("h%04d", i), p.budget, i%5 == 4) })
		time.Sleep(every)
	}
	out.Wait()
	close(stop)
	draining.Wait()
	time.Sleep(longest + deliverySlack) // whatever is held has come by then
	close(endings)
	p.check(endings)
}

func (p *lateRun) check(endings <-chan outcome) {
	count := map[string]int{}
	fault := func(kind, format string, args ...any) {
		count[kind]++
		p.t.Errorf("%s: %s", kind, fmt.Sprintf(format, args...))
	}
	for e := range endings {
		bound := e.at.Add(deliverySlack)
		switch {
		case e.err != nil:
			fault("no answer", "%s: %v", e.query, e.err)
			continue
		case e.disconnected:
			count["left"]++
			bound = bound.Add(disconnectGrace)
		default:
			count["answered"]++
			if e.took > p.budget+replySlack+deliverySlack {
				fault("late answer", "%s after %v", e.query, e.took)
			}
		}
		if n, most := p.arrivals.after(e.query, bound); n > 0 {
			fault("sent on late", "%s: %d attempts up to %v after its end (client left: %v)", e.query, n,
				most+bound.Sub(e.at), e.disconnected)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, text := range p.lateParts {
		fault("drain", "%s", text)
	}
	p.t.Log(count)
	if p.t.Failed() && os.Getenv("LAPISLEVER_KEEP_LOG") != "" {
		log, _ := os.ReadFile(p.rig.Member("m00").LogPath())
		_ = os.WriteFile(os.Getenv("LAPISLEVER_KEEP_LOG"), log, 0o600)
	}
}

const (
	shortBudget  = 232 * time.Millisecond // what a client of the incident's class waits for
	lateRequests = 150
	lateInterval = 30 * time.Millisecond
)

// Incident 2157b7: a request was refused in time, and its client never heard of it. The thread that writes
// the reply is held in its system call, for longer than the client waits.
func TestHeldReplyWriteReachesClient(t *testing.T) {
	p := startLateRun(t, 61, shortBudget, &SyscallFaults{Seed: 61, Holds: []SyscallHold{
		{Point: HoldReplyWrite, Share: 0.15, Min: heldMin, Max: heldMax}}})
	p.run(lateRequests, lateInterval, heldMax)
}

// Threads are held just behind a look at a clock, each for a short time. One that is held must not hold up
// the others: a process in which only one may run at a time stands still with it.
func TestHeldThreadBlocksNoOther(t *testing.T) {
	p := startLateRun(t, 62, shortBudget, &SyscallFaults{Seed: 62, Clock: &ClockFaults{Share: 0.01,
		MinHold: 10 * time.Millisecond, MaxHold: 150 * time.Millisecond}})
	p.run(lateRequests, lateInterval, 150*time.Millisecond)
}

// Held calls of other kinds break no rule: the query for discovery's list, the log, a connect, the look at a
// client before an attempt.
func TestOtherHeldSyscalls(t *testing.T) {
	for i, kind := range []HoldPoint{HoldRequestWrite, HoldLogWrite, HoldConnect, HoldPoll} {
		t.Run(string(kind), func(t *testing.T) {
			t.Parallel()
			seed := uint64(70 + i)
			p := startLateRun(t, seed, 300*time.Millisecond, &SyscallFaults{Seed: seed, Holds: []SyscallHold{
				{Point: kind, Share: 0.05, Min: 300 * time.Millisecond, Max: time.Second}}})
			p.run(lateRequests, lateInterval, time.Second)
		})
	}
}
