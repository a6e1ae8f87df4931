package rig

// Clock faults: the tracer sees each look of the program at a clock, moves the wall clock by steps, and holds
// threads that have just looked. The kernel lets a process read its clocks without a system call (vDSO); the
// program is started without that.

import (
	"encoding/binary"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	callEnd = syscall.SIGTRAP | 0x80 // how a thread stops at the end of a call
	// Entries of a program's auxiliary vector.
	auxEnd    = 0
	auxIgnore = 1
	auxVDSO   = 33
	wordSize  = 8
	auxMost   = 64 // entries; a program has some twenty
)

// clockLook is a look at a clock that is under way.
type clockLook struct {
	clock uint64
	at    uintptr // where the kernel writes the time
}

// clockTracer is the part of a tracer that sees clocks.
type clockTracer struct {
	pending map[int]clockLook // by thread
}

// begin takes in that a thread makes a call. It tells whether that is a look at a clock, at whose end the
// thread is to stop.
func (c *clockTracer) begin(t *tracer, tid int) bool {
	info, ok := callInfo(tid)
	if !ok || info.number != unix.SYS_CLOCK_GETTIME {
		return false
	}
	c.pending[tid] = clockLook{info.args[0], uintptr(info.args[1])}
	return true
}

// end takes in that a thread has looked at a clock, and tells how long it is to be held.
func (c *clockTracer) end(t *tracer, tid int) time.Duration {
	look, ok := c.pending[tid]
	delete(c.pending, tid)
	if !ok || t.begun.IsZero() {
		return 0
	}
	age := time.Since(t.begun)
	if by := t.plan.Clock.stepped(age); by != 0 && look.clock == unix.CLOCK_REALTIME {
		moveTime(t.plan.PID, look.at, by)
	}
	f := t.plan.Clock
	if f.Every > 0 && age%f.Every >= f.For || t.random.Float64() >= f.Share {
		return 0
	}
	return f.Least + time.Duration(t.random.Int64N(int64(max(1, f.Most-f.Least))))
}

// stepped is how far the wall clock is off, so long after the program began.
func (f *ClockFaults) stepped(age time.Duration) (by time.Duration) {
	for _, s := range f.Steps {
		if age >= s.After {
			by = s.By
		}
	}
	return by
}

// moveTime changes the time that the kernel has written into the program's memory.
func moveTime(pid int, at uintptr, by time.Duration) {
	var b [2 * wordSize]byte
	if !readMemory(pid, at, b[:]) {
		return
	}
	seconds := int64(binary.LittleEndian.Uint64(b[:]))
	ns := seconds*int64(time.Second) + int64(binary.LittleEndian.Uint64(b[wordSize:])) + int64(by)
	binary.LittleEndian.PutUint64(b[:], uint64(ns/int64(time.Second)))
	binary.LittleEndian.PutUint64(b[wordSize:], uint64(ns%int64(time.Second)))
	writeMemory(pid, at, b[:])
}

// hideVDSO has a program that is about to begin find no vDSO, so that each look at a clock is a system call.
func hideVDSO(pid, tid int) {
	var regs unix.PtraceRegs
	if unix.PtraceGetRegs(tid, &regs) != nil {
		return
	}
	at := uintptr(regs.Rsp)
	var word [wordSize]byte
	next := func() uint64 {
		if !readMemory(pid, at, word[:]) {
			return 0
		}
		at += wordSize
		return binary.LittleEndian.Uint64(word[:])
	}
	arguments := next()
	at += uintptr(arguments+1) * wordSize
	for next() != 0 { // the environment
	}
	for range auxMost {
		place := at
		key := next()
		next()
		switch key {
		case auxEnd:
			return
		case auxVDSO:
			binary.LittleEndian.PutUint64(word[:], auxIgnore)
			writeMemory(pid, place, word[:])
			return
		}
	}
}

func readMemory(pid int, at uintptr, b []byte) bool {
	n, err := unix.ProcessVMReadv(pid, iovec(b), []unix.RemoteIovec{{Base: at, Len: len(b)}}, 0)
	return err == nil && n == len(b)
}

func writeMemory(pid int, at uintptr, b []byte) {
	_, _ = unix.ProcessVMWritev(pid, iovec(b), []unix.RemoteIovec{{Base: at, Len: len(b)}}, 0)
}

func iovec(b []byte) []unix.Iovec { return []unix.Iovec{{Base: &b[0], Len: uint64(len(b))}} }
