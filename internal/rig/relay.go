package rig

// Relays: each directed link has one, so that a fault can be put on it alone.

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Fault is what a link does to what goes over it.
type Fault struct {
	Loss    float64 `toml:"loss,omitempty" json:"loss,omitempty"`       // share that is lost
	Twice   float64 `toml:"twice,omitempty" json:"twice,omitempty"`     // that comes twice
	Damage  float64 `toml:"damage,omitempty" json:"damage,omitempty"`   // that comes with a bit turned
	Reorder float64 `toml:"reorder,omitempty" json:"reorder,omitempty"` // that comes late, behind others
	DelayMS float64 `toml:"delay_ms,omitempty" json:"delay_ms,omitempty"`
	Cut     bool    `toml:"cut,omitempty" json:"cut,omitempty"`
	Freeze  bool    `toml:"freeze,omitempty" json:"freeze,omitempty"` // held until it is over
}

const (
	reorderBy  = 30 * time.Millisecond
	mostFrozen = 512
)

// udpRelay carries datagrams one way.
type udpRelay struct {
	c      *net.UDPConn
	to     *net.UDPAddr
	mu     sync.Mutex // guards what follows
	rng    *rand.Rand
	fault  Fault
	frozen [][]byte
	passed int
}

func newUDPRelay(at, to *net.UDPAddr, seed uint64) (*udpRelay, error) {
	c, err := net.ListenUDP("udp", at)
	if err != nil {
		return nil, err
	}
	r := &udpRelay{c: c, to: to, rng: rand.New(rand.NewPCG(seed, 1))}
	go r.run()
	return r, nil
}

func (r *udpRelay) run() {
	buf := make([]byte, 2048)
	for {
		n, _, err := r.c.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			r.take(append([]byte(nil), buf[:n]...))
		}
	}
}

// take decides by the link's own generator, so that datagram k of a link meets the same fate in each run.
func (r *udpRelay) take(b []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.fault
	draw := [4]float64{r.rng.Float64(), r.rng.Float64(), r.rng.Float64(), r.rng.Float64()}
	bit := r.rng.IntN(max(1, 8*len(b)))
	switch {
	case f.Cut || draw[0] < f.Loss:
		return
	case f.Freeze:
		if len(r.frozen) < mostFrozen {
			r.frozen = append(r.frozen, b)
		}
		return
	}
	if draw[1] < f.Damage && len(b) > 0 {
		b[bit/8] ^= 1 << (bit % 8)
	}
	wait := time.Duration(f.DelayMS * float64(time.Millisecond))
	if draw[2] < f.Reorder {
		wait += reorderBy
	}
	r.pass(b, wait)
	if draw[3] < f.Twice {
		r.pass(b, wait+reorderBy/3)
	}
}

func (r *udpRelay) pass(b []byte, wait time.Duration) {
	r.passed++
	if wait > 0 {
		time.AfterFunc(wait, func() { _, _ = r.c.WriteToUDP(b, r.to) })
		return
	}
	_, _ = r.c.WriteToUDP(b, r.to)
}

func (r *udpRelay) set(f Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = f
	if !f.Freeze {
		for _, b := range r.frozen {
			r.pass(b, 0)
		}
		r.frozen = nil
	}
}

func (r *udpRelay) close() { _ = r.c.Close() }

// tcpRelay carries connections. While it is cut nothing passes, open connections stay open and silent, and
// new ones come to nothing.
type tcpRelay struct {
	l     net.Listener
	to    string
	mu    sync.Mutex // guards what follows
	open  map[net.Conn]struct{}
	fault Fault
	heal  chan struct{} // closed while nothing is cut
	over  bool
}

func newTCPRelay(at, to string) (*tcpRelay, error) {
	l, err := net.Listen("tcp", at)
	if err != nil {
		return nil, err
	}
	r := &tcpRelay{l: l, to: to, open: map[net.Conn]struct{}{}, heal: make(chan struct{})}
	close(r.heal)
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

// gate is closed once something may pass, and how long it is to be delayed.
func (r *tcpRelay) gate() (<-chan struct{}, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.heal, time.Duration(r.fault.DelayMS * float64(time.Millisecond))
}

func (r *tcpRelay) hold(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.over {
		_ = c.Close()
		return false
	}
	r.open[c] = struct{}{}
	return true
}

func (r *tcpRelay) drop(c net.Conn) {
	_ = c.Close()
	r.mu.Lock()
	delete(r.open, c)
	r.mu.Unlock()
}

func (r *tcpRelay) serve(c net.Conn) {
	if !r.hold(c) {
		return
	}
	defer r.drop(c)
	wait, _ := r.gate()
	<-wait
	to, err := net.DialTimeout("tcp", r.to, 5*time.Second)
	if err != nil {
		_ = c.(*net.TCPConn).SetLinger(0) // nobody listens there: the caller is to hear a reset
		return
	}
	if !r.hold(to) {
		return
	}
	defer r.drop(to)
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
		wait, delay := r.gate()
		<-wait
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

func (r *tcpRelay) set(f Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	blocked := f.Cut || f.Freeze
	if was := r.fault.Cut || r.fault.Freeze; blocked != was {
		if blocked {
			r.heal = make(chan struct{})
		} else {
			close(r.heal)
		}
	}
	r.fault = f
}

func (r *tcpRelay) close() {
	_ = r.l.Close()
	r.set(Fault{})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.over = true
	for c := range r.open {
		_ = c.Close()
	}
}
