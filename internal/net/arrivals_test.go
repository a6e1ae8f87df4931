package net

import (
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"
)

// Guards against a request that was sent ahead and counts its time from a later read: its data node would be
// told more time than is left, and its answer would come late.
func TestRequestsSentAheadCountFromTheirOwnArrival(t *testing.T) {
	const pause = 300 * time.Millisecond
	requests := make(chan *Request)
	release := make(chan struct{})
	s, err := Listen("127.0.0.1:0", NewBudget(10, 0), slog.New(slog.NewTextHandler(io.Discard, nil)),
		func(r *Request, x *Exchange) func() {
			requests <- r
			<-release
			x.Reply(Response{Status: 200})
			return nil
		})
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve()
	t.Cleanup(func() { s.Drain(); s.StopListening() })
	c, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	const request = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody"
	send := func(text string) time.Time {
		if _, err := io.WriteString(c, text); err != nil {
			t.Fatal(err)
		}
		return time.Now()
	}
	// The end of the third request comes with the second batch, the fourth and last with the third one.
	firstBatch := send(strings.Repeat(request, 2) + request[:20])
	first := <-requests
	time.Sleep(pause)
	secondBatch := send(request[20:])
	time.Sleep(pause)
	thirdBatch := send(request)
	waitFor(t, "the last batch in the ring", func() bool { return bufferedBytes(s) == 3*len(request) })
	for i, sent := range []time.Time{firstBatch, firstBatch, secondBatch, thirdBatch} {
		r := first
		if i > 0 {
			release <- struct{}{}
			r = <-requests
		}
		if off := r.ReceivedAt.Sub(sent).Abs(); off > pause/2 {
			t.Errorf("request %d counts from %v off its arrival", i, off)
		}
	}
	release <- struct{}{}
}

// bufferedBytes returns how much input waits in the rings of a server's connections.
func bufferedBytes(s *Server) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.mu.Lock()
		n += c.in.Len()
		c.mu.Unlock()
	}
	return n
}

// The marks are bounded, and no byte counts from later than its own arrival, the last one of all from then.
func TestArrivalMarksAreBounded(t *testing.T) {
	var marks arrivalMarks
	start := time.Now()
	const reads, size = 1000, 3
	at := func(i int) time.Time { return start.Add(time.Duration(i*i) * arrivalResolution) }
	for i := range reads {
		marks.add(size, at(i))
		if len(marks.marks) > maxArrivalMarks {
			t.Fatalf("%d marks", len(marks.marks))
		}
	}
	for i := range reads {
		got := marks.take((reads - i - 1) * size)
		if got.After(at(i)) || got.Before(start) {
			t.Fatalf("read %d counts from %v, it came at %v", i, got.Sub(start), at(i).Sub(start))
		}
		if i == reads-1 && !got.Equal(at(i)) {
			t.Fatalf("the last read counts from %v before it", at(i).Sub(got))
		}
	}
	if len(marks.marks) != 0 {
		t.Errorf("%d marks of an empty ring", len(marks.marks))
	}
}
