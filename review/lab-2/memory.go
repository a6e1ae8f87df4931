package main

// Case 6: range queries beside the platform's front, and clients that send hundreds of them at once.

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["6"] = hundredsOfRangeQueries }

const (
	seriesOfShard = 15000 // in each server's reply: some 640 KB
	badClients    = 200
	rangeTarget   = "/api/v1/query_range?query=rate_czk&start=0&end=60&step=30"
)

// memoryInUse returns a process's memory that is backed by no file, in MB.
func memoryInUse(pid int) int {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for _, line := range strings.Split(string(b), "\n") {
		if v, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(v)[0])
			return kb >> 10
		}
	}
	return 0
}

// newRangeServer starts a range-query server that holds the series of a cell, and returns its address.
func newRangeServer(cell int) string {
	var out bytes.Buffer
	out.WriteString(`{"status":"success","data":{"resultType":"matrix","result":[`)
	for i := range seriesOfShard {
		if i > 0 {
			out.WriteByte(',')
		}
		fmt.Fprintf(&out, `{"metric":{"kiosk":"%d-%d"},"values":[[0,"1"]]}`, cell, i)
	}
	out.WriteString(`]}}`)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
			rw.Header().Set("Content-Type", "application/json")
			_, _ = rw.Write(out.Bytes())
		}))
	}()
	return l.Addr().String()
}

// hundredsOfRangeQueries stands in for the platform, which kills a coordinator that is over its memory limit.
func hundredsOfRangeQueries(w *world) (broken []string) {
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

	stop, killed := make(chan struct{}), make(chan struct{})
	var clients sync.WaitGroup
	var peak atomic.Int64
	clients.Add(1)
	go func() { // the platform
		defer clients.Done()
		for {
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
			mb := int64(memoryInUse(p.cmd.Process.Pid))
			peak.Store(max(peak.Load(), mb))
			if mb > memoryMB {
				w.note("n1 holds %d MB of its %d: the platform kills it", mb, memoryMB)
				p.signal(syscall.SIGKILL)
				close(killed)
				return
			}
		}
	}()
	var mu sync.Mutex
	counts := map[string]int{}
	lost := 0
	client := func(pause time.Duration, play func(i int)) {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-killed:
					return
				case <-time.After(pause):
					play(i)
				}
			}
		}()
	}
	for c := range 4 { // sound clients of the platform's front
		client(50*time.Millisecond, func(i int) {
			id := fmt.Sprintf("9b1f03aa%x%07x", c, i)
			r := w.request(addr, "rate-check", id, "", []int{i % 12, (i + 1) % 12, (i + 2) % 12}, id, 4*time.Second)
			if r.status == 0 {
				mu.Lock()
				lost++
				mu.Unlock()
			}
		})
	}
	ask := func(who string) {
		r := roundTrip(rangeAddr, "GET "+rangeTarget+" HTTP/1.1\r\nHost: ranges\r\n\r\n", 12*time.Second)
		mu.Lock()
		counts[fmt.Sprintf("%s %d", who, r.status)]++
		mu.Unlock()
	}
	client(500*time.Millisecond, func(int) { ask("sound") })
	time.Sleep(5 * time.Second)
	w.note("before the trouble n1 held %d MB at most", peak.Load())
	if w.trouble {
		w.note("%d clients send range queries at once, and again as soon as they are turned away", badClients)
		for range badClients {
			client(10*time.Millisecond, func(int) { ask("bad") })
		}
	}
	select {
	case <-killed:
	case <-p.done:
	case <-time.After(15 * time.Second):
	}
	close(stop)
	clients.Wait()
	w.note("range queries by client and status: %v; n1 held %d MB at most", counts, peak.Load())
	select {
	case <-killed:
		broken = append(broken, fmt.Sprintf("the coordinator held %d MB of its %d and was killed; "+
			"%d open requests of sound clients got no answer", peak.Load(), memoryMB, lost))
	default:
		if p.ended() {
			broken = append(broken, "the coordinator ended by itself")
		}
	}
	return broken
}
