package platform

// The watch on discovery. This file owns the calls for the list and when they are made; it must never decide
// what a list means.
//
// A change counts as told 6 s (toldAfter) after discovery had it and could be reached, whatever became of a
// call; where the list is pushed what the agent has counts at once, but for what a watch that has fallen
// silent misses, which counts 6 s after that. So, with the times below:
//
//	silence + limit <= toldAfter                                       pushed: 1.2 s; 0.1 s after an outage
//	silence + limit <= toldAfter                                       asked for: 5.5 s
//	balance.AskMost + limit <= toldAfter                               asked for, after many failures: 5.5 s

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"sync"
	"time"

	"lapislever/balance"
	"lapislever/internal/core"
	lnet "lapislever/internal/net"
)

const (
	toldAfter  = 6 * time.Second // the operators' page on the whole fleet
	watchRetry = 50 * time.Millisecond
	dialMost   = time.Second
	maxList    = 4 << 20 // bytes
	// Where the list is pushed a call that is overdue is not given up: another one is made beside it, so that an
	// agent that comes back is heard at once, and one that is slow is heard all the same.
	patientLimit = time.Second // an overdue call's
	mostCalls    = 12          // that are out at a time; the oldest goes
)

// watcher follows discovery.
type watcher struct {
	cfg   *Config
	log   *slog.Logger
	nodes *Nodes
	post  func(core.Event)
	on    chan bool
	fetch chan struct{}
	move  chan string
	stop  chan struct{}
	whole chan struct{} // closed once discovery has given the whole list
	seq   int64
	// beside is set where another process of this coordinator serves and has long heard more than is known here.
	beside bool
}

// Watch is the module's wish to hear of changes.
func (w *watcher) Watch(on bool) {
	select {
	case w.on <- on:
	default:
	}
}

// Fetch is the module's wish for the whole list.
func (w *watcher) Fetch() {
	select {
	case w.fetch <- struct{}{}:
	default:
	}
}

// moveTo makes discovery's address another one.
func (w *watcher) moveTo(addr string) {
	select {
	case w.move <- addr:
	case <-w.stop:
	}
}

// terms are the times of one kind of watch.
type terms struct {
	wait  time.Duration // that a call asks discovery to wait for news
	limit time.Duration // for an answer that is due, the dialling included; then it is overdue
	give  time.Duration // and so long after it was due it is given up
}

// The terms where the agent on this machine is sent the list, and where each call is work for discovery,
// which takes up to a second: what the answer to a call that was given up would have told counts as told all
// the same.
var (
	pushed = terms{wait: time.Second, limit: 100 * time.Millisecond, give: patientLimit}
	asking = terms{wait: 2500 * time.Millisecond, limit: 1500 * time.Millisecond, give: 1500 * time.Millisecond}
)

// silence is how long a watch that has fallen silent passes for a sound one.
func (t terms) silence() time.Duration { return t.wait + t.limit }

// run keeps the list up to date. Each next call follows the last answer at once, so that the watch goes on.
// A call runs beside this loop: one that waits, or still dials, must not hold up a move to another address.
func (w *watcher) run(watching bool) {
	addr := w.cfg.Discovery
	asked := !watching // by the module, which wants to hear of a failure
	t := pushed
	if asked {
		t = asking
	}
	// The whole list is asked for at the start where it costs nothing. Where a call is work for discovery, a
	// watch goes on from the list that was known before the start: many coordinators that start together would
	// else ask for more lines than discovery can give, and none of them would hear of anything. Version 0 is one
	// like any other; a list without a node tells of none that it might be missing.
	known := w.cfg.Known != nil && len(w.cfg.Known.Hosts) > 0
	whole, wanted := watching || !known || w.beside, false
	failed := 0         // calls in a row
	renewed := false    // after silence a call that is asked for is made anew at once, and only then given up
	var begun time.Time // of the last call
	var c *lnet.Client  // at rest between calls
	var out []*watchCall
	results := make(chan watchResult, 2*mostCalls)
	var again, overdue <-chan time.Time // after a failure; of the last call
	abandon := func() {
		for _, k := range out {
			k.cancel()
		}
		out, overdue = nil, nil
		if c != nil {
			c.Close()
			c = nil
		}
	}
	for due := false; ; {
		if (out == nil || due) && again == nil && (watching || wanted) {
			wanted, due = false, false
			target, wait := "/discovery/hosts", time.Duration(0)
			if !whole {
				wait = t.wait
				target = fmt.Sprintf("/discovery/hosts?index=%d&wait=%d", w.seq, wait.Milliseconds())
			}
			if len(out) == mostCalls {
				out[0].cancel()
				out = out[1:]
			}
			begun = time.Now()
			k := &watchCall{c: c}
			c = nil
			out = append(out, k)
			go k.run(addr, target, wait+t.give, results)
			if t.limit < t.give {
				overdue = time.After(wait + t.limit)
			}
		}
		select {
		case watching = <-w.on:
			if !watching {
				abandon()
			}
		case <-w.fetch:
			abandon()
			whole, wanted, again = true, true, nil
		case <-again:
			again = nil
		case <-overdue:
			overdue = nil
			whole, due = true, true
			if failed++; failed == 1 {
				w.log.Warn("discovery did not answer in time", "address", addr)
			}
		case addr = <-w.move:
			// What a call to the old address would still bring is in the new one's whole list.
			abandon()
			failed, whole, again = 0, true, nil
		case <-w.stop:
			abandon()
			return
		case r := <-results:
			i := slices.Index(out, r.of)
			if i < 0 { // it was abandoned
				if r.c != nil {
					r.c.Close()
				}
				continue
			}
			if out = slices.Delete(out, i, i+1); len(out) == 0 {
				out, overdue = nil, nil
			}
			if r.err == nil {
				told := w.take(r.list)
				abandon()
				c = r.c
				if failed > 0 {
					w.log.Info("discovery answers again", "address", addr, "failed", failed)
				}
				failed, whole, renewed, due = 0, false, false, false
				if told {
					w.log.Info("list taken in", "version", r.list.Seq, "whole", r.list.Whole, "entries",
						len(r.list.Hosts), "asked", time.Since(begun))
				}
				if !told && time.Since(begun) < watchRetry {
					again = time.After(watchRetry) // it does not wait for news
				}
				continue
			}
			if failed++; failed == 1 {
				w.log.Warn("discovery did not answer", "address", addr, "err", r.err)
			}
			if late := (net.Error)(nil); asked && !renewed && errors.As(r.err, &late) && late.Timeout() {
				renewed = true
				continue
			}
			renewed = false
			if asked {
				watching = false
				w.post(core.ListUpdate{Mode: balance.Failed})
				continue
			}
			whole = true // what the watch has missed costs nothing
			if out == nil {
				due, again = false, time.After(watchRetry)
			}
		}
	}
}

// take hands a list on. An answer without changes says nothing.
func (w *watcher) take(list *hostList) (told bool) {
	w.seq = list.Seq
	if !list.Whole && len(list.Hosts) == 0 {
		return false
	}
	mode := balance.Delta
	if list.Whole {
		mode = balance.Full
	}
	news := w.nodes.UpdateHosts(list.Hosts, list.Whole)
	w.post(core.ListUpdate{Mode: mode, Replicas: w.cfg.replicas(list.Hosts), ReceivedAt: time.Now()})
	w.nodes.logNews(news)
	if list.Whole {
		select {
		case <-w.whole:
		default:
			close(w.whole)
		}
	}
	return true
}

// watchCall is one call to discovery.
type watchCall struct {
	mu   sync.Mutex // guards c, over
	c    *lnet.Client
	over bool
}

// watchResult is how a call ended; the connection, if it can carry the next one, comes along.
type watchResult struct {
	of   *watchCall
	list *hostList
	c    *lnet.Client
	err  error
}

// cancel ends a call that nobody waits for any more, also one that still dials.
func (k *watchCall) cancel() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.over = true
	if k.c != nil {
		k.c.Close()
	}
}

func (k *watchCall) run(addr, target string, limit time.Duration, results chan<- watchResult) {
	list, err := k.call(addr, target, limit)
	k.mu.Lock()
	c := k.c
	if k.over || c != nil && (err != nil || !c.Reusable()) {
		if c != nil {
			c.Close()
		}
		c = nil
	}
	k.mu.Unlock()
	results <- watchResult{of: k, list: list, c: c, err: err}
}

func (k *watchCall) call(addr, target string, limit time.Duration) (*hostList, error) {
	until := time.Now().Add(limit)
	if k.c == nil {
		c, err := lnet.Dial(addr, min(limit, dialMost), maxList)
		if err != nil {
			return nil, err
		}
		k.mu.Lock()
		k.c = c
		over := k.over
		k.mu.Unlock()
		if over {
			return nil, net.ErrClosed
		}
	}
	reply, err := k.c.Do("GET", target, addr, nil, nil, until)
	if err != nil {
		return nil, err
	}
	if reply.Status != 200 {
		return nil, fmt.Errorf("status %d", reply.Status)
	}
	list := &hostList{}
	return list, json.Unmarshal(reply.Body, list)
}
