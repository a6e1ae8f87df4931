// Package admin is the admin endpoint: an address of its own where operators check this coordinator's
// state and cordon data nodes. It defines the calls and the form of their replies. It must never hold the
// state that it shows or changes: that is behind State, as is everything that blocks.
package admin

import (
	"encoding/json"
	"errors"
	"log/slog"
	"net/netip"
	"net/url"
	"strings"
	"time"

	lnet "lapislever/internal/net"
)

const (
	// Sockets is how many descriptors the endpoint may use. They are reserved, so that no number of clients
	// can lock operators out.
	Sockets  = maxConns + maxConns/4
	maxConns = 12 // connections in parallel; one that sends no request makes room for the next
	// inputMemory is for what callers send, in bytes: calls are short.
	inputMemory = 1 << 20
	maxID       = 256
	// Operators get an answer within 1 s. If the coordinator has not processed a call by this time, they are
	// told so and may call again: calls are idempotent.
	answerTimeout = 800 * time.Millisecond
)

// The errors that State returns for a call.
var (
	ErrUnknown = errors.New("no data node of that id is listed")
	ErrTimeout = errors.New("not done in time, and may still be: call again")
	ErrTooLong = errors.New("the id, who says so or why is too long")
)

// Counters are a process's counters since its start, by their names on the wire.
type Counters struct {
	OK             map[string]int64 `json:"ok"`
	Shed           map[string]int64 `json:"shed"`
	Errors         map[string]int64 `json:"errors"`
	Tries          int64            `json:"tries"`
	Active         int64            `json:"active"`
	PoolSize       int64            `json:"pool_size"`
	PoolEjected    int64            `json:"pool_ejected"`
	ConfigApplied  int64            `json:"config_applied"`
	ConfigRejected int64            `json:"config_rejected"`
	Unusable       map[string]int64 `json:"unusable,omitempty"` // attempts at new-form nodes, by reason
}

// State is what the endpoint needs of the coordinator. Ready and Counters must not block.
type State interface {
	Ready() bool
	Counters() Counters
	// Cordon cordons or uncordons a data node, waits until that holds, and gives up after the given time.
	Cordon(id string, cordoned bool, within time.Duration) error
}

// AdmissionController is what the endpoint needs of an admission controller.
type AdmissionController interface {
	Stats(n int) any
	BanOrPin(p netip.Prefix, pinned bool, span time.Duration)
	Lift(p netip.Prefix)
}

// FleetState is a State with a view of the fleet, to be shown as JSON; nil without a fleet.
type FleetState interface {
	Fleet() any
	Verdicts() any
	Limits() any
	Overload() any
	// ApplyFleetCall issues a verdict for the whole fleet. It returns what is to be shown of the verdict, and
	// whether all members that are alive hold it. It gives up after the given time, or after the call's own
	// wait if that is longer.
	ApplyFleetCall(c FleetCall, within time.Duration) (shown any, all bool, err error)
}

// FleetCall is a call that cordons or uncordons a data node for the whole fleet, or bans, pins or lifts a
// prefix.
type FleetCall struct {
	ID         string // of the node
	Prefix     netip.Prefix
	Pin        bool // of a prefix: pinned as known, not banned
	Set        bool // of a node: cordoned; of a prefix: the ban or pin is set
	By, Reason string
	Duration   time.Duration // 0: until it is lifted
	Wait       time.Duration // for all members that are alive
}

// DelayState is a State with statistics of late actions, to be shown as JSON.
type DelayState interface{ Delays() any }

// MemoryState is a State with figures of the process's memory, to be shown as JSON.
type MemoryState interface{ Memory() any }

// ListState is a State with the list of data nodes that the process goes by: its version, source and age, to
// be shown as JSON.
type ListState interface{ List() any }

// AdmissionState is a State with an admission controller, or nil without one.
type AdmissionState interface{ Admission() AdmissionController }

// maxTopAddresses is how many addresses are shown.
const maxTopAddresses = 20

// methodNotAllowed replies that a call takes another method.
func methodNotAllowed(x *lnet.Exchange, method string) {
	x.Reply(lnet.Response{Status: 405, Header: [][2]string{{"Allow", method}}, Close: true,
		Body: []byte("use " + method + "\n")})
}

// serveAdmission handles a call to the admission controller. It returns false if there is none, or no such
// call.
func (srv *Server) serveAdmission(r *lnet.Request, x *lnet.Exchange, reply func(int, string)) bool {
	call, ok := strings.CutPrefix(r.Path, "/admin/admission")
	s, gated := srv.state.(AdmissionState)
	if !ok || !gated || s.Admission() == nil {
		return false
	}
	g := s.Admission()
	switch call {
	case "":
		if r.Method != "GET" {
			methodNotAllowed(x, "GET")
			return true
		}
		replyJSON(x, reply, g.Stats(maxTopAddresses))
	case "/ban", "/pin", "/lift":
		if r.Method != "POST" {
			methodNotAllowed(x, "POST")
			return true
		}
		text, span, _ := strings.Cut(strings.TrimSpace(string(r.Body)), " ")
		p, err := parsePrefix(text)
		if err != nil {
			reply(400, "the body has to be a prefix or an address, and for a ban or a pin a time such as 10m")
			return true
		}
		if call == "/lift" {
			g.Lift(p)
		} else {
			t, err := time.ParseDuration(span)
			if err != nil || t <= 0 || t > 365*24*time.Hour {
				reply(400, "the time has to be one such as 10m, of a year at most")
				return true
			}
			g.BanOrPin(p, call == "/pin", t)
		}
		srv.log.Info("operator's call on a prefix", "call", call[1:], "prefix", p, "for", span)
		reply(200, "done")
	default:
		return false
	}
	return true
}

// replyJSON replies with a value as JSON.
func replyJSON(x *lnet.Exchange, reply func(int, string), value any) {
	b, err := json.Marshal(value)
	if err != nil {
		reply(500, err.Error())
		return
	}
	x.Reply(lnet.Response{Status: 200, ContentType: "application/json", Body: b, Close: true})
}

// serveFleet handles a call about the fleet. It returns false if there is no fleet, or no such call.
func (srv *Server) serveFleet(r *lnet.Request, x *lnet.Exchange, reply func(int, string)) bool {
	s, ok := srv.state.(FleetState)
	if !ok || s.Fleet() == nil {
		return false
	}
	method := "GET"
	var handle func()
	switch r.Path {
	case "/admin/fleet":
		handle = func() { replyJSON(x, reply, s.Fleet()) }
	case "/admin/verdicts":
		handle = func() { replyJSON(x, reply, s.Verdicts()) }
	case "/admin/limits":
		handle = func() { replyJSON(x, reply, s.Limits()) }
	case "/admin/overload":
		handle = func() { replyJSON(x, reply, s.Overload()) }
	case "/admin/fleet/cordon", "/admin/fleet/uncordon", "/admin/fleet/ban", "/admin/fleet/pin",
		"/admin/fleet/lift":
		method = "POST"
		handle = func() {
			c, err := parseFleetCall(r)
			if err != nil {
				reply(400, err.Error())
				return
			}
			go srv.applyFleetCall(s, c, x, reply)
		}
	default:
		return false
	}
	if r.Method != method {
		methodNotAllowed(x, method)
	} else {
		handle()
	}
	return true
}

// maxWait bounds how long a call may wait for other members.
const maxWait = 30 * time.Second

// parseFleetCall parses a call: ID [TIME], and ?wait=TIME.
func parseFleetCall(r *lnet.Request) (c FleetCall, err error) {
	call := strings.TrimPrefix(r.Path, "/admin/fleet/")
	prefix := call == "ban" || call == "pin" || call == "lift"
	c.Set, c.Pin = call == "cordon" || call == "ban" || call == "pin", call == "pin"
	c.By, c.Reason = r.Header.Get("X-By"), r.Header.Get("X-Reason")
	fields := strings.Fields(string(r.Body))
	switch {
	case prefix && len(fields) != 2 && (c.Set || len(fields) != 1):
		return c, errors.New("the body has to be a prefix or an address, and for a ban or a pin a time such as 10m")
	case len(fields) == 0 || len(fields) > 2 || len(fields) == 2 && !c.Set:
		return c, errors.New("the body has to be one data node's id and, to put it out, a time such as 10m")
	}
	c.ID = fields[0]
	if prefix {
		if c.Prefix, err = parsePrefix(fields[0]); err != nil {
			return c, errors.New("the body has to begin with a prefix or an address")
		}
		c.ID = ""
	}
	if len(fields) == 2 {
		if c.Duration, err = time.ParseDuration(fields[1]); err != nil || c.Duration <= 0 ||
			c.Duration > 365*24*time.Hour {
			return c, errors.New("the time has to be one such as 10m, of a year at most")
		}
	}
	query, err := url.ParseQuery(r.Query)
	if err != nil {
		return c, errors.New("the query can't be read")
	}
	if text := query.Get("wait"); text != "" {
		if c.Wait, err = time.ParseDuration(text); err != nil || c.Wait < 0 || c.Wait > maxWait {
			return c, errors.New("wait has to be a time such as 2s, of 30s at most")
		}
	}
	return c, nil
}

// applyFleetCall executes a call for the whole fleet. It blocks, so it runs in a goroutine of its own.
func (srv *Server) applyFleetCall(s FleetState, c FleetCall, x *lnet.Exchange,
	reply func(status int, text string)) {
	shown, everywhere, err := s.ApplyFleetCall(c, answerTimeout)
	srv.log.Info("operator's call for the fleet", "node", c.ID, "prefix", c.Prefix, "on", c.Set,
		"for", c.Duration, "err", err)
	switch {
	case errors.Is(err, ErrUnknown):
		reply(404, err.Error())
	case errors.Is(err, ErrTooLong):
		reply(400, err.Error())
	case err != nil:
		reply(503, err.Error())
	default:
		b, err := json.Marshal(shown)
		if err != nil {
			reply(500, err.Error())
			return
		}
		status := 200
		if c.Wait > 0 && !everywhere {
			status = 202
		}
		x.Reply(lnet.Response{Status: status, ContentType: "application/json", Body: b, Close: true})
	}
}

// parsePrefix parses a prefix, or an address as a prefix of its full length.
func parsePrefix(text string) (netip.Prefix, error) {
	p, err := netip.ParsePrefix(text)
	if a, aerr := netip.ParseAddr(text); err != nil && aerr == nil {
		return a.Prefix(a.BitLen())
	}
	return p, err
}

// Server is a running admin endpoint.
type Server struct {
	server *lnet.Server
	state  State
	log    *slog.Logger
}

// Listen opens the endpoint on an address.
func Listen(addr string, state State, log *slog.Logger) (*Server, error) {
	srv := &Server{state: state, log: log}
	budget := lnet.NewBudget(maxConns, 0)
	budget.LimitMemory(inputMemory, false)
	var err error
	if srv.server, err = lnet.Listen(addr, budget, log, srv.serve); err != nil {
		return nil, err
	}
	go srv.server.Serve()
	return srv, nil
}

// Addr returns the address that the endpoint listens on.
func (srv *Server) Addr() string { return srv.server.Addr() }

// Close stops the endpoint. Calls in progress are answered.
func (srv *Server) Close() {
	srv.server.StopListening()
	srv.server.Drain()
}

// serve handles one call. Every reply ends its connection: a connection carries one call.
func (srv *Server) serve(r *lnet.Request, x *lnet.Exchange) func() {
	reply := func(status int, text string) {
		x.Reply(lnet.Response{Status: status, Body: []byte(text + "\n"), Close: true})
	}
	if srv.serveAdmission(r, x, reply) || srv.serveFleet(r, x, reply) {
		return nil
	}
	if s, ok := srv.state.(DelayState); ok && r.Path == "/admin/delays" && r.Method == "GET" {
		replyJSON(x, reply, s.Delays())
		return nil
	}
	if s, ok := srv.state.(ListState); ok && r.Path == "/admin/list" && r.Method == "GET" {
		replyJSON(x, reply, s.List())
		return nil
	}
	if s, ok := srv.state.(MemoryState); ok && r.Path == "/admin/memory" && r.Method == "GET" {
		replyJSON(x, reply, s.Memory())
		return nil
	}
	method := "GET"
	if r.Path == "/admin/cordon" || r.Path == "/admin/uncordon" {
		method = "POST"
	}
	switch {
	case r.Path != "/admin/health" && r.Path != "/admin/stats" && method == "GET":
		reply(404, "no such call")
	case r.Method != method:
		methodNotAllowed(x, method)
	case r.Path == "/admin/health" && srv.state.Ready():
		reply(200, "serving")
	case r.Path == "/admin/health":
		reply(503, "not serving")
	case r.Path == "/admin/stats":
		replyJSON(x, reply, srv.state.Counters())
	default:
		id := strings.TrimSpace(string(r.Body))
		if id == "" || len(id) > maxID || strings.ContainsAny(id, " \t\r\n") {
			reply(400, "the body has to be one data node's id")
			return nil
		}
		go srv.applyCordon(id, r.Path == "/admin/cordon", reply)
	}
	return nil
}

// applyCordon executes a call that cordons or uncordons a data node. It blocks, so it runs in a goroutine
// of its own.
func (srv *Server) applyCordon(id string, cordoned bool, reply func(status int, text string)) {
	err := srv.state.Cordon(id, cordoned, answerTimeout)
	srv.log.Info("operator's call", "node", id, "out", cordoned, "err", err)
	switch {
	case errors.Is(err, ErrUnknown):
		reply(404, err.Error())
	case err != nil:
		reply(503, err.Error())
	case cordoned:
		reply(200, "out")
	default:
		reply(200, "back")
	}
}
