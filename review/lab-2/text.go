package main

// Beside the cases: a query whose text cannot be read.

import (
	"fmt"
	"time"
)

func init() { cases["text"] = unreadableText }

// unreadableText sends queries whose filter, with the trouble, has half of a surrogate pair: no Unicode text
// can be made of it. Sound queries go between them.
func unreadableText(w *world) (broken []string) {
	d := newDiscovery()
	nodes := w.listNodes(d, serveSoundly)
	addr := freeAddr()
	w.start("n1", "", w.coordinatorConfig("n1", addr, "", d, ledgerSettings())...)
	w.awaitUp(addr)
	sent := map[string]string{} // texts by id
	for i := range 40 {
		id, filter := fmt.Sprintf("9b1f03aa5c7e%04x", i), fmt.Sprintf("c41e%04x77d0", i)
		escaped := filter
		if bad := w.trouble && i%4 == 3; bad {
			escaped = fmt.Sprintf(`c41e\ud83d%04x`, i)
			filter = "" // no text is meant by it
		}
		body := fmt.Sprintf(`{"slices":[{"slice":%d,"mass":1}],"filter":"%s"}`, i%12, escaped)
		w.note("client sends exchange-post %s: %s", id, body)
		sent[id] = filter
		r := roundTrip(addr, fmt.Sprintf("POST /exchange-post HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: %s\r\n"+
			"X-Budget: 3.000\r\nIdempotency-Key: 5c0f%s\r\nContent-Length: %d\r\n\r\n%s", id, id, len(body), body),
			4*time.Second)
		w.note("client got for %s: %d %q %v", id, r.status, r.body, r.err)
		if filter == "" && r.status == 200 {
			broken = append(broken, fmt.Sprintf("%s was served (%q): an error is owed to it", id, r.body))
		}
	}
	for _, pair := range nodes {
		for _, n := range pair {
			for _, p := range n.received() {
				if id := p.id[:16]; p.text != sent[id] {
					broken = append(broken, fmt.Sprintf("%s got part %s with the text %q, which no client has sent", n.name,
						p.id, p.text))
				}
			}
		}
	}
	return broken
}
