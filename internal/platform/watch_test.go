package platform

// Races and failures of the watch. The stand-in for discovery is scripted: a test receives each call and
// decides when, and how much of, an answer is sent.

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lapislever/balance"
	"lapislever/internal/standin"
)

// scriptedDiscovery is a stand-in for discovery that passes each call to a function, with the connection
// that it came on.
type scriptedDiscovery struct {
	addr string
	mu   sync.Mutex
	seen []string
}

func newScripted(t *testing.T, f func(n int, query string, c *net.TCPConn)) *scriptedDiscovery {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	d := &scriptedDiscovery{addr: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				for br := bufio.NewReader(c); ; {
					r, err := http.ReadRequest(br)
					if err != nil {
						_ = c.Close()
						return
					}
					d.mu.Lock()
					d.seen = append(d.seen, r.URL.RawQuery)
					n := len(d.seen)
					d.mu.Unlock()
					f(n, r.URL.RawQuery, c.(*net.TCPConn))
				}
			}()
		}
	}()
	return d
}

func (d *scriptedDiscovery) count() int { return len(d.queries()) }

// queries returns the query strings of all calls so far.
func (d *scriptedDiscovery) queries() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string(nil), d.seen...)
}

// listBody returns the body of an answer.
func listBody(seq int, whole bool, hosts ...host) string {
	b, _ := json.Marshal(hostList{Seq: int64(seq), Complete: whole, Hosts: hosts})
	return string(b)
}

// writeList writes a complete answer.
func writeList(c net.Conn, body string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// resetConn ends a connection by a reset.
func resetConn(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// expectNoParts checks that queries are answered and that no part of them goes to a node that drains.
func expectNoParts(t *testing.T, k *Coordinator, draining *standin.Node) {
	t.Helper()
	before := len(draining.Parts())
	for range 20 {
		if r := post(t, k, "rate-check", 0); r.Status != 200 {
			t.Fatalf("%d %s", r.Status, r.Body)
		}
	}
	if n := len(draining.Parts()) - before; n != 0 {
		t.Fatalf("%d parts went to a node that drains", n)
	}
}

// With the chosen time limits, a change that one call misses is received before it counts as announced.
func TestWatchTimesKeepThePropagationLimit(t *testing.T) {
	us := func(m balance.Micros) time.Duration { return time.Duration(m) * time.Microsecond }
	for name, worst := range map[string]time.Duration{
		"pushed, fallen silent":       pushTimes.undetectedSilence() + pushTimes.limit,
		"polled, fallen silent":       pollTimes.undetectedSilence() + pollTimes.limit,
		"polled, after many failures": us(balance.MaxListRetryDelay) + pollTimes.limit,
	} {
		if worst > propagationLimit {
			t.Errorf("%s: received after %v, announced after %v", name, worst, propagationLimit)
		}
	}
}

// However a call ends without an answer, the full list is requested again, and nodes that it does not name
// are gone even if they still answer. Data before a reset, or of an answer without an end, is not an
// answer.
func TestWatchThatEndsWithoutAnAnswer(t *testing.T) {
	for name, end := range map[string]func(c *net.TCPConn, wrong string){
		"silent": func(*net.TCPConn, string) {},
		"closed": func(c *net.TCPConn, _ string) { _ = c.Close() },
		"reset":  func(c *net.TCPConn, _ string) { resetConn(c) },
		"500": func(c *net.TCPConn, _ string) {
			fmt.Fprint(c, "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n")
		},
		"no JSON":   func(c *net.TCPConn, _ string) { writeList(c, "{") },
		"half head": func(c *net.TCPConn, _ string) { fmt.Fprint(c, "HTTP/1.1 200 OK\r\nConte"); _ = c.Close() },
		"without a length, and reset": func(c *net.TCPConn, wrong string) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n\r\n%s", wrong)
			time.AfterFunc(50*time.Millisecond, func() { resetConn(c) }) // its bytes are read, or the call is over
		},
		"without an end": func(c *net.TCPConn, wrong string) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(wrong), wrong)
		},
	} {
		t.Run(strings.ReplaceAll(name, " ", "_"), func(t *testing.T) {
			t.Parallel()
			a, b := standin.NewNode(t, answerAll), standin.NewNode(t, answerAll)
			both := []host{hostAt("a", a.Addr, 0), hostAt("b", b.Addr, 0)}
			var ended atomic.Bool
			d := newScripted(t, func(n int, query string, c *net.TCPConn) {
				switch {
				case n == 1:
					writeList(c, listBody(1, true, both...))
				case query != "" && ended.CompareAndSwap(false, true):
					end(c, listBody(2, true, hostAt("wrong", a.Addr, 0)))
				case query == "":
					var indented strings.Builder
					e := json.NewEncoder(&indented)
					e.SetIndent("", "    ")
					_ = e.Encode(hostList{Seq: 3, Complete: true, Hosts: both[1:]})
					writeList(c, indented.String())
				}
			})
			k := startReady(t, testConfig(t, &discovery{addr: d.addr}))
			standin.WaitFor(t, "the full list", func() bool { return k.core.Counts().ListedServers.Load() == 1 })
			d.mu.Lock()
			for _, query := range d.seen {
				if strings.HasPrefix(query, "index=2&") {
					t.Error("a list without an end was accepted")
				}
			}
			d.mu.Unlock()
			before := len(a.Parts())
			for range 20 {
				if r := post(t, k, "rate-check", 0); r.Status != 200 {
					t.Fatalf("%d %s", r.Status, r.Body)
				}
			}
			if n := len(a.Parts()) - before; n != 0 || len(b.Parts()) == 0 {
				t.Fatalf("%d parts went to a node that is gone, %d to the other", n, len(b.Parts()))
			}
		})
	}
}

// Discovery is silent and then answers again. Calls continue in the meantime, so that the first one that
// it can answer reports the changes.
func TestWatchKeepsCallingWhileDiscoveryIsDown(t *testing.T) {
	a, b := standin.NewNode(t, answerAll), standin.NewNode(t, answerAll)
	both := []host{hostAt("a", a.Addr, 0), hostAt("b", b.Addr, 0)}
	var mu sync.Mutex
	down := false
	d := newScripted(t, func(n int, query string, c *net.TCPConn) {
		mu.Lock()
		defer mu.Unlock()
		if !down && query == "" {
			writeList(c, listBody(n, true, both...))
		}
	})
	k := startReady(t, testConfig(t, &discovery{addr: d.addr}))
	mu.Lock()
	down = true
	mu.Unlock()
	calls := d.count()
	standin.WaitFor(t, "calls to a silent discovery", func() bool { return d.count() > calls+8 })
	mu.Lock()
	both[0].Health = "terminating"
	calls, down = d.count(), false
	mu.Unlock()
	// Until that watch the full list is requested.
	standin.WaitFor(t, "the watch that follows the answer", func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return slices.ContainsFunc(d.seen[calls:], func(q string) bool { return q != "" })
	})
	expectNoParts(t, k, a)
}

// A new process knows an outdated list. Discovery's state counts from the first moment, so no client is
// sent here before the full list has arrived, and afterwards only that list counts.
func TestStartWaitsForDiscovery(t *testing.T) {
	a, b := standin.NewNode(t, answerAll), standin.NewNode(t, answerAll)
	both := []host{hostAt("a", a.Addr, 0), hostAt("b", b.Addr, 0)}
	draining := []host{both[0], both[1]}
	draining[0].Health = "terminating"
	called, release := make(chan struct{}, 100), make(chan struct{})
	d := newScripted(t, func(n int, query string, c *net.TCPConn) {
		called <- struct{}{}
		if query == "" {
			<-release
			writeList(c, listBody(9, true, draining...))
		}
	})
	c := testConfig(t, &discovery{addr: d.addr})
	c.Known = &hostList{Seq: 7, Complete: true, Hosts: both}
	k, err := Start(c, standin.DiscardLogger())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(k.Close)
	<-called
	<-k.listKnown // the old list has been taken in
	if k.front.ready.Load() {
		t.Fatal("ready with an old list only")
	}
	close(release)
	standin.WaitFor(t, "readiness", k.front.ready.Load)
	standin.WaitFor(t, "the list", func() bool { _, open := <-k.watcher.gotFullList; return !open })
	expectNoParts(t, k, a)
	if n := len(a.Parts()); n != 0 {
		t.Fatalf("%d parts went to a node that drains", n)
	}
}

// Where the list is polled, a call that fell silent is repeated at once, from the known version. After a
// refusal the module decides how long to wait. Either way the change is received.
func TestPolledWatchIsRenewedAfterSilence(t *testing.T) {
	a, b := standin.NewNode(t, answerAll), standin.NewNode(t, answerAll)
	both := []host{hostAt("a", a.Addr, 0), hostAt("b", b.Addr, 0)}
	draining := both[0]
	draining.Health = "terminating"
	times := make(chan time.Time, 2)
	d := newScripted(t, func(n int, _ string, c *net.TCPConn) {
		switch n {
		case 1:
			writeList(c, listBody(1, true, both...))
		case 2: // silent
			times <- time.Now()
		case 3:
			times <- time.Now()
			writeList(c, listBody(2, false, draining))
		}
	})
	k := startReady(t, testConfig(t, &discovery{addr: d.addr}, `"membershipMode":"automatic"`,
		`"membershipMode":"subscribe"`))
	standin.WaitFor(t, "the next call", func() bool { return d.count() >= 4 })
	seen := d.queries()
	if seen[2] != "index=1&wait=2500" || seen[3] != "index=2&wait=2500" {
		t.Fatalf("%q", seen)
	}
	silent, repeated := <-times, <-times
	if gap := repeated.Sub(silent); gap < pollTimes.undetectedSilence()-50*time.Millisecond {
		t.Fatalf("the call was abandoned after %v", gap)
	}
	expectNoParts(t, k, a)
}

// The watch continues from a known list of any version, 0 included. Thirty coordinators that requested the
// full list at their start kept discovery from sending any of them the changes of that time.
func TestPolledWatchContinuesFromAKnownList(t *testing.T) {
	a, b := standin.NewNode(t, answerAll), standin.NewNode(t, answerAll)
	both := []host{hostAt("a", a.Addr, 0), hostAt("b", b.Addr, 0)}
	draining := both[0]
	draining.Health = "terminating"
	d := newScripted(t, func(n int, _ string, c *net.TCPConn) {
		if n == 1 {
			writeList(c, listBody(1, false, draining))
		}
	})
	c := testConfig(t, &discovery{addr: d.addr}, `"membershipMode":"automatic"`, `"membershipMode":"subscribe"`)
	c.Known = &hostList{Seq: 0, Complete: true, Hosts: both}
	k := startReady(t, c)
	standin.WaitFor(t, "the next call", func() bool { return d.count() >= 2 })
	seen := d.queries()
	if seen[0] != "index=0&wait=2500" || seen[1] != "index=1&wait=2500" {
		t.Fatalf("%q", seen)
	}
	expectNoParts(t, k, a)
}

// An overdue call is not cancelled for the next one: whichever is answered first counts. An agent that
// recovers only answers new calls, and a slow one answers the old ones.
func TestOverdueCallStaysInFlightBesideTheNext(t *testing.T) {
	a, b := standin.NewNode(t, answerAll), standin.NewNode(t, answerAll)
	both := []host{hostAt("a", a.Addr, 0), hostAt("b", b.Addr, 0)}
	overdue := make(chan *net.TCPConn, 1)
	d := newScripted(t, func(n int, _ string, c *net.TCPConn) {
		switch n {
		case 1:
			writeList(c, listBody(1, true, both...))
		case 3: // the first after a silent watch
			overdue <- c
		case 4: // made while that one waits, and never answered
			writeList(<-overdue, listBody(2, true, both[1:]...))
		}
	})
	k := startReady(t, testConfig(t, &discovery{addr: d.addr}))
	standin.WaitFor(t, "the overdue answer", func() bool { return k.core.Counts().ListedServers.Load() == 1 })
}
