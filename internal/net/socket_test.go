package net

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// fullSocket is one end of a connection of which the system takes no byte more, and the other end.
func fullSocket(t *testing.T) (full, other net.Conn, filled int) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	if full, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if other, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = full.Close(); _ = other.Close() })
	_ = full.(*net.TCPConn).SetWriteBuffer(4 << 10)
	_ = other.(*net.TCPConn).SetReadBuffer(4 << 10)
	for junk := bytes.Repeat([]byte("x"), 4<<10); ; {
		_ = full.SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
		n, err := full.Write(junk)
		if filled += n; err != nil {
			_ = full.SetWriteDeadline(time.Time{})
			return full, other, filled
		}
	}
}

// While the system takes nothing a message is not begun: it is put together anew for each try, and the last
// form goes out.
func TestMessageIsPutTogetherWhenItCanGoOut(t *testing.T) {
	full, other, filled := fullSocket(t)
	forms := [][]byte{[]byte("first"), []byte("second")}
	var tries []bool
	waits := make(chan struct{})
	done := make(chan error, 1)
	go func() {
		done <- NewSocket(full, 10*time.Second).WriteMessage(
			func() []byte { return forms[min(len(tries), 1)] },
			func(out bool) {
				if tries = append(tries, out); len(tries) == 1 {
					close(waits)
				}
			})
	}()
	<-waits
	got := make([]byte, filled+len(forms[1]))
	if _, err := io.ReadFull(other, got); err != nil {
		t.Fatal(err)
	}
	if err := <-done; err != nil || string(got[filled:]) != "second" {
		t.Fatalf("%v, %q", err, got[filled:])
	}
	if tries[0] || !tries[len(tries)-1] {
		t.Fatalf("tries %v", tries)
	}
}

// After Abort nothing goes out any more, whatever waits to; and a client that has closed is seen to have
// left.
func TestAbortEndsAWriteThatWaits(t *testing.T) {
	full, other, _ := fullSocket(t)
	waits, done := make(chan struct{}, 16), make(chan error, 1)
	go func() {
		done <- NewSocket(full, 10*time.Second).WriteMessage(func() []byte { return []byte("late") },
			func(bool) { waits <- struct{}{} })
	}()
	<-waits
	if PeerLeft(full) || PeerLeft(other) {
		t.Fatal("left before the end")
	}
	Abort(full)
	if err := <-done; err == nil {
		t.Fatal("written after the abort")
	}
	all, err := io.ReadAll(other)
	if err != nil || bytes.Contains(all, []byte("late")) {
		t.Fatalf("%v: the message came after all", err)
	}
	if !PeerLeft(other) {
		t.Fatal("the end is not seen")
	}
}

// A signal, or memory that is short for a moment, breaks a look at a client's connection off: that does not
// pass for 'still there'.
func TestABrokenLookAtAClientIsMadeAgain(t *testing.T) {
	for _, failure := range []error{unix.EINTR, unix.EAGAIN} {
		looks := 0
		poll := func(fds []unix.PollFd, _ int) (int, error) {
			if looks++; looks < 3 {
				return -1, failure
			}
			fds[0].Revents = unix.POLLRDHUP
			return 1, nil
		}
		if !hasEnded(0, poll) {
			t.Errorf("%v: a client that has left passes for one that is there", failure)
		}
	}
}

// Bytes wait unread: when they are read at last, it is known since when they have been there.
func TestBytesThatWaitedCountFromTheirArrival(t *testing.T) {
	w, client := replyPair(t)
	const waited = 300 * time.Millisecond
	if _, err := client.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(waited)
	if _, err := w.conn.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	a := arrivals{raw: w.raw}
	now := time.Now()
	if age := now.Sub(a.at(now)); age < waited/2 {
		t.Errorf("they count as %v old, and have waited for %v", age, waited)
	}
	_ = client.Close()
	if _, err := w.conn.Read(make([]byte, 1)); err == nil {
		t.Fatal("no end")
	}
	if now = time.Now(); !a.at(now).Equal(now) {
		t.Error("a time is told of a connection that has ended")
	}
}

// A message that waited is read in two pieces, as the system may give a part only: both count from its
// arrival.
func TestAPieceThatIsReadLaterCountsFromItsArrival(t *testing.T) {
	w, client := replyPair(t)
	const waited = 300 * time.Millisecond
	if _, err := client.Write([]byte("xy")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(waited)
	a := arrivals{raw: w.raw}
	for range 2 {
		if _, err := w.conn.Read(make([]byte, 1)); err != nil {
			t.Fatal(err)
		}
		now := time.Now()
		if age := now.Sub(a.at(now)); age < waited/2 {
			t.Errorf("it counts as %v old, and has waited for %v", age, waited)
		}
	}
}
