package main

// Cases 8 and 9: spoilt answers of data nodes.

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"sync"
	"time"
)

func init() {
	cases["8"] = func(w *world) []string { return spoiltAnswers(w, shortLength) }
	cases["9"] = func(w *world) []string { return spoiltAnswers(w, noise) }
}

// shortLength returns an answer whose frame says four bytes less than there are.
func shortLength(id, v string) []byte {
	b := frame(id, "S", report, v)
	binary.LittleEndian.PutUint32(b, uint32(len(b)-4-4))
	return b
}

// noise returns an answer whose value is spoilt by noise: each byte has its high bit set.
func noise(id, v string) []byte {
	spoilt := []byte(v)
	for i := range spoilt {
		spoilt[i] |= 0x80
	}
	return frame(id, "S", report, string(spoilt))
}

// spoiltAnswers has each node spoil one in some of its answers, and compares what clients are served with
// what the nodes hold. A connection that carried a spoilt answer carries no further one.
func spoiltAnswers(w *world, spoil func(id, v string) []byte) (broken []string) {
	d := newDiscovery()
	var mu sync.Mutex
	answered, unusable := 0, map[any]bool{}
	w.listNodes(d, func(n *node, p part) {
		time.Sleep(10 * time.Millisecond)
		mu.Lock()
		if unusable[p.conn] {
			mu.Unlock()
			return
		}
		answered++
		spoilt := w.trouble && answered%10 == 0
		unusable[p.conn] = spoilt
		mu.Unlock()
		b := frame(p.id, "S", report, value(p.shard, p.text))
		if spoilt {
			b = spoil(p.id, value(p.shard, p.text))
		}
		w.note("%s answers %s spoilt=%v: %q", n.name, p.id, spoilt, b)
		p.send(b)
	})
	addr := freeAddr()
	w.start("n1", "", w.coordinatorConfig("n1", addr, "", d, ledgerSettings())...)
	w.awaitUp(addr)
	for i := range 60 {
		id, filter := fmt.Sprintf("9b1f03aa5c7e%04x", i), fmt.Sprintf("c41e%04x", i)
		shards := []int{i % 12, (i + 5) % 12, (i + 7) % 12}
		r := w.request(addr, "rate-check", id, "", shards, filter, 4*time.Second)
		if r.status != 200 {
			continue
		}
		var a answer
		if err := json.Unmarshal([]byte(r.body), &a); err != nil {
			broken = append(broken, fmt.Sprintf("%s: unreadable answer %q", id, r.body))
		}
		for _, item := range a.Items {
			if made := value(item.Slice, filter); item.Body != made {
				broken = append(broken, fmt.Sprintf("%s was served %q for slice %d, entire=%v: made for it was %q",
					id, item.Body, item.Slice, a.Entire, made))
			}
		}
	}
	return broken
}
