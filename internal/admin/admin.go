// Package admin is the operators' door: an address of its own where on-call staff ask how this coordinator
// does. It owns the calls and the words of their replies. It must never hold
// the state that it shows: that is behind State.
package admin

import (
	"encoding/json"
	"log/slog"

	lnet "lapislever/internal/net"
)

const (
	// Sockets is how many descriptors the door may take; they are kept for it, so that no crowd of clients
	// can shut operators out.
	Sockets = callers + callers/4
	callers = 12 // connections at a time; one that asks nothing makes way for the next
)

// Figures are a process's counts since its start, by their names on the wire.
type Figures struct {
	OK             map[string]int64 `json:"ok"`
	Shed           map[string]int64 `json:"shed"`
	Errors         map[string]int64 `json:"errors"`
	Tries          int64            `json:"tries"`
	Active         int64            `json:"active"`
	PoolSize       int64            `json:"pool_size"`
	PoolEjected    int64            `json:"pool_ejected"`
	ConfigApplied  int64            `json:"config_applied"`
	ConfigRejected int64            `json:"config_rejected"`
}

// State is the coordinator as the door sees it. Ready and Figures must not wait.
type State interface {
	Ready() bool
	Figures() Figures
}

// Door is an open door.
type Door struct {
	server *lnet.Server
	state  State
	log    *slog.Logger
}

// Open listens on an address.
func Open(addr string, state State, log *slog.Logger) (*Door, error) {
	d := &Door{state: state, log: log}
	var err error
	if d.server, err = lnet.Listen(addr, lnet.NewBudget(callers, 0), log, d.serve); err != nil {
		return nil, err
	}
	go d.server.Serve()
	return d, nil
}

// Addr is the address listened on.
func (d *Door) Addr() string { return d.server.Addr() }

// Close shuts the door; calls that are being answered get their answer.
func (d *Door) Close() {
	d.server.StopListening()
	d.server.Finish()
}

// serve takes one call. Every reply ends its connection: one call each is the rule here.
func (d *Door) serve(r *lnet.Request, x *lnet.Exchange) func() {
	say := func(status int, text string) {
		x.Reply(lnet.Response{Status: status, Body: []byte(text + "\n"), Close: true})
	}
	switch {
	case r.Path != "/admin/health" && r.Path != "/admin/stats":
		say(404, "no such call")
	case r.Method != "GET":
		x.Reply(lnet.Response{Status: 405, Header: [][2]string{{"Allow", "GET"}}, Close: true,
			Body: []byte("use GET\n")})
	case r.Path == "/admin/health" && d.state.Ready():
		say(200, "serving")
	case r.Path == "/admin/health":
		say(503, "not serving")
	case r.Path == "/admin/stats":
		b, err := json.Marshal(d.state.Figures())
		if err != nil {
			say(500, err.Error())
			return nil
		}
		x.Reply(lnet.Response{Status: 200, Type: "application/json", Body: b, Close: true})
	}
	return nil
}
