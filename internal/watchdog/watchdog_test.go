package watchdog

import (
	"testing"
	"time"
)

// A call that does not return is reported at each scan, with a growing number of ticks; one that has
// returned is not reported.
func TestHeldCallsAreReportedUntilTheyEnd(t *testing.T) {
	var w Watchdog
	reported := make(chan int, 100)
	quick := w.Begin(func(int) { t.Error("a call that has returned is reported") })
	w.End(quick)
	held := w.Begin(func(ticks int) { reported <- ticks })
	for want := 1; want <= 3; want++ {
		select {
		case got := <-reported:
			if got != want {
				t.Fatalf("%d ticks, want %d", got, want)
			}
		case <-time.After(10 * time.Second):
			t.Fatal("a held call is not reported")
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
			t.Fatal("it keeps scanning without any call")
		}
	}
	again := make(chan int, 100)
	defer w.End(w.Begin(func(ticks int) { again <- ticks }))
	select {
	case <-again:
	case <-time.After(10 * time.Second):
		t.Error("a call after a time without calls is not reported")
	}
}
