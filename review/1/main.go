// Case 1: a new configuration drops the class with the longest deadline. Some seconds later comes a planned
// restart: SIGTERM, and SIGKILL once the longest deadline of the settings and 0.7 s are over. Requests that
// came more than 0.7 s after SIGTERM must have their answers by then.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"lapislever/review/lab"
)

const (
	cells, shards = 3, 6
	clientCount   = 8
	think         = 60 * time.Millisecond // of a client, between an answer and its next request
	longest       = 1200 * time.Millisecond

	// After SIGTERM: when SIGKILL comes, with some slack, and which requests count. Those that came up to then,
	// and those that came just before SIGKILL, do not.
	killAfter = longest + 700*time.Millisecond + 100*time.Millisecond
	excused   = 700 * time.Millisecond
	settled   = 50 * time.Millisecond
)

// settings are those of vltava-ledger with shorter deadlines.
func settings(withReports bool) map[string]any {
	s := lab.Settings(cells, shards, "idempotency_key")
	lanes := s["lanes"].([]any)
	times := [][2]int{{1_500_000, 3_000_000}, {800_000, 1_200_000}, {700_000, 1_000_000}}
	for i, l := range lanes {
		l.(map[string]any)["goalTimeUs"], l.(map[string]any)["hardLimitUs"] = times[i][0], times[i][1]
	}
	if !withReports {
		s["lanes"] = lanes[1:]
		extra := s["extra"].(map[string]any)
		for _, key := range []string{"classNeed", "followUp", "leastShare", "partialEarns"} {
			extra[key] = extra[key].([]any)[1:]
		}
	}
	return s
}

// request is one request of a client.
type request struct {
	id             string
	sentAt         time.Time
	status         int // 0: no answer
	answeredAt     time.Time
	refusedConnect bool // the coordinator's machine accepted no connection
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
	dir, err := os.MkdirTemp("", "case1-")
	if err != nil {
		return 0, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	var nodes []*lab.Node
	var hosts []lab.Host
	for i := range 2 * cells {
		n := &lab.Node{Name: fmt.Sprintf("ledger-%d", i), Block: i % cells, Record: rec,
			Site: []string{"praha", "brno", "budejovice"}[(i+i/cells)%3]}
		n.Serve = func(lab.Part) string {
			time.Sleep(time.Duration(120+rand.IntN(50)) * time.Millisecond)
			return "S"
		}
		if err := n.Open(); err != nil {
			return 0, err
		}
		nodes, hosts = append(nodes, n), append(hosts, lab.HostOf(n))
	}
	list := lab.List{Seq: 1, Whole: true, Hosts: hosts}
	disco, err := lab.NewDiscovery(list)
	if err != nil {
		return 0, err
	}
	c, err := lab.NewCoordinator(dir, disco.Addr, settings(trouble))
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
	rec.Note("coordinator up; with day-report: %v", trouble)

	var mu sync.Mutex
	var requests []*request
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range clientCount {
		clients.Add(1)
		go func() {
			defer clients.Done()
			client(c.Listen, i, stop, rec, func(r *request) { mu.Lock(); requests = append(requests, r); mu.Unlock() })
		}()
	}
	time.Sleep(2 * time.Second)
	if trouble {
		c.Settings = settings(false)
		if err := c.WriteConfig(); err != nil {
			return 0, err
		}
		p.Signal(syscall.SIGHUP)
		rec.Note("SIGHUP: day-report is dropped; the longest deadline is %s now", longest)
	}
	time.Sleep(4 * time.Second) // longer than any request of the dropped class may last
	if err := checkApplied(c.Operator, trouble, rec); err != nil {
		return 0, err
	}
	ending := time.Now()
	p.Signal(syscall.SIGTERM)
	rec.Note("SIGTERM")
	if p.Ended(killAfter) {
		rec.Note("the coordinator has ended by itself, %d ms after SIGTERM", time.Since(ending).Milliseconds())
	} else {
		rec.Note("SIGKILL, %d ms after SIGTERM", time.Since(ending).Milliseconds())
		p.Kill()
	}
	killed := time.Now()
	close(stop)
	clients.Wait()

	ran := map[string]bool{}
	for _, n := range nodes {
		for _, x := range n.Parts() {
			id, _, _ := strings.Cut(x.ID, ".")
			ran[id] = true
		}
	}
	lost, late := 0, 0
	for _, r := range requests {
		since := r.sentAt.Sub(ending)
		if since <= excused || r.sentAt.After(killed.Add(-settled)) || r.refusedConnect {
			continue
		}
		late++
		if r.status == 0 && ran[r.id] {
			lost++
			rec.Note("LOST: %s came %d ms after SIGTERM, was sent to data nodes and never answered", r.id,
				since.Milliseconds())
		}
	}
	if lost > 0 {
		rec.Verdict("BROKEN (lost): %d of %d requests that came later than 0.7 s after SIGTERM were never answered",
			lost, late)
		return lab.Broken, nil
	}
	rec.Verdict("held: of %d requests that came later than 0.7 s after SIGTERM each was answered", late)
	return lab.Held, nil
}

// client sends one request after the other on a connection that it keeps, until the coordinator ends it.
func client(addr string, number int, stop <-chan struct{}, rec *lab.Record, add func(*request)) {
	h := http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxConnsPerHost: 1}}
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(think):
		}
		class, budget, parts := "rate-check", "1.200", rand.Perm(shards)[:3]
		if (i+number)%4 == 0 {
			class, budget, parts = "exchange-post", "1.000", parts[:1]
		}
		var slices []map[string]any
		for _, s := range parts {
			slices = append(slices, map[string]any{"slice": s, "mass": 1 / float64(len(parts))})
		}
		body, _ := json.Marshal(map[string]any{"slices": slices, "filter": "c41e77d0"})
		r := &request{id: fmt.Sprintf("%016x", rand.Uint64())}
		req, err := http.NewRequest("POST", "http://"+addr+"/"+class, bytes.NewReader(body))
		if err != nil {
			return
		}
		req.Header.Set("X-Call-Id", r.id)
		req.Header.Set("X-Budget", budget)
		if class == "exchange-post" {
			req.Header.Set("Idempotency-Key", fmt.Sprintf("%032x", rand.Uint64()))
		}
		r.sentAt = time.Now()
		resp, err := h.Do(req)
		if err == nil {
			if _, err = io.Copy(io.Discard, resp.Body); err == nil {
				r.status = resp.StatusCode
			}
			_ = resp.Body.Close()
		}
		r.answeredAt = time.Now()
		r.refusedConnect = err != nil && strings.Contains(err.Error(), "connection refused")
		rec.Note("client %d sent %s %s %d ms ago: %d %v", number, class, r.id,
			r.answeredAt.Sub(r.sentAt).Milliseconds(), r.status, err)
		add(r)
		if r.refusedConnect { // it goes to another coordinator
			return
		}
	}
}

// checkApplied makes sure that the configuration was taken.
func checkApplied(operator string, trouble bool, rec *lab.Record) error {
	want := map[bool]int{true: 1, false: 0}[trouble]
	f, err := lab.Figures(operator)
	if err != nil {
		return err
	}
	rec.Note("figures: %+v", f)
	if f.Applied != want {
		return fmt.Errorf("%d configurations were taken, %d were given", f.Applied, want)
	}
	return nil
}
