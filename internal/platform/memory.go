package platform

// The process's memory, measured against its limit: for the log and for the admin endpoint.

import (
	"fmt"
	"log/slog"
	"os"
	"runtime"
	"runtime/metrics"
	"sync/atomic"
	"time"
)

const (
	memoryCheckInterval = 100 * time.Millisecond
	// Memory is logged when it enters a higher twentieth of the limit than before, from memoryLogFrom on.
	memoryLogSteps = 20
	memoryLogFrom  = 10
	// memoryLogReset is how long a lower level has to hold before a rise is logged again.
	memoryLogReset = 5 * time.Second
)

// MemoryStats are figures of the process's memory. Sizes are in kB.
type MemoryStats struct {
	LimitKB    int64 `json:"limit_kb"`
	ResidentKB int64 `json:"resident_kb"` // as the kernel counts it
	PeakKB     int64 `json:"peak_kb"`     // highest measured so far
	HeapKB     int64 `json:"heap_kb"`     // live objects and garbage that is not collected yet
	StacksKB   int64 `json:"stacks_kb"`
	InputKB    int64 `json:"input_kb"` // of what clients send, beyond what each connection may hold anyway
	Goroutines int   `json:"goroutines"`
	Clients    int64 `json:"clients"` // connections within the budget
	Open       int64 `json:"open"`    // requests taken and not yet ended
}

// memoryMonitor measures the process's memory regularly.
type memoryMonitor struct {
	log    *slog.Logger
	file   *os.File // the kernel's figures; kept open, as there may be no descriptor left later
	fill   func(*MemoryStats)
	peakKB atomic.Int64

	// Used by run only.
	loggedStep int       // highest step logged since the last reset
	lowSince   time.Time // since when memory is below that step
}

// newMemoryMonitor returns a monitor. fill completes the figures that the process's parts know.
func newMemoryMonitor(log *slog.Logger, fill func(*MemoryStats)) *memoryMonitor {
	m := &memoryMonitor{log: log, fill: fill}
	var err error
	if m.file, err = os.Open("/proc/self/statm"); err != nil {
		log.Info("the process's memory cannot be measured", "err", err)
	}
	return m
}

// run measures until stop is closed.
func (m *memoryMonitor) run(stop <-chan struct{}) {
	if m.file == nil {
		return
	}
	defer m.file.Close()
	tick := time.NewTicker(memoryCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case now := <-tick.C:
			m.check(now)
		}
	}
}

// check measures once, and logs where memory has risen.
func (m *memoryMonitor) check(now time.Time) {
	s := MemoryStats{ResidentKB: m.residentKB()}
	m.fill(&s)
	if s.LimitKB <= 0 {
		return
	}
	step := int(s.ResidentKB * memoryLogSteps / s.LimitKB)
	switch {
	case step > m.loggedStep && step >= memoryLogFrom:
		m.loggedStep = step
		s = m.stats()
		m.log.Warn("memory", "resident_kb", s.ResidentKB, "limit_kb", s.LimitKB, "heap_kb", s.HeapKB,
			"stacks_kb", s.StacksKB, "input_kb", s.InputKB, "goroutines", s.Goroutines, "clients", s.Clients,
			"open", s.Open)
	case step >= m.loggedStep:
		m.lowSince = time.Time{}
	case m.lowSince.IsZero():
		m.lowSince = now
	case now.Sub(m.lowSince) > memoryLogReset:
		m.loggedStep, m.lowSince = step, time.Time{}
	}
}

// residentKB returns the process's resident memory; 0 if it is unknown.
func (m *memoryMonitor) residentKB() int64 {
	var text [128]byte
	n, _ := m.file.ReadAt(text[:], 0)
	var total, resident int64
	if _, err := fmt.Sscan(string(text[:n]), &total, &resident); err != nil {
		return 0
	}
	kb := resident * int64(os.Getpagesize()) >> 10
	for old := m.peakKB.Load(); kb > old && !m.peakKB.CompareAndSwap(old, kb); old = m.peakKB.Load() {
	}
	return kb
}

// stats returns the current figures.
func (m *memoryMonitor) stats() MemoryStats {
	samples := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"},
		{Name: "/memory/classes/heap/stacks:bytes"}}
	metrics.Read(samples)
	s := MemoryStats{HeapKB: int64(samples[0].Value.Uint64() >> 10),
		StacksKB: int64(samples[1].Value.Uint64() >> 10), Goroutines: runtime.NumGoroutine()}
	if m.file != nil {
		s.ResidentKB = m.residentKB()
	}
	s.PeakKB = m.peakKB.Load()
	m.fill(&s)
	return s
}
