package net

// The admission controller that all listeners of a process share: the decisions of internal/admission, with
// the clock and the connections they concern. This file orders requests for admission and evictions; it must
// never decide which connections are admitted: internal/admission does.

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

// maxEvictions bounds how many evictions are tried to make room for one connection.
const maxEvictions = 8

// AdmissionController wraps an admission.Controller with a lock and a clock. It is safe for concurrent use.
type AdmissionController struct {
	mu               sync.Mutex // guards all fields below
	decisions        *admission.Controller
	epoch            time.Time
	closers          map[uint64]func() bool // by connection: closes it if it is idle
	handshakeTimeout time.Duration
}

// NewAdmissionController returns a controller without connections.
func NewAdmissionController(l admission.Limits) *AdmissionController {
	return &AdmissionController{decisions: admission.New(l), epoch: time.Now(),
		closers: map[uint64]func() bool{}, handshakeTimeout: time.Duration(l.ProveTimeout) * time.Microsecond}
}

func (ac *AdmissionController) now() admission.Micros { return time.Since(ac.epoch).Microseconds() }

// SetLimits applies new limits. Admitted connections, bans and pins stay.
func (ac *AdmissionController) SetLimits(l admission.Limits) {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	ac.decisions.SetLimits(l)
	ac.handshakeTimeout = time.Duration(l.ProveTimeout) * time.Microsecond
}

// decide asks for a decision on a new connection, and evicts idle connections if the decision requires it.
func (ac *AdmissionController) decide(c net.Conn, authenticates bool, capacity int) admission.Decision {
	addr, _ := netip.ParseAddrPort(c.RemoteAddr().String())
	for range maxEvictions {
		ac.mu.Lock()
		d := ac.decisions.Decide(ac.now(),
			admission.Arrival{Addr: addr.Addr(), Authenticates: authenticates, Capacity: capacity})
		closeIfIdle := ac.closers[d.ID]
		ac.mu.Unlock()
		if d.Outcome != admission.EvictIdle {
			return d
		}
		if closeIfIdle != nil && closeIfIdle() {
			ac.Release(d.ID)
		} else {
			ac.markBusy(d.ID) // part of a request has arrived: it is not idle
		}
	}
	return admission.Decision{Outcome: admission.Refuse, Reason: admission.Full, RetryAfter: 1_000_000}
}

// setCloser sets the function that closes an admitted connection if it is idle.
func (ac *AdmissionController) setCloser(id uint64, closeIfIdle func() bool) {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	ac.closers[id] = closeIfIdle
}

// Release records that a connection has ended.
func (ac *AdmissionController) Release(id uint64) {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	delete(ac.closers, id)
	ac.decisions.Remove(id)
}

func (ac *AdmissionController) markBusy(id uint64) {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	ac.decisions.MarkBusy(id)
}

func (ac *AdmissionController) markIdle(id uint64) {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	ac.decisions.MarkIdle(id)
}

// handshakeDone records the identity that a TLS handshake has established.
func (ac *AdmissionController) handshakeDone(id uint64, identity string, known bool) admission.Decision {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	return ac.decisions.Authenticate(ac.now(), id, identity, known)
}

// BanOrPin bans a prefix for a time, or pins it as known. Idle connections of a banned prefix are closed.
func (ac *AdmissionController) BanOrPin(p netip.Prefix, pinned bool, span time.Duration) {
	ac.mu.Lock()
	until := ac.now() + span.Microseconds()
	if pinned {
		ac.decisions.Pin(p, until)
		ac.mu.Unlock()
		return
	}
	ac.decisions.Ban(p, until)
	closers := map[uint64]func() bool{}
	for _, id := range ac.decisions.ConnsIn(p) {
		closers[id] = ac.closers[id]
	}
	ac.mu.Unlock()
	for id, closeIfIdle := range closers {
		if closeIfIdle != nil && closeIfIdle() {
			ac.Release(id)
		}
	}
}

// Lift removes a ban or a pin.
func (ac *AdmissionController) Lift(p netip.Prefix) {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	ac.decisions.Lift(p)
}

// AdmissionStatus is the controller's state as shown to operators.
type AdmissionStatus struct {
	admission.Stats
	Overrides []PrefixOverride `json:"holds"`
}

// PrefixOverride is a ban or a pin, with its remaining time.
type PrefixOverride struct {
	Prefix    string  `json:"prefix"`
	Pinned    bool    `json:"pinned"`
	Remaining float64 `json:"left_s"`
}

// Stats returns the counters, the n busiest addresses, and the bans and pins in force.
func (ac *AdmissionController) Stats(n int) AdmissionStatus {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	now := ac.now()
	a := AdmissionStatus{Stats: ac.decisions.Stats(n), Overrides: []PrefixOverride{}}
	for _, h := range ac.decisions.Overrides(now) {
		a.Overrides = append(a.Overrides, PrefixOverride{h.Prefix.String(), h.Pinned, float64(h.Until-now) / 1e6})
	}
	return a
}

// admissionSlot is an admitted connection's slot at the admission controller. The zero slot has no
// controller.
type admissionSlot struct {
	controller *AdmissionController
	id         uint64
}

func (s admissionSlot) release() {
	if s.controller != nil {
		s.controller.Release(s.id)
	}
}

func (s admissionSlot) markBusy() {
	if s.controller != nil {
		s.controller.markBusy(s.id)
	}
}

func (s admissionSlot) markIdle() {
	if s.controller != nil {
		s.controller.markIdle(s.id)
	}
}

// AdmittedConn is an admitted connection of another protocol's listener.
type AdmittedConn struct{ admissionSlot }

// Admit requests admission for a connection of another protocol's listener; closeIfIdle closes it if it is
// idle. If the connection is refused, Admit returns when the client may come back.
func (ac *AdmissionController) Admit(c net.Conn, budget *Budget,
	closeIfIdle func() bool) (AdmittedConn, bool, time.Duration) {
	d := ac.decide(c, false, budget.ClientCapacity())
	if d.Outcome == admission.Refuse {
		return AdmittedConn{}, false, time.Duration(d.RetryAfter) * time.Microsecond
	}
	if !budget.acquireAdmitted() {
		ac.Release(d.ID)
		return AdmittedConn{}, false, time.Second
	}
	ac.setCloser(d.ID, closeIfIdle)
	return AdmittedConn{admissionSlot{ac, d.ID}}, true, 0
}

// MarkBusy, MarkIdle and Release record that the connection carries a request, carries none, and has ended.
func (a AdmittedConn) MarkBusy() { a.markBusy() }
func (a AdmittedConn) MarkIdle() { a.markIdle() }
func (a AdmittedConn) Release()  { a.release() }

// Handshake makes the TLS handshake on a client connection and returns the client's authenticated identity.
type Handshake func(c net.Conn) (secured net.Conn, identity string, err error)

// TLSHandshake returns a Handshake that reads the current configuration each time. A client without a
// certificate has no identity.
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

// spareDescriptor is a descriptor kept open for when there are none left. Closing it allows one pending
// connection to be accepted and closed immediately, rather than leaving the client to wait.
type spareDescriptor struct{ file *os.File }

func (d *spareDescriptor) open() {
	if d.file == nil {
		d.file, _ = os.Open(os.DevNull)
	}
}

// rejectOne accepts and closes one pending connection after accept has failed for lack of descriptors. It
// returns false for other failures.
func (d *spareDescriptor) rejectOne(l net.Listener, err error) bool {
	if !errors.Is(err, syscall.EMFILE) && !errors.Is(err, syscall.ENFILE) || d.file == nil {
		return false
	}
	_ = d.file.Close()
	d.file = nil
	if t, ok := l.(*net.TCPListener); ok {
		_ = t.SetDeadline(time.Now().Add(pollInterval))
		if c, err := l.Accept(); err == nil {
			_ = c.Close()
		}
		_ = t.SetDeadline(time.Time{})
	}
	d.open()
	return true
}
