package net

import (
	"bytes"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// socketPair returns both ends of a connection.
func socketPair(t *testing.T) (one, other net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	if one, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if other, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = one.Close(); _ = other.Close() })
	return one, other
}

// fullSocket returns both ends of a connection, the first with full send buffers.
func fullSocket(t *testing.T) (full, other net.Conn, filled int) {
	t.Helper()
	full, other = socketPair(t)
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

// While the kernel accepts nothing, a message is rebuilt for each try, and the last version is sent.
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

// After Abort a pending write sends nothing more, and the other side sees the connection closed.
func TestAbortEndsAWriteThatWaits(t *testing.T) {
	full, other, _ := fullSocket(t)
	waits, done := make(chan struct{}, 16), make(chan error, 1)
	go func() {
		done <- NewSocket(full, 10*time.Second).WriteMessage(func() []byte { return []byte("late") },
			func(bool) { waits <- struct{}{} })
	}()
	<-waits
	if PeerClosed(full) || PeerClosed(other) {
		t.Fatal("closed before the abort")
	}
	Abort(full)
	if err := <-done; err == nil {
		t.Fatal("written after the abort")
	}
	all, err := io.ReadAll(other)
	if err != nil || bytes.Contains(all, []byte("late")) {
		t.Fatalf("%v: the message was sent after all", err)
	}
	if !PeerClosed(other) {
		t.Fatal("the close was not noticed")
	}
}

// Guards against a goroutine that ends a connection and is held up with another whose system call on it does
// not return.
func TestEndOfConnectionWaitsForNoCallOnIt(t *testing.T) {
	a, b := socketPair(t)
	entered, release := make(chan struct{}), make(chan struct{})
	go func() {
		_ = rawConn(a).Control(func(uintptr) {
			close(entered)
			<-release
		})
	}()
	<-entered
	closed := make(chan struct{})
	go func() {
		AbortAndClose(a)
		close(closed)
	}()
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Error("the end of the connection waits for a call on it")
	}
	_ = b.SetReadDeadline(time.Now().Add(time.Second))
	if _, err := b.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the peer is told %v while the call is held", err)
	}
	close(release)
	<-closed
}

// A signal or a momentary lack of memory makes poll fail: that must not be taken for an open connection.
func TestFailedPollIsRepeated(t *testing.T) {
	for _, failure := range []error{unix.EINTR, unix.EAGAIN} {
		looks := 0
		poll := func(fds []unix.PollFd, _ int) (int, error) {
			if looks++; looks < 3 {
				return -1, failure
			}
			fds[0].Revents = unix.POLLRDHUP
			return 1, nil
		}
		if !pollClosed(0, poll) {
			t.Errorf("%v: a closed connection counts as open", failure)
		}
	}
}

// When bytes that have waited unread are read, their arrival time is known.
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
	a := arrivalClock{raw: w.raw}
	now := time.Now()
	if age := now.Sub(a.arrivalTime(now)); age < waited/2 {
		t.Errorf("reported age %v after waiting %v", age, waited)
	}
	_ = client.Close()
	if _, err := w.conn.Read(make([]byte, 1)); err == nil {
		t.Fatal("no end of stream")
	}
	if now = time.Now(); !a.arrivalTime(now).Equal(now) {
		t.Error("an arrival time was reported for a closed connection")
	}
}

// A message that has waited is read in two parts, as a read may return only a part: both count from its
// arrival.
func TestAPieceThatIsReadLaterCountsFromItsArrival(t *testing.T) {
	w, client := replyPair(t)
	const waited = 300 * time.Millisecond
	if _, err := client.Write([]byte("xy")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(waited)
	a := arrivalClock{raw: w.raw}
	for range 2 {
		if _, err := w.conn.Read(make([]byte, 1)); err != nil {
			t.Fatal(err)
		}
		now := time.Now()
		if age := now.Sub(a.arrivalTime(now)); age < waited/2 {
			t.Errorf("reported age %v after waiting %v", age, waited)
		}
	}
}

// What a short read has left in the socket is read without waiting, and nothing is waited for.
func TestReadWaitingTakesWhatAShortReadLeft(t *testing.T) {
	w, client := replyPair(t)
	if _, err := client.Write([]byte("abc")); err != nil {
		t.Fatal(err)
	}
	reader := NewRetryingReader(w.conn)
	b := make([]byte, 8)
	if n, err := reader.Read(b[:1]); n != 1 || err != nil {
		t.Fatal(n, err)
	}
	if n := reader.ReadWaiting(b); string(b[:n]) != "bc" {
		t.Errorf("%q", b[:n])
	}
	if n := reader.ReadWaiting(b); n != 0 {
		t.Errorf("%q, and nothing was sent", b[:n])
	}
	if err := client.Close(); err != nil {
		t.Fatal(err)
	}
	if n, err := reader.Read(b); n != 0 || err == nil {
		t.Errorf("%d %v behind the end", n, err)
	}
}
