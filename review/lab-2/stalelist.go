package main

// Case 10: a drain that the coordinator knows of, discovery that is down for some seconds, and an upgrade.

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["10"] = func(w *world) []string { return staleList(w, true) }
	cases["restart"] = func(w *world) []string { return staleList(w, false) }
}

// staleList lets a data node begin to drain, and then upgrades or restarts the coordinator. With the trouble
// discovery is down from before that until some seconds after.
func staleList(w *world, upgrade bool) (broken []string) {
	const grace = 550 * time.Millisecond // rules.drainGraceUs, and 50 ms on sockets
	d := newDiscovery()
	nodes := w.listNodes(d, serveSoundly)
	addr, operator := freeAddr(), freeAddr()
	env := w.coordinatorConfig("n1", addr, operator, d, ledgerSettings()) // with the list of now as known
	first := w.start("n1", "", env...)
	w.awaitUp(addr)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for c := range 4 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				id := fmt.Sprintf("9b1f03aa%x%07x", c, i)
				w.request(addr, "rate-check", id, "", []int{i % 12, (i + 1) % 12, (i + 2) % 12}, id, 4*time.Second)
			}
		}()
	}
	time.Sleep(2 * time.Second)
	drains := nodes[2][0]
	for _, h := range d.list(0).Hosts {
		if h.Host == drains.name {
			h.Health = "terminating"
			d.set(h)
		}
	}
	told := time.Now()
	w.note("discovery tells that %s drains", drains.name)
	time.Sleep(2 * time.Second)
	if w.trouble {
		d.goDown()
		w.note("discovery is down")
	}
	time.Sleep(200 * time.Millisecond)
	var binding time.Time
	if upgrade {
		next := freeAddr()
		w.start("n1-new", "", w.with(env, "n1", addr, next, d)...)
		waitFor("the new process's yes", 20*time.Second,
			func() bool { return get(next, "/admin/health").status/100 == 2 })
		w.note("the new process says yes: SIGTERM to the old one")
		binding = time.Now().Add(2 * time.Second) // what discovery tells is binding again 2 s after the yes
		first.signal(syscall.SIGTERM)
	} else {
		first.signal(syscall.SIGKILL)
		<-first.done
		time.Sleep(300 * time.Millisecond)
		w.start("n1-new", "", env...)
		w.awaitUp(addr)
		binding = time.Now()
	}
	time.Sleep(5 * time.Second)
	d.comeBack()
	w.note("discovery is back")
	time.Sleep(1 * time.Second)
	close(stop)
	clients.Wait()
	for _, p := range drains.received() {
		if p.at.After(told.Add(grace)) && p.at.After(binding.Add(grace)) {
			broken = append(broken, fmt.Sprintf("%s got part %s %d ms after the coordinator was told that it drains",
				drains.name, p.id, p.at.Sub(told).Milliseconds()))
		}
	}
	return broken
}

// with writes the same configuration with another operators' address, and with the list known to the first.
func (w *world) with(env []string, name, listen, operator string, d *discovery) []string {
	out := append([]string(nil), env...)
	for i, v := range out {
		if len(v) > 15 && v[:15] == "RELAY_OPERATOR=" {
			out[i] = "RELAY_OPERATOR=" + operator
		}
	}
	return w.copyConfig(out, name, operator)
}
