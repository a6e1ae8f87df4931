package net

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"lapislever/internal/watchdog"
)

// replyPair is the writer of replies on a connection, and the client's side of it.
func replyPair(t *testing.T) (*replyWriter, net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	server, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close(); _ = server.Close() })
	_ = client.SetDeadline(time.Now().Add(10 * time.Second))
	return newReplyWriter(server, &watchdog.Watchdog{}), client
}

// writeRaw is what a held thread does once it goes on.
func writeRaw(t *testing.T, w *replyWriter, text string) (err error) {
	t.Helper()
	failure := w.raw.Control(func(fd uintptr) { _, err = write(int(fd), []byte(text)) })
	if failure != nil {
		t.Fatal(failure)
	}
	return err
}

// Replies are written, and the last one's thread is held before its system call: the client gets it all the
// same, once, and the held call puts nothing out when it goes on.
func TestAHeldReplyIsFinishedOnce(t *testing.T) {
	w, client := replyPair(t)
	piece := &replyPiece{w: w, limit: time.Second, last: true}
	for range 3 {
		if _, err := piece.Write([]byte("one;")); err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(client, make([]byte, 4)); err != nil {
			t.Fatal(err)
		}
	}
	w.rest, w.last = []byte("two;"), true
	w.held(rescueTicks - 1)
	if w.wasRescued() {
		t.Fatal("finished too soon")
	}
	w.held(rescueTicks)
	if !w.wasRescued() {
		t.Fatal("not finished")
	}
	w.held(2 * rescueTicks)
	if err := writeRaw(t, w, "two;"); !errors.Is(err, unix.EPIPE) {
		t.Errorf("the held call ended with %v", err)
	}
	got, err := io.ReadAll(client)
	if err != nil || string(got) != "two;" {
		t.Errorf("the client has %q, %v", got, err)
	}
}

// The held thread's bytes have gone out, or a part of a longer reply is under way: nobody else writes then.
func TestAReplyThatWentOutIsNotWrittenAgain(t *testing.T) {
	w, client := replyPair(t)
	w.rest, w.last = []byte("one;"), true
	if err := writeRaw(t, w, "one;"); err != nil {
		t.Fatal(err)
	}
	w.held(rescueTicks)
	w.rest, w.last, w.sent = []byte("two;"), false, 4
	w.held(rescueTicks)
	if w.wasRescued() {
		t.Fatal("written again")
	}
	_ = w.conn.Close()
	if got, err := io.ReadAll(client); err != nil || string(got) != "one;" {
		t.Errorf("the client has %q, %v", got, err)
	}
}

// The system takes a byte or two at a time: a reply that is finished for a held writer is whole all the same.
func TestAFinishedReplyIsWhole(t *testing.T) {
	var got []byte
	n := writeAll([]byte("reply"), func(b []byte) (int, error) {
		k := min(len(b), 2)
		got = append(got, b[:k]...)
		return k, nil
	})
	if n != 5 || string(got) != "reply" {
		t.Errorf("%d bytes, %q", n, got)
	}
	if n = writeAll([]byte("reply"), func(b []byte) (int, error) { return 0, unix.EAGAIN }); n != 0 {
		t.Errorf("%d bytes where the system takes none", n)
	}
}
