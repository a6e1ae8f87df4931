package rig

// Relays: each directed link has its own, so that faults can be injected per link and direction.

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Fault says what a link does to its traffic. Loss, Duplicate, Corrupt and Reorder apply to datagrams only.
type Fault struct {
	Loss      float64 `toml:"loss,omitempty" json:"loss,omitempty"`       // share of datagrams that are dropped
	Duplicate float64 `toml:"twice,omitempty" json:"twice,omitempty"`     // share delivered twice
	Corrupt   float64 `toml:"damage,omitempty" json:"damage,omitempty"`   // share delivered with one bit flipped
	Reorder   float64 `toml:"reorder,omitempty" json:"reorder,omitempty"` // share delivered late
	DelayMS   float64 `toml:"delay_ms,omitempty" json:"delay_ms,omitempty"`
	Cut       bool    `toml:"cut,omitempty" json:"cut,omitempty"`
	Freeze    bool    `toml:"freeze,omitempty" json:"freeze,omitempty"` // held until the fault ends
}

const (
	reorderDelay = 30 * time.Millisecond
	maxFrozen    = 512
)

// udpRelay forwards datagrams in one direction.
type udpRelay struct {
	conn      *net.UDPConn
	to        *net.UDPAddr
	mu        sync.Mutex // guards the fields below
	rng       *rand.Rand
	fault     Fault
	frozen    [][]byte
	forwarded int
}

func newUDPRelay(at, to *net.UDPAddr, seed uint64) (*udpRelay, error) {
	c, err := net.ListenUDP("udp", at)
	if err != nil {
		return nil, err
	}
	r := &udpRelay{conn: c, to: to, rng: rand.New(rand.NewPCG(seed, 1))}
	go r.run()
	return r, nil
}

func (r *udpRelay) run() {
	buf := make([]byte, 2048)
	for {
		n, _, err := r.conn.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			r.handle(append([]byte(nil), buf[:n]...))
		}
	}
}

// handle applies the fault to one datagram. It draws from the link's own generator, so that datagram k of a
// link meets the same fate in each run.
func (r *udpRelay) handle(b []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.fault
	draw := [4]float64{r.rng.Float64(), r.rng.Float64(), r.rng.Float64(), r.rng.Float64()}
	bit := r.rng.IntN(max(1, 8*len(b)))
	switch {
	case f.Cut || draw[0] < f.Loss:
		return
	case f.Freeze:
		if len(r.frozen) < maxFrozen {
			r.frozen = append(r.frozen, b)
		}
		return
	}
	if draw[1] < f.Corrupt && len(b) > 0 {
		b[bit/8] ^= 1 << (bit % 8)
	}
	delay := time.Duration(f.DelayMS * float64(time.Millisecond))
	if draw[2] < f.Reorder {
		delay += reorderDelay
	}
	r.forward(b, delay)
	if draw[3] < f.Duplicate {
		r.forward(b, delay+reorderDelay/3)
	}
}

func (r *udpRelay) forward(b []byte, delay time.Duration) {
	r.forwarded++
	if delay > 0 {
		time.AfterFunc(delay, func() { _, _ = r.conn.WriteToUDP(b, r.to) })
		return
	}
	_, _ = r.conn.WriteToUDP(b, r.to)
}

func (r *udpRelay) setFault(f Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = f
	if !f.Freeze {
		for _, b := range r.frozen {
			r.forward(b, 0)
		}
		r.frozen = nil
	}
}

func (r *udpRelay) close() { _ = r.conn.Close() }

// tcpRelay forwards TCP connections. While it is cut or frozen, no bytes pass: open connections stay open but
// silent, and new ones are accepted but not connected to the target.
type tcpRelay struct {
	listener  net.Listener
	target    string
	mu        sync.Mutex // guards the fields below
	conns     map[net.Conn]struct{}
	fault     Fault
	unblocked chan struct{} // closed while traffic may pass
	closed    bool
}

func newTCPRelay(at, to string) (*tcpRelay, error) {
	l, err := net.Listen("tcp", at)
	if err != nil {
		return nil, err
	}
	r := &tcpRelay{listener: l, target: to, conns: map[net.Conn]struct{}{}, unblocked: make(chan struct{})}
	close(r.unblocked)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.serve(c)
		}
	}()
	return r, nil
}

// gate returns a channel that is closed once traffic may pass, and the delay to apply to it.
func (r *tcpRelay) gate() (<-chan struct{}, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.unblocked, time.Duration(r.fault.DelayMS * float64(time.Millisecond))
}

// track registers an open connection. It closes the connection and returns false if the relay is closed.
func (r *tcpRelay) track(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		_ = c.Close()
		return false
	}
	r.conns[c] = struct{}{}
	return true
}

func (r *tcpRelay) untrack(c net.Conn) {
	_ = c.Close()
	r.mu.Lock()
	delete(r.conns, c)
	r.mu.Unlock()
}

func (r *tcpRelay) serve(c net.Conn) {
	if !r.track(c) {
		return
	}
	defer r.untrack(c)
	unblocked, _ := r.gate()
	<-unblocked
	to, err := net.DialTimeout("tcp", r.target, 5*time.Second)
	if err != nil {
		_ = c.(*net.TCPConn).SetLinger(0) // nothing listens at the target: the caller must get a reset
		return
	}
	if !r.track(to) {
		return
	}
	defer r.untrack(to)
	done := make(chan struct{}, 2)
	go r.copy(to, c, done)
	go r.copy(c, to, done)
	<-done
}

func (r *tcpRelay) copy(to, from net.Conn, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		unblocked, delay := r.gate()
		<-unblocked
		time.Sleep(delay)
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				_ = to.(*net.TCPConn).SetLinger(0)
			}
			return
		}
	}
}

func (r *tcpRelay) setFault(f Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	blocked := f.Cut || f.Freeze
	if was := r.fault.Cut || r.fault.Freeze; blocked != was {
		if blocked {
			r.unblocked = make(chan struct{})
		} else {
			close(r.unblocked)
		}
	}
	r.fault = f
}

func (r *tcpRelay) close() {
	_ = r.listener.Close()
	r.setFault(Fault{})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	for c := range r.conns {
		_ = c.Close()
	}
}
