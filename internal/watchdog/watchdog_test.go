package watchdog

import (
	"testing"
	"time"
)

// A call that does not return is told of at each look, for longer each time; one that has returned is not.
func TestHeldCallsAreToldUntilTheyEnd(t *testing.T) {
	var w Watchdog
	told := make(chan int, 100)
	quick := w.Begin(func(int) { t.Error("a call that has returned is told of") })
	w.End(quick)
	held := w.Begin(func(ticks int) { told <- ticks })
	for want := 1; want <= 3; want++ {
		select {
		case got := <-told:
			if got != want {
				t.Fatalf("%d ticks, want %d", got, want)
			}
		case <-time.After(10 * time.Second):
			t.Fatal("a held call is not told of")
		}
	}
	w.End(held)
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(Tick) {
		w.mu.Lock()
		running := w.running
		w.mu.Unlock()
		if !running {
			break
		}
		if time.Now().After(end) {
			t.Fatal("it goes on looking at nothing")
		}
	}
	again := make(chan int, 100)
	defer w.End(w.Begin(func(ticks int) { again <- ticks }))
	select {
	case <-again:
	case <-time.After(10 * time.Second):
		t.Error("a call behind a time without any is not told of")
	}
}
