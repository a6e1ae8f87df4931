package platform

import (
	"os"
	"syscall"
	"testing"
	"time"
)

// Any number of reloads that arrive during a reload must not displace the signal to end.
func TestEndIsNotLostBehindReloads(t *testing.T) {
	signals := Signals()
	for range 20 {
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Millisecond) // otherwise the system merges them: it takes several to fill a queue
	}
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond) // for it to find all queues full, if it had none of its own
	late := time.After(10 * time.Second)
	for n := 0; ; n++ {
		select {
		case s := <-signals:
			if s == syscall.SIGTERM {
				if n > 2 {
					t.Errorf("%d reloads were delivered before the end", n)
				}
				return
			}
		case <-late:
			t.Fatal("the end was lost")
		}
	}
}
