package net

import (
	"io"
	"log/slog"
	"strings"
	"testing"
)

// Guards against large requests of one front that wait while another front's handler is at work on one.
func TestLargeRequestsOfTwoServersDoNotWait(t *testing.T) {
	budget := NewBudget(20, 0)
	begun, release := make(chan struct{}), make(chan struct{})
	slow, err := Listen("127.0.0.1:0", budget, slog.New(slog.NewTextHandler(io.Discard, nil)),
		func(_ *Request, x *Exchange) func() {
			close(begun)
			<-release
			x.Reply(Response{Status: 200})
			return nil
		})
	if err != nil {
		t.Fatal(err)
	}
	go slow.Serve()
	t.Cleanup(func() { slow.Drain(); slow.StopListening() })
	other := serve(t, budget)
	large := strings.Repeat("x", freeRequestSize+1)
	ended := make(chan error, 1)
	slowClient := dial(t, slow)
	go func() {
		_, err := slowClient.post(large)
		ended <- err
	}()
	<-begun
	if r, err := dial(t, other.Server).post(large); err != nil || r.Status != 200 {
		t.Errorf("%+v %v", r, err)
	}
	close(release)
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
