package rig

// Incident 9e0aaf with real processes: see internal/platform/ordering_test.go for the failure and its cause.

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	lnet "lapislever/internal/net"
	"lapislever/internal/standin"
)

const (
	heldClientBudget = 600 * time.Millisecond // the clients' deadline
	heldMin          = 1000 * time.Millisecond
	heldMax          = 1300 * time.Millisecond
	// deliverySlack is the time allowed on a busy machine for a byte to get from the coordinator through the
	// relay to a data node, and for a final answer to get to its client.
	deliverySlack = 250 * time.Millisecond
	// disconnectGrace is how long after the client's disconnect an attempt may still start.
	disconnectGrace = 100 * time.Millisecond
	// replySlack is how long after its deadline a request may get its final answer.
	replySlack = 500 * time.Millisecond
)

// arrivals records when data nodes received parts, by query.
type arrivals struct {
	mu sync.Mutex
	at map[string][]time.Time
}

func (a *arrivals) record(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	query, _, _ := strings.Cut(id, ".")
	a.at[query] = append(a.at[query], time.Now())
}

// after counts the attempts of a query that arrived after end, and returns how long after end the last one
// did.
func (a *arrivals) after(query string, end time.Time) (n int, latest time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, at := range a.at[query] {
		if at.After(end) {
			n, latest = n+1, max(latest, at.Sub(end))
		}
	}
	return n, latest
}

// outcome is how one request ended.
type outcome struct {
	query        string
	at           time.Time
	disconnected bool
	took         time.Duration
	err          error
}

// sendOnce sends one query on its own connection. With disconnect set, the client closes it early.
func sendOnce(front, query string, budget time.Duration, disconnect bool) outcome {
	c, err := lnet.Dial(front, time.Second, 1<<20)
	if err != nil {
		return outcome{query: query, err: err}
	}
	defer c.Close()
	wait := budget + 5*time.Second
	if disconnect {
		wait = budget / 4
	}
	head := [][2]string{{"X-Call-Id", query}, {"X-Budget", fmt.Sprint(budget.Seconds())}}
	begun := time.Now()
	_, err = c.Do("POST", "/rate-check", front, head,
		[]byte(`{"slices":[{"slice":0,"mass":0.5},{"slice":1,"mass":0.5}],"filter":"c41e77d0"}`), begun.Add(wait))
	c.Close()
	o := outcome{query: query, at: time.Now(), took: time.Since(begun)}
	if o.disconnected = disconnect && err != nil; !o.disconnected {
		o.err = err
	}
	return o
}

// Single threads of a coordinator are held before the write of a call for longer than the request's deadline.
// No attempt may be sent for a request that has been answered or whose client has disconnected, and every
// request must be answered in time.
func TestHeldWriteSendsNoLateAttempt(t *testing.T) {
	arrived := &arrivals{at: map[string][]time.Time{}}
	var served atomic.Int64
	r := startRig(t, Config{Members: 1, Seed: 61, Standalone: true,
		Faults: &SyscallFaults{Seed: 61, Holds: []SyscallHold{
			{Point: HoldAttemptWrite, Share: 0.12, Min: heldMin, Max: heldMax}}},
		Answer: func(_ int, p standin.Part) (string, string) {
			arrived.record(p.ID)
			if served.Add(1)%7 == 0 {
				return "", "" // never answered, so that hedges and retries occur
			}
			return "S", "v:" + p.ID
		}})
	m := r.Member("m00")
	if !m.waitServing(waitTimeout) {
		t.Fatal("the coordinator does not start serving")
	}
	const requests = 150
	outcomes := make(chan outcome, requests)
	var senders sync.WaitGroup
	for i := range requests {
		senders.Go(func() { outcomes <- sendOnce(m.Front(), fmt.Sprintf("h%03d", i), heldClientBudget, i%5 == 4) })
		time.Sleep(30 * time.Millisecond)
	}
	senders.Wait()
	time.Sleep(heldMax + deliverySlack) // held writes have been delivered by then
	close(outcomes)
	answered, disconnected, late := 0, 0, 0
	for o := range outcomes {
		bound := o.at.Add(deliverySlack)
		switch {
		case o.err != nil:
			t.Errorf("%s: no answer: %v", o.query, o.err)
			continue
		case o.disconnected:
			disconnected++
			bound = bound.Add(disconnectGrace)
		default:
			answered++
			if o.took > heldClientBudget+replySlack+deliverySlack {
				t.Errorf("%s was answered after %v", o.query, o.took)
			}
		}
		if n, latest := arrived.after(o.query, bound); n > 0 {
			late++
			t.Errorf("%s: %d attempts arrived up to %v after its end (client disconnected: %v)", o.query, n,
				latest+bound.Sub(o.at), o.disconnected)
		}
	}
	t.Logf("%d answered, %d disconnected, %d with late attempts", answered, disconnected, late)
}
