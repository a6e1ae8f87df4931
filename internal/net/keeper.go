package net

// A gate at work: one for all listeners of a program, with the clock and the connections that it decides
// about. This file owns the order of asking and closing; it must never decide who gets in: internal/admission
// does.

import (
	"crypto/tls"
	"errors"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"

	"lapislever/internal/admission"
)

// roomTries bounds how many connections are asked to make way for one.
const roomTries = 8

// AdmissionController is a gate with a clock. It is safe for concurrent use.
type AdmissionController struct {
	mu    sync.Mutex // guards all below
	gate  *admission.Controller
	epoch time.Time
	close map[uint64]func() bool // by connection: closes it if it carries nothing
	proof time.Duration
}

// NewAdmissionController returns a keeper of an empty gate.
func NewAdmissionController(l admission.Limits) *AdmissionController {
	return &AdmissionController{gate: admission.New(l), epoch: time.Now(), close: map[uint64]func() bool{},
		proof: time.Duration(l.ProveTimeout) * time.Microsecond}
}

func (k *AdmissionController) now() admission.Micros { return time.Since(k.epoch).Microseconds() }

// SetLimits takes new limits in. Who is in stays in, and so do operators' words.
func (k *AdmissionController) SetLimits(l admission.Limits) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.gate.SetLimits(l)
	k.proof = time.Duration(l.ProveTimeout) * time.Microsecond
}

// arrive asks for a connection, and makes room where it is told to.
func (k *AdmissionController) arrive(c net.Conn, proves bool, places int) admission.Decision {
	at, _ := netip.ParseAddrPort(c.RemoteAddr().String())
	for range roomTries {
		k.mu.Lock()
		d := k.gate.Decide(k.now(), admission.Arrival{Addr: at.Addr(), Authenticates: proves, Capacity: places})
		spare := k.close[d.ID]
		k.mu.Unlock()
		if d.Outcome != admission.EvictIdle {
			return d
		}
		if spare != nil && spare() {
			k.Leave(d.ID)
		} else {
			k.use(d.ID) // something of a request has come: it does not rest
		}
	}
	return admission.Decision{Outcome: admission.Refuse, Reason: admission.Full, RetryAfter: 1_000_000}
}

// hold notes how a connection that is in can be closed.
func (k *AdmissionController) hold(id uint64, spare func() bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.close[id] = spare
}

// Leave tells that a connection has ended.
func (k *AdmissionController) Leave(id uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.close, id)
	k.gate.Remove(id)
}

func (k *AdmissionController) use(id uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.gate.MarkBusy(id)
}

func (k *AdmissionController) rest(id uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.gate.MarkIdle(id)
}

// prove tells what a handshake has shown.
func (k *AdmissionController) prove(id uint64, identity string, known bool) admission.Decision {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.gate.Authenticate(k.now(), id, identity, known)
}

// BanOrPin bans a prefix for a time, or pins it as known. Of a banned one the connections that rest are closed.
func (k *AdmissionController) BanOrPin(p netip.Prefix, pinned bool, span time.Duration) {
	k.mu.Lock()
	until := k.now() + span.Microseconds()
	if pinned {
		k.gate.Pin(p, until)
		k.mu.Unlock()
		return
	}
	k.gate.Ban(p, until)
	spares := map[uint64]func() bool{}
	for _, id := range k.gate.ConnsIn(p) {
		spares[id] = k.close[id]
	}
	k.mu.Unlock()
	for id, spare := range spares {
		if spare != nil && spare() {
			k.Leave(id)
		}
	}
}

// Lift takes a ban or a pin back.
func (k *AdmissionController) Lift(p netip.Prefix) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.gate.Lift(p)
}

// Admission is what operators see.
type Admission struct {
	admission.Stats
	Holds []Held `json:"holds"`
}

// Held is a ban or a pin, with how long it still holds.
type Held struct {
	Prefix string  `json:"prefix"`
	Pinned bool    `json:"pinned"`
	Left   float64 `json:"left_s"`
}

// Stats are the gate's counts, its n busiest addresses and the words in force.
func (k *AdmissionController) Stats(n int) Admission {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	a := Admission{Stats: k.gate.Stats(n), Holds: []Held{}}
	for _, h := range k.gate.Overrides(now) {
		a.Holds = append(a.Holds, Held{h.Prefix.String(), h.Pinned, float64(h.Until-now) / 1e6})
	}
	return a
}

// seat is a connection's place with a keeper. The zero seat is with none.
type seat struct {
	k  *AdmissionController
	id uint64
}

func (s seat) leave() {
	if s.k != nil {
		s.k.Leave(s.id)
	}
}

func (s seat) use() {
	if s.k != nil {
		s.k.use(s.id)
	}
}

func (s seat) rest() {
	if s.k != nil {
		s.k.rest(s.id)
	}
}

// AdmittedConn is a connection of another carrier that a keeper lets in.
type AdmittedConn struct{ seat }

// Admit asks for a connection of another carrier; spare closes it if it carries nothing.
func (k *AdmissionController) Admit(c net.Conn, budget *Budget, spare func() bool) (AdmittedConn, bool, time.Duration) {
	d := k.arrive(c, false, budget.Places())
	if d.Outcome == admission.Refuse {
		return AdmittedConn{}, false, time.Duration(d.RetryAfter) * time.Microsecond
	}
	if !budget.takePlace() {
		k.Leave(d.ID)
		return AdmittedConn{}, false, time.Second
	}
	k.hold(d.ID, spare)
	return AdmittedConn{seat{k, d.ID}}, true, 0
}

// MarkBusy, Rest and Leave tell what becomes of it.
func (g AdmittedConn) MarkBusy() { g.use() }
func (g AdmittedConn) MarkIdle() { g.rest() }
func (g AdmittedConn) Release()  { g.leave() }

// Handshake makes of a client's connection one by TLS, and says who the client has proved to be.
type Handshake func(c net.Conn) (secured net.Conn, identity string, err error)

// TLSHandshake is Secure with the configuration of each moment. Who shows no certificate has no identity.
func TLSHandshake(config func() *tls.Config) Handshake {
	return func(c net.Conn) (net.Conn, string, error) {
		t := tls.Server(c, config())
		if err := t.Handshake(); err != nil {
			return nil, "", err
		}
		if certs := t.ConnectionState().PeerCertificates; len(certs) > 0 {
			return t, certs[0].Subject.String(), nil
		}
		return t, "", nil
	}
}

// inHand is a descriptor kept for the moment at which there is none left: given up, it lets one caller in,
// who is told at once.
type inHand struct{ f *os.File }

func (h *inHand) take() {
	if h.f == nil {
		h.f, _ = os.Open(os.DevNull)
	}
}

// turnAway ends one waiting caller where accept failed for want of a descriptor. It returns false for other
// failures.
func (h *inHand) turnAway(l net.Listener, err error) bool {
	if !errors.Is(err, syscall.EMFILE) && !errors.Is(err, syscall.ENFILE) || h.f == nil {
		return false
	}
	_ = h.f.Close()
	h.f = nil
	if t, ok := l.(*net.TCPListener); ok {
		_ = t.SetDeadline(time.Now().Add(waitStep))
		if c, err := l.Accept(); err == nil {
			_ = c.Close()
		}
		_ = t.SetDeadline(time.Time{})
	}
	h.take()
	return true
}
