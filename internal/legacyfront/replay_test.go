package legacyfront

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/net/http2"

	"lapislever/internal/core"
	"lapislever/internal/standin"
)

// The replay: old-form clients post cash movements through nodes that lose answers, reset streams after
// executing, refuse streams, send GOAWAY and swap their form midway. The nodes count the executions of each
// key over all domains; the clients count the answers to each request.

// nodeLedger holds what the nodes of one shard know about keys, separately for each form. It drops a repeat
// of a key within the window.
type nodeLedger struct {
	mu       sync.Mutex
	window   time.Duration
	seen     [2]map[string]time.Time
	executed map[string][]execution
	dropped  int
	rng      *rand.Rand
}

// execution records when a key was executed, and by which form.
type execution struct {
	at   time.Time
	form int
}

func newNodeLedger(seed uint64, window time.Duration) *nodeLedger {
	return &nodeLedger{window: window, seen: [2]map[string]time.Time{{}, {}}, executed: map[string][]execution{},
		rng: rand.New(rand.NewPCG(seed, 3))}
}

// execute handles a part with a key, received by a node of a form.
func (l *nodeLedger) execute(form int, key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at, ok := l.seen[form][key]; ok && time.Since(at) < l.window {
		l.dropped++
		return
	}
	l.seen[form][key] = time.Now()
	l.executed[key] = append(l.executed[key], execution{time.Now(), form})
}

// chance returns true with a probability of percent.
func (l *nodeLedger) chance(percent int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.IntN(100) < percent
}

// duplicates describes the executions after the first of each key.
func (l *nodeLedger) duplicates() (list []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, all := range l.executed {
		for _, x := range all[1:] {
			list = append(list, fmt.Sprintf("%s in form %d, %v after form %d", key, x.form, x.at.Sub(all[0].at),
				all[0].form))
		}
	}
	return list
}

// newNode starts a node of the new form that records executions and fails in every way.
func (l *nodeLedger) newNode(t *testing.T) *standin.GRPCNode {
	var mu sync.Mutex
	streams, served := 0, 0
	everyNth := func(n int) func(int, uint32) bool {
		return func(int, uint32) bool {
			mu.Lock()
			defer mu.Unlock()
			streams++
			return streams%n == 0
		}
	}
	return standin.NewGRPCNode(t, standin.GRPCOptions{RefuseStream: everyNth(9), GoAwayBefore: everyNth(13)},
		func(c standin.GRPCCall) standin.GRPCReply {
			l.execute(1, c.Key)
			mu.Lock()
			served++
			n := served // some faults are tied to a count, so that they occur whatever the random draws are
			mu.Unlock()
			switch {
			case n == 2:
				return standin.GRPCReply{Reset: standin.ErrCode(http2.ErrCodeInternal)}
			case n == 3:
				return standin.GRPCReply{Status: "99"}
			case l.chance(25): // executed, and the answer is lost
				return standin.GRPCReply{NoReply: true}
			case l.chance(30):
				return standin.GRPCReply{Reset: standin.ErrCode(http2.ErrCodeInternal)}
			case l.chance(10):
				return standin.GRPCReply{ResetConn: true}
			case l.chance(10):
				return standin.GRPCReply{Status: "99"}
			case l.chance(10):
				return standin.GRPCReply{Text: "v", GoAway: true}
			}
			return standin.GRPCReply{Text: "v"}
		})
}

// oldNode starts a node of the old form that records executions, loses answers and reports errors.
func (l *nodeLedger) oldNode(t *testing.T) *standin.Node {
	return standin.NewNode(t, func(p standin.Part) (string, string) {
		_, key, _ := strings.Cut(p.Attrs, "k=")
		l.execute(0, key)
		switch {
		case l.chance(25):
			return "", ""
		case l.chance(30):
			return "E", ""
		}
		return "S", "v"
	})
}

// replay posts movements, each with two retries by its client, while nodes swap their form. It returns the
// duplicate executions, the number of answers and the failures by reason.
func replay(t *testing.T, seed uint64, requests int, guarded bool) (duplicates []string, answers int,
	failures map[string]int64) {
	const window = time.Second
	ledger := newNodeLedger(seed, window+500*time.Millisecond)
	oldA, oldB := ledger.oldNode(t), ledger.oldNode(t)
	newA, newB, newC := ledger.newNode(t), ledger.newNode(t), ledger.newNode(t)
	file := func(swapped bool) string {
		text := "attempts = 6\n" + listenersTOML +
			strings.NewReplacer("window_s = 3.0", "window_s = 1.0").Replace(classesTOML)
		if swapped {
			return text + serverTOML("a", newA.Addr, "new", 0) + serverTOML("b", oldB.Addr, "old", 0) +
				serverTOML("c", newC.Addr, "new", 0)
		}
		return text + serverTOML("a", oldA.Addr, "old", 0) + serverTOML("b", newB.Addr, "new", 0) +
			serverTOML("c", newC.Addr, "new", 0)
	}
	r := startFront(t, file(false), func(f *Front) {
		if !guarded {
			f.router.guard = nil
		}
	})
	stop := make(chan bool)
	var wg, swaps sync.WaitGroup
	swaps.Add(1)
	go func() { // reloads the file so that nodes swap their form repeatedly
		defer swaps.Done()
		for swapped := true; ; swapped = !swapped {
			select {
			case <-stop:
				return
			case <-time.After(150 * time.Millisecond):
				_, fresh := newFront(t, file(swapped))
				r.front.Reload(fresh)
			}
		}
	}()
	var mu sync.Mutex
	unexpected := map[int]int{}
	for i := range requests {
		wg.Add(1)
		go func() {
			defer wg.Done()
			key := fmt.Sprint("key", i)
			time.Sleep(time.Duration(i) * 5 * time.Millisecond)
			for try, pause := range []time.Duration{0, 100 * time.Millisecond, 2200 * time.Millisecond} {
				time.Sleep(pause) // the last retry comes after the window
				header, body := request(fmt.Sprint(key, "-", try), key, 0)
				if try > 0 {
					header = append(header, [2]string{"X-Again", "1"})
				}
				status := 0
				if i%2 == 0 {
					status = standin.DoHTTP(t, r.http, "POST", "/exchange-post", header, body).Status
				} else if y, err := standin.DialAJP(t, r.ajp).Do("/exchange-post", header, body, "secret",
					"s3cret"); err == nil {
					status = y.Status
				}
				mu.Lock()
				answers++
				switch status {
				case 200, 503, 502, 504, 409:
				default:
					unexpected[status]++
				}
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	close(stop)
	swaps.Wait()
	if len(unexpected) > 0 {
		t.Errorf("answers with an unexpected status, by status: %v", unexpected)
	}
	counted := r.outcomeCount("exchange-post", core.Answered) + r.outcomeCount("exchange-post", core.Refused) +
		r.outcomeCount("exchange-post", core.Failed)
	if counted != int64(answers) {
		t.Errorf("%d answers counted, %d received", counted, answers)
	}
	return ledger.duplicates(), answers, r.front.Figures()
}

// With the guard no key is executed twice and every request gets one answer. Without it the same replay must
// produce duplicates.
func TestReplayExecutesKeysOnce(t *testing.T) {
	const requests = 60
	duplicates, answers, failures := replay(t, 1, requests, true)
	if len(duplicates) != 0 || answers != 3*requests {
		t.Errorf("duplicate executions: %q; %d answers to %d requests", duplicates, answers, 3*requests)
	}
	for _, reason := range []string{"unknown_status", "unavailable", "turned_away", "window_over"} {
		if failures[reason] == 0 {
			t.Errorf("no attempt failed with %q: %v", reason, failures)
		}
	}
	t.Logf("with the guard: %d duplicates, %d answers, %v", len(duplicates), answers, failures)
	duplicates, answers, failures = replay(t, 1, requests, false)
	if len(duplicates) == 0 {
		t.Error("no duplicate without the guard: the replay does not test the guard")
	}
	t.Logf("without the guard: %d duplicates, %d answers, %v", len(duplicates), answers, failures)
}
