package platform

import (
	"os"
	"syscall"
	"testing"
	"time"
)

// Reloads that come in any number while one is being done take no end's place.
func TestEndIsNotLostBehindReloads(t *testing.T) {
	signals := Signals()
	for range 20 {
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Millisecond) // else the system makes one of them: it takes several to fill a place
	}
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond) // for it to find all places taken, if there are none of its own
	late := time.After(10 * time.Second)
	for n := 0; ; n++ {
		select {
		case s := <-signals:
			if s == syscall.SIGTERM {
				if n > 2 {
					t.Errorf("%d reloads went before the end", n)
				}
				return
			}
		case <-late:
			t.Fatal("the end was lost")
		}
	}
}
