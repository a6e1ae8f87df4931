package rig

// Incident 9e0aaf with real processes: see internal/platform/ordering_test.go for what it was and how it
// came.

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
	heldClientBudget = 600 * time.Millisecond // what a client of the test waits for
	heldMin          = 1000 * time.Millisecond
	heldMax          = 1300 * time.Millisecond
	// deliverySlack is what a byte may take from the coordinator through the relay to a data node of the test,
	// and a final answer to its client, on a busy machine.
	deliverySlack = 250 * time.Millisecond
	// disconnectGrace is how long after its client has left an attempt may begin.
	disconnectGrace = 100 * time.Millisecond
	// replySlack is how long after its time a request may get its final answer.
	replySlack = 500 * time.Millisecond
)

// arrivals are the moments at which data nodes got parts, by part.
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

// after counts the attempts of a query that arrived after a moment, and by how much the last one did.
func (a *arrivals) after(query string, end time.Time) (n int, most time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, at := range a.at[query] {
		if at.After(end) {
			n, most = n+1, max(most, at.Sub(end))
		}
	}
	return n, most
}

// outcome is how one request of the test ended.
type outcome struct {
	query        string
	at           time.Time
	disconnected bool
	took         time.Duration
	err          error
}

// sendOnce asks one query on a connection of its own. One that leaves closes it early.
func sendOnce(front, query string, budget time.Duration, leave bool) outcome {
	c, err := lnet.Dial(front, time.Second, 1<<20)
	if err != nil {
		return outcome{query: query, err: err}
	}
	defer c.Close()
	wait := budget + 5*time.Second
	if leave {
		wait = budget / 4
	}
	head := [][2]string{{"X-Call-Id", query}, {"X-Budget", fmt.Sprint(budget.Seconds())}}
	begun := time.Now()
	_, err = c.Do("POST", "/rate-check", front, head,
		[]byte(`{"slices":[{"slice":0,"mass":0.5},{"slice":1,"mass":0.5}],"filter":"c41e77d0"}`), begun.Add(wait))
	c.Close()
	e := outcome{query: query, at: time.Now(), took: time.Since(begun)}
	if e.disconnected = leave && err != nil; !e.disconnected {
		e.err = err
	}
	return e
}

// Single threads of a coordinator are held in the write of a call, longer than its request lasts. Nothing is
// sent on for a request that has its answer or whose client has left, and each gets its answer in time.
func TestHeldWriteSendsNoLateAttempt(t *testing.T) {
	got := &arrivals{at: map[string][]time.Time{}}
	var served atomic.Int64
	r := startRig(t, Config{Members: 1, Seed: 61, Standalone: true,
		Faults: &SyscallFaults{Seed: 61, Holds: []SyscallHold{
			{Point: HoldAttemptWrite, Share: 0.12, Min: heldMin, Max: heldMax}}},
		Answer: func(_ int, p standin.Part) (string, string) {
			got.record(p.ID)
			if served.Add(1)%7 == 0 {
				return "", "" // so that there are hedged requests and retries, too
			}
			return "S", "v:" + p.ID
		}})
	m := r.Member("m00")
	if !m.waitServing(waitTimeout) {
		t.Fatal("the coordinator does not serve")
	}
	const asked = 150
	endings := make(chan outcome, asked)
	var out sync.WaitGroup
	for i := range asked {
		out.Go(func() { endings <- sendOnce(m.Front(), fmt.Sprintf("h%03d", i), heldClientBudget, i%5 == 4) })
		time.Sleep(30 * time.Millisecond)
	}
	out.Wait()
	time.Sleep(heldMax + deliverySlack) // whatever is held has come by then
	close(endings)
	answered, left, late := 0, 0, 0
	for e := range endings {
		bound := e.at.Add(deliverySlack)
		switch {
		case e.err != nil:
			t.Errorf("%s: no answer: %v", e.query, e.err)
			continue
		case e.disconnected:
			left++
			bound = bound.Add(disconnectGrace)
		default:
			answered++
			if e.took > heldClientBudget+replySlack+deliverySlack {
				t.Errorf("%s was answered after %v", e.query, e.took)
			}
		}
		if n, most := got.after(e.query, bound); n > 0 {
			late++
			t.Errorf("%s: %d attempts came up to %v after its end (client left: %v)", e.query, n,
				most+bound.Sub(e.at), e.disconnected)
		}
	}
	t.Logf("%d answered, %d left, %d with something sent on too late", answered, left, late)
}
