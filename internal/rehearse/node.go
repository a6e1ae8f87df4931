package rehearse

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// emulatedNode is an emulated data node with a fixed number of concurrency slots and a bounded queue; parts
// beyond that are rejected. Accepted parts are processed to the end, even if nobody waits for them any more.
type emulatedNode struct {
	cfg        Ledger
	slots      chan struct{}
	waiting    atomic.Int64
	mu         sync.Mutex // guards rng, mode and slowFactor
	rng        *rand.Rand
	mode       string
	slowFactor float64

	rejected, completed atomic.Int64
}

func newEmulatedNode(cfg Ledger, seed uint64) *emulatedNode {
	return &emulatedNode{cfg: cfg, slots: make(chan struct{}, cfg.Slots), slowFactor: 1,
		rng: rand.New(rand.NewPCG(seed, 5))}
}

// setMode sets the failure mode: slow, fail, deaf (no replies) or sound (no failure). factor applies to slow.
func (n *emulatedNode) setMode(mode string, factor float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.mode, n.slowFactor = mode, 1; mode == "slow" {
		n.slowFactor = factor
	}
}

// drawWork returns a random processing time for a part, and the failure mode of the node.
func (n *emulatedNode) drawWork() (time.Duration, string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	work := n.cfg.WorkMS * n.slowFactor
	if !n.cfg.FixedWork { // half constant, half exponential, like waiting for a disk
		work *= 0.5 + 0.5*n.rng.ExpFloat64()
	}
	return time.Duration(work * float64(time.Millisecond)), n.mode
}

// serve processes a part and returns its end letter: S (done), B (queue full), E (failed), or an empty string
// to withhold the reply.
func (n *emulatedNode) serve() string {
	work, mode := n.drawWork()
	switch mode {
	case "fail":
		return "E"
	case "deaf":
		return ""
	}
	if n.waiting.Add(1) > int64(n.cfg.Queue+n.cfg.Slots) {
		n.waiting.Add(-1)
		n.rejected.Add(1)
		return "B"
	}
	n.slots <- struct{}{}
	time.Sleep(work)
	<-n.slots
	n.waiting.Add(-1)
	n.completed.Add(1)
	return "S"
}
