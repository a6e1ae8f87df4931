package main

// Beside the cases: requests sent ahead on one connection in two batches, while data nodes hang.

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

func init() { cases["ahead"] = sentAhead }

// sentAhead has a client send three requests at once on a connection, and a fourth one 2.5 s later. With the
// trouble both data nodes of one cell hang.
func sentAhead(w *world) (broken []string) {
	const (
		budget = 3 * time.Second
		slack  = 550 * time.Millisecond // after a request's time its answer is lost
		pause  = 2500 * time.Millisecond
		cell   = 2
	)
	d := newDiscovery()
	var hanging atomic.Bool
	w.listNodes(d, func(n *node, p part) {
		if !hanging.Load() || p.shard%6 != cell {
			serveSoundly(n, p)
		}
	})
	addr := freeAddr()
	p := w.start("n1", "", w.coordinatorConfig("n1", addr, "", d, ledgerSettings())...)
	w.awaitUp(addr)
	for i := range 20 { // a coordinator in use
		id := fmt.Sprintf("9b1f03aa5c7e%04x", i)
		w.request(addr, "exchange-post", id, "5c0f"+id, []int{i % 12}, id, budget)
	}
	hanging.Store(w.trouble)
	w.note("the nodes of cell %d hang: %v", cell, w.trouble)
	c, err := net.Dial("tcp", addr)
	must(err)
	defer c.Close()
	sentAt := make([]time.Time, 4)
	request := func(i int) string {
		id := fmt.Sprintf("9b1f03aaffff%04x", i)
		body := fmt.Sprintf(`{"slices":[{"slice":%d,"mass":1}],"filter":"c41e"}`, cell)
		return fmt.Sprintf("POST /exchange-post HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: %s\r\n"+
			"X-Budget: %.3f\r\nIdempotency-Key: 5c0f%s\r\nContent-Length: %d\r\n\r\n%s", id, budget.Seconds(), id,
			len(body), body)
	}
	send := func(text string, numbers ...int) {
		for _, i := range numbers {
			sentAt[i] = time.Now()
		}
		_, err := io.WriteString(c, text)
		must(err)
		w.note("client sends the requests %v", numbers)
	}
	send(request(0)+request(1)+request(2), 0, 1, 2)
	go func() {
		time.Sleep(pause)
		send(request(3), 3)
	}()
	in := bufio.NewReader(c)
	_ = c.SetReadDeadline(time.Now().Add(12 * time.Second))
	for i := range sentAt {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			broken = append(broken, fmt.Sprintf("request %d has no answer: %v", i, err))
			break
		}
		b, _ := io.ReadAll(resp.Body)
		took := time.Since(sentAt[i])
		w.note("client got for request %d: %d %q after %d ms", i, resp.StatusCode, b, took.Milliseconds())
		if took > budget+slack {
			broken = append(broken, fmt.Sprintf("request %d was answered (%d) %d ms after it was sent, in place of %d",
				i, resp.StatusCode, took.Milliseconds(), budget.Milliseconds()))
		}
	}
	if p.ended() {
		broken = append(broken, "the coordinator ended by itself")
	}
	return broken
}
