package main

// Case 7: range queries that take long to read, and other clients' requests of more than 4 KiB.

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

func init() { cases["7"] = behindRangeQueries }

const (
	slowClients = 8
	largeFilter = 6000 // bytes
)

// slowQuery returns a range query of some 60 KB that is well formed and takes seconds to read.
func slowQuery() string {
	var matchers []string
	for size := 0; size < 59_000; size += len(matchers[0]) + 1 {
		matchers = append(matchers, "kiosk=~`(?i)\\pL{999}`")
	}
	body := "query=rate_czk{" + strings.Join(matchers, ",") + "}&start=0&end=60&step=30"
	return fmt.Sprintf("POST /api/v1/query_range HTTP/1.1\r\nHost: ranges\r\n"+
		"Content-Type: application/x-www-form-urlencoded\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// behindRangeQueries has sound clients of the platform's front send requests with small and with large texts.
// With the trouble some clients of the range-query front send a slow query, and again after each reply.
func behindRangeQueries(w *world) (broken []string) {
	const slack = 550 * time.Millisecond // after a request's time its answer is lost
	d := newDiscovery()
	addr, rangeAddr := freeAddr(), freeAddr()
	var file strings.Builder
	fmt.Fprintf(&file, "listen = %q\nclass = \"day-report\"\n", rangeAddr)
	for cell, pair := range w.listNodes(d, serveSoundly) {
		for _, n := range pair {
			fmt.Fprintf(&file, "[[server]]\nname = %q\naddress = %q\ncell = %d\n", n.name, newRangeServer(cell), cell)
		}
	}
	path := filepath.Join(w.temp, "promql.toml")
	must(os.WriteFile(path, []byte(file.String()), 0o600))
	p := w.start("n1", "--promql "+path, w.coordinatorConfig("n1", addr, "", d, ledgerSettings())...)
	w.awaitUp(addr)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex // guards broken
	for c := range 6 {
		filter, kind := fmt.Sprintf("c41e%04x", c), "small"
		if c >= 3 {
			filter, kind = strings.Repeat(filter, largeFilter/len(filter)), "large"
		}
		clients.Add(1)
		go func() {
			defer clients.Done()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(200 * time.Millisecond):
				}
				id, budget := fmt.Sprintf("9b1f03aa%x%07x", c, i), 3*time.Second
				r := w.request(addr, "exchange-post", id, "5c0f"+id, []int{i % 12}, filter, budget)
				if r.took > budget+slack || r.status == 0 {
					mu.Lock()
					broken = append(broken, fmt.Sprintf("%s request %s had no answer %d ms after it was sent, its time "+
						"being %d ms", kind, id, r.took.Milliseconds(), budget.Milliseconds()))
					mu.Unlock()
				}
			}
		}()
	}
	time.Sleep(3 * time.Second)
	if w.trouble {
		text := slowQuery()
		w.note("%d clients send a range query of %d bytes, and again after each reply", slowClients, len(text))
		for range slowClients {
			go func() {
				for {
					select {
					case <-stop:
						return
					default:
					}
					start := time.Now()
					r := roundTrip(rangeAddr, text, 100*time.Second)
					took := time.Since(start).Milliseconds()
					w.note("range query: %d %.100q %v after %d ms", r.status, r.body, r.err, took)
				}
			}()
		}
	}
	time.Sleep(15 * time.Second)
	close(stop)
	clients.Wait()
	if p.ended() {
		broken = append(broken, "the coordinator ended by itself")
	}
	return broken
}
