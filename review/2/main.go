// Case 2: two new configurations within 0.5 s. The first changes the effect of exchange-post from
// non_idempotent to read_like, the second only moves discovery. Requests sent less than 1.2 s after the first
// are still bound by the old effect: none of their parts may be sent again once it may have run.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"lapislever/review/lab"
)

const (
	cells, shards = 3, 6
	warmUp        = 25 * time.Second       // of ordinary traffic
	secondAfter   = 400 * time.Millisecond // the second configuration, after the first
	firstPost     = 550 * time.Millisecond // the checked requests, after the first configuration
	postEvery     = 100 * time.Millisecond
	newRulesBind  = 1200 * time.Millisecond
	standstill    = 290 * time.Millisecond // the longest that a node stands still for, by the brief
)

// node is a data node that stands still once, from the moment a checked request first reaches it.
type node struct {
	lab.Node
	mu     sync.Mutex
	paused time.Time // until when
}

func main() {
	root, _ := filepath.Abs(os.Args[1])
	code, err := run(root, os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Println("not run:", err)
		code = lab.NotRun
	}
	os.Exit(code)
}

func run(root, caseDir string, trouble bool) (int, error) {
	rec, err := lab.NewRecord(caseDir)
	if err != nil {
		return 0, err
	}
	dir, err := os.MkdirTemp("", "case2-")
	if err != nil {
		return 0, err
	}
	defer func() { _ = os.RemoveAll(dir) }()

	var mu sync.Mutex
	checked := map[string]time.Time{} // part ids of the checked requests, and when they were sent
	isChecked := func(id string) bool { mu.Lock(); defer mu.Unlock(); return !checked[id].IsZero() }

	var nodes []*node
	var hosts []lab.Host
	for i := range 2 * cells {
		n := &node{Node: lab.Node{Name: fmt.Sprintf("ledger-%d", i), Block: i % cells, Record: rec,
			Site: []string{"praha", "brno", "budejovice"}[(i+i/cells)%3]}}
		n.Serve = func(p lab.Part) string {
			n.mu.Lock()
			if isChecked(p.ID) && n.paused.IsZero() {
				n.paused = time.Now().Add(standstill)
				rec.Note("%s stands still for %d ms", n.Name, standstill.Milliseconds())
			}
			n.mu.Unlock()
			for left := time.Duration(120+rand.IntN(50)) * time.Millisecond; left > 0; {
				begun := time.Now()
				time.Sleep(2 * time.Millisecond)
				n.mu.Lock()
				if begun.After(n.paused) {
					left -= time.Since(begun)
				}
				n.mu.Unlock()
			}
			return "S"
		}
		if err := n.Open(); err != nil {
			return 0, err
		}
		nodes, hosts = append(nodes, n), append(hosts, lab.HostOf(&n.Node))
	}
	list := lab.List{Seq: 1, Whole: true, Hosts: hosts}
	first, err := lab.NewDiscovery(list)
	if err != nil {
		return 0, err
	}
	second, err := lab.NewDiscovery(list)
	if err != nil {
		return 0, err
	}

	c, err := lab.NewCoordinator(dir, first.Addr, lab.Settings(cells, shards, "non_idempotent"))
	if err != nil {
		return 0, err
	}
	c.Known = list
	if err := c.WriteConfig(); err != nil {
		return 0, err
	}
	p, err := lab.Start(root, dir, "n0", "", c.Env()...)
	if err != nil {
		return 0, err
	}
	defer p.Kill()
	if !lab.WaitFor(10*time.Second, func() bool { return lab.Status("http://"+c.Listen+"/up") == 200 }) {
		return 0, fmt.Errorf("the coordinator is not up")
	}
	rec.Note("coordinator up; exchange-post is non_idempotent")

	// Ordinary traffic, as much as one coordinator of three gets on a common day.
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Add(1)
	go func() {
		defer clients.Done()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(120 * time.Millisecond):
			}
			q := lab.Query{ID: fmt.Sprintf("%016x", rand.Uint64()), Class: "rate-check", Filter: "c41e77d0",
				Budget: 4 * time.Second, Shards: rand.Perm(shards)[:3]}
			switch i % 8 { // the shares of the classes as in the brief
			case 3, 7:
				q.Class, q.Budget, q.Shards = "exchange-post", 3*time.Second, q.Shards[:1]
			case 5:
				q.Class, q.Budget, q.Shards = "day-report", 10*time.Second, rand.Perm(shards)[:4]
			}
			clients.Add(1)
			go func() { defer clients.Done(); lab.Send(c.Listen, q) }()
		}
	}()
	time.Sleep(warmUp)

	// The first configuration.
	c.Settings = lab.Settings(cells, shards, "read_like")
	if err := c.WriteConfig(); err != nil {
		return 0, err
	}
	changedAt := time.Now()
	p.Signal(syscall.SIGHUP)
	rec.Note("SIGHUP: exchange-post becomes read_like; the old rules bind for 1.2 s more")
	if trouble {
		time.Sleep(secondAfter)
		c.Discovery = second.Addr
		if err := c.WriteConfig(); err != nil {
			return 0, err
		}
		p.Signal(syscall.SIGHUP)
		rec.Note("SIGHUP: discovery moves, the settings are the same as before")
	}

	// The checked requests, one for each shard, all by the old rules.
	var answers sync.WaitGroup
	var ids []string
	for s := range shards {
		time.Sleep(time.Until(changedAt.Add(firstPost + time.Duration(s)*postEvery)))
		q := lab.Query{ID: fmt.Sprintf("%016x", rand.Uint64()), Class: "exchange-post", Filter: "0b57ac11",
			Budget: 3 * time.Second, Shards: []int{s}}
		id := fmt.Sprintf("%s.%d", q.ID, s)
		ids = append(ids, id)
		mu.Lock()
		checked[id] = time.Now()
		mu.Unlock()
		rec.Note("client sends exchange-post %s, %d ms after the first SIGHUP", q.ID,
			time.Since(changedAt).Milliseconds())
		answers.Add(1)
		go func() {
			defer answers.Done()
			a := lab.Send(c.Listen, q)
			rec.Note("client is answered %s: %d", q.ID, a.Status)
		}()
	}
	if d := time.Since(changedAt); d >= newRulesBind {
		return 0, fmt.Errorf("the machine is too slow: the last request was sent after %s", d)
	}
	answers.Wait()
	close(stop)
	clients.Wait()

	f, err := lab.Figures(c.Operator)
	if err != nil {
		return 0, err
	}
	rec.Note("figures: %+v", f)
	if want := map[bool]int{true: 2, false: 1}[trouble]; f.Applied != want {
		return 0, fmt.Errorf("%d configurations were taken, %d were given", f.Applied, want)
	}
	// A part that is sent again while the attempt before may have run. No node turned any away.
	broken := 0
	for _, id := range ids {
		var attempts []lab.Part
		for _, n := range nodes {
			for _, x := range n.Parts() {
				if x.ID == id {
					attempts = append(attempts, x)
				}
			}
		}
		if len(attempts) > 1 {
			broken++
			for _, x := range attempts {
				rec.Note("part %s was run by %s, received %d ms after the request was sent", id, x.Node,
					x.At.Sub(checked[id]).Milliseconds())
			}
		}
	}
	if broken > 0 {
		rec.Verdict("BROKEN (duplicate): %d of %d cash movements by the old rules were run more than once", broken,
			len(ids))
		return lab.Broken, nil
	}
	rec.Verdict("held: each of %d cash movements was sent once", len(ids))
	return lab.Held, nil
}
