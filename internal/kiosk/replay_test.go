package kiosk

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

// The replay: terminals of the old form post cash movements through nodes that lose answers, reset streams
// after they have executed, refuse streams, go away, and swap their form midway. Counted at the nodes:
// executions of a key, over all domains. Counted at the terminals: answers of a request.

// books are what the nodes of one shard know of keys, each form by itself: a repeat is dropped within the
// window.
type books struct {
	mu       sync.Mutex
	window   time.Duration
	seen     [2]map[string]time.Time
	executed map[string][]arrival
	dropped  int
	rng      *rand.Rand
}

// arrival is when a key was executed, and by which form.
type arrival struct {
	at   time.Time
	form int
}

func newBooks(seed uint64, window time.Duration) *books {
	return &books{window: window, seen: [2]map[string]time.Time{{}, {}}, executed: map[string][]arrival{},
		rng: rand.New(rand.NewPCG(seed, 3))}
}

// post is one part as a node of a form takes it.
func (b *books) post(form int, key string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if at, ok := b.seen[form][key]; ok && time.Since(at) < b.window {
		b.dropped++
		return
	}
	b.seen[form][key] = time.Now()
	b.executed[key] = append(b.executed[key], arrival{time.Now(), form})
}

// chance is true for so many in a hundred.
func (b *books) chance(of int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rng.IntN(100) < of
}

// duplicates lists the executions beyond the first of each key.
func (b *books) duplicates() (again []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for key, all := range b.executed {
		for _, x := range all[1:] {
			again = append(again, fmt.Sprintf("%s in form %d, %v after form %d", key, x.form, x.at.Sub(all[0].at),
				all[0].form))
		}
	}
	return again
}

// newNode is a node of the new form that keeps the books and fails in every way.
func (b *books) newNode(t *testing.T) *standin.GRPCNode {
	var mu sync.Mutex
	heads, served := 0, 0
	turn := func(every int) func(int, uint32) bool {
		return func(int, uint32) bool {
			mu.Lock()
			defer mu.Unlock()
			heads++
			return heads%every == 0
		}
	}
	return standin.NewGRPCNode(t, standin.GRPCOptions{RefuseStream: turn(9), GoAwayBefore: turn(13)},
		func(c standin.GRPCCall) standin.GRPCReply {
			b.post(1, c.Key)
			mu.Lock()
			served++
			way := served // each way to fail has to come, whatever order the draws come in
			mu.Unlock()
			switch {
			case way == 2:
				return standin.GRPCReply{Reset: standin.ErrCode(http2.ErrCodeInternal)}
			case way == 3:
				return standin.GRPCReply{Status: "99"}
			case b.chance(25): // executed, and the answer is lost
				return standin.GRPCReply{NoReply: true}
			case b.chance(30):
				return standin.GRPCReply{Reset: standin.ErrCode(http2.ErrCodeInternal)}
			case b.chance(10):
				return standin.GRPCReply{ResetConn: true}
			case b.chance(10):
				return standin.GRPCReply{Status: "99"}
			case b.chance(10):
				return standin.GRPCReply{Text: "v", GoAway: true}
			}
			return standin.GRPCReply{Text: "v"}
		})
}

// oldNode is one of the old form.
func (b *books) oldNode(t *testing.T) *standin.Node {
	return standin.NewNode(t, func(p standin.Part) (string, string) {
		_, key, _ := strings.Cut(p.Attrs, "k=")
		b.post(0, key)
		switch {
		case b.chance(25):
			return "", ""
		case b.chance(30):
			return "E", ""
		}
		return "S", "v"
	})
}

// replay posts so many movements, each with two retries of its terminal, and counts.
func replay(t *testing.T, seed uint64, requests int, guarded bool) (dups []string, answers int,
	figures map[string]int64) {
	const window = time.Second
	b := newBooks(seed, window+500*time.Millisecond)
	oldA, oldB := b.oldNode(t), b.oldNode(t)
	newA, newB, newC := b.newNode(t), b.newNode(t), b.newNode(t)
	file := func(swapped bool) string {
		text := "attempts = 6\n" + listeners +
			strings.NewReplacer("window_s = 3.0", "window_s = 1.0").Replace(classes)
		if swapped {
			return text + server("a", newA.Addr, "new", 0) + server("b", oldB.Addr, "old", 0) +
				server("c", newC.Addr, "new", 0)
		}
		return text + server("a", oldA.Addr, "old", 0) + server("b", newB.Addr, "new", 0) +
			server("c", newC.Addr, "new", 0)
	}
	r := run(t, file(false), func(f *Front) {
		if !guarded {
			f.router.guard = nil
		}
	})
	stop := make(chan bool)
	var wg, swaps sync.WaitGroup
	swaps.Add(1)
	go func() { // nodes swap their form, again and again
		defer swaps.Done()
		for swapped := true; ; swapped = !swapped {
			select {
			case <-stop:
				return
			case <-time.After(150 * time.Millisecond):
				_, fresh := load(t, file(swapped))
				r.f.Reload(fresh)
			}
		}
	}()
	var mu sync.Mutex
	odd := map[int]int{}
	for i := range requests {
		wg.Add(1)
		go func() {
			defer wg.Done()
			key := fmt.Sprint("key", i)
			time.Sleep(time.Duration(i) * 5 * time.Millisecond)
			for try, pause := range []time.Duration{0, 100 * time.Millisecond, 2200 * time.Millisecond} {
				time.Sleep(pause) // the last one comes past the window
				head, body := request(fmt.Sprint(key, "-", try), key, 0)
				if try > 0 {
					head = append(head, [2]string{"X-Again", "1"})
				}
				status := 0
				if i%2 == 0 {
					status = standin.DoHTTP(t, r.http, "POST", "/exchange-post", head, body).Status
				} else if y, err := standin.DialAJP(t, r.ajp).Do("/exchange-post", head, body, "secret",
					"s3cret"); err == nil {
					status = y.Status
				}
				mu.Lock()
				answers++
				switch status {
				case 200, 503, 502, 504, 409:
				default:
					odd[status]++
				}
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	close(stop)
	swaps.Wait()
	if len(odd) > 0 {
		t.Errorf("answers that no old terminal understands, by status: %v", odd)
	}
	told := r.figure("exchange-post", core.Answered) + r.figure("exchange-post", core.Refused) +
		r.figure("exchange-post", core.Failed)
	if told != int64(answers) {
		t.Errorf("%d answers counted, %d came", told, answers)
	}
	return b.duplicates(), answers, r.f.Figures()
}

func TestReplayOfOldTerminals(t *testing.T) {
	const requests = 60
	dups, answers, figures := replay(t, 1, requests, true)
	if len(dups) != 0 || answers != 3*requests {
		t.Errorf("executed once more: %q; %d answers to %d requests", dups, answers, 3*requests)
	}
	for _, why := range []string{"unknown_status", "unavailable", "turned_away", "window_over"} {
		if figures[why] == 0 {
			t.Errorf("the replay met no %q: %v", why, figures)
		}
	}
	t.Logf("guarded: %d duplicates, %d answers, %v", len(dups), answers, figures)
	dups, answers, figures = replay(t, 1, requests, false)
	if len(dups) == 0 {
		t.Error("no duplicate without the guard: the replay shows nothing")
	}
	t.Logf("without the guard: %d duplicates, %d answers, %v", len(dups), answers, figures)
}
