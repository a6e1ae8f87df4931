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

// replyPair returns the reply writer of a connection and the client's side of it.
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

// writeRaw makes the write call that a stuck thread makes once it resumes.
func writeRaw(t *testing.T, w *replyWriter, text string) (err error) {
	t.Helper()
	failure := w.raw.Control(func(fd uintptr) { _, err = write(int(fd), []byte(text)) })
	if failure != nil {
		t.Fatal(failure)
	}
	return err
}

// The thread that writes a reply is stuck before its system call: the client must still get the reply,
// exactly once, and the stuck call must send nothing when it resumes.
func TestStuckReplyIsTakenOverOnce(t *testing.T) {
	w, client := replyPair(t)
	chunk := &replyChunk{w: w, timeout: time.Second, final: true}
	for range 3 {
		if _, err := chunk.Write([]byte("one;")); err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(client, make([]byte, 4)); err != nil {
			t.Fatal(err)
		}
	}
	w.pending, w.final = []byte("two;"), true
	w.takeOver(takeoverTicks - 1)
	if w.wasTakenOver() {
		t.Fatal("taken over too soon")
	}
	w.takeOver(takeoverTicks)
	if !w.wasTakenOver() {
		t.Fatal("not taken over")
	}
	w.takeOver(2 * takeoverTicks)
	if err := writeRaw(t, w, "two;"); !errors.Is(err, unix.EPIPE) {
		t.Errorf("the stuck call returned %v", err)
	}
	got, err := io.ReadAll(client)
	if err != nil || string(got) != "two;" {
		t.Errorf("the client received %q, %v", got, err)
	}
}

// If the stuck thread's bytes have already been sent, or belong to the middle of a longer reply, the reply
// must not be taken over.
func TestSentReplyIsNotTakenOver(t *testing.T) {
	w, client := replyPair(t)
	w.pending, w.final = []byte("one;"), true
	if err := writeRaw(t, w, "one;"); err != nil {
		t.Fatal(err)
	}
	w.takeOver(takeoverTicks)
	w.pending, w.final, w.sent = []byte("two;"), false, 4
	w.takeOver(takeoverTicks)
	if w.wasTakenOver() {
		t.Fatal("taken over")
	}
	_ = w.conn.Close()
	if got, err := io.ReadAll(client); err != nil || string(got) != "one;" {
		t.Errorf("the client received %q, %v", got, err)
	}
}

// The kernel accepts at most two bytes at a time: a reply that is taken over must be complete all the same.
func TestTakenOverReplyIsComplete(t *testing.T) {
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
		t.Errorf("%d bytes although the kernel accepts none", n)
	}
}
