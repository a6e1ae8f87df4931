package rig

// Clock faults: the tracer intercepts each clock read of the program, steps the wall clock, and holds threads
// that have just read a clock. A process normally reads its clocks through the vDSO, without a system call;
// the program is started without the vDSO, so that the tracer sees every read.

import (
	"encoding/binary"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	syscallExitStop = syscall.SIGTRAP | 0x80 // stop signal of a thread at the exit of a system call
	// Entry types of the auxiliary vector.
	auxvNull       = 0
	auxvIgnore     = 1
	auxvVDSO       = 33
	wordSize       = 8
	maxAuxvEntries = 64 // bound on the scan; a program has about twenty entries
)

// clockRead is a clock read in progress.
type clockRead struct {
	clock uint64
	addr  uintptr // where the kernel writes the time
}

// clockTracer intercepts clock reads for a tracer.
type clockTracer struct {
	pending map[int]clockRead // by thread
}

// enter handles a thread that enters a system call. It reports whether the call is a clock read, at whose
// exit the thread must stop.
func (c *clockTracer) enter(t *tracer, tid int) bool {
	info, ok := readSyscallInfo(tid)
	if !ok || info.number != unix.SYS_CLOCK_GETTIME {
		return false
	}
	c.pending[tid] = clockRead{info.args[0], uintptr(info.args[1])}
	return true
}

// exit handles a thread that has read a clock, and returns how long to hold the thread.
func (c *clockTracer) exit(t *tracer, tid int) time.Duration {
	read, ok := c.pending[tid]
	delete(c.pending, tid)
	if !ok || t.programStart.IsZero() {
		return 0
	}
	age := time.Since(t.programStart)
	if by := t.plan.Clock.offset(age); by != 0 && read.clock == unix.CLOCK_REALTIME {
		shiftTime(t.plan.PID, read.addr, by)
	}
	f := t.plan.Clock
	if f.BurstInterval > 0 && age%f.BurstInterval >= f.BurstLength || t.random.Float64() >= f.Share {
		return 0
	}
	return f.MinHold + time.Duration(t.random.Int64N(int64(max(1, f.MaxHold-f.MinHold))))
}

// offset returns the wall-clock offset at the given time since the program started.
func (f *ClockFaults) offset(age time.Duration) (by time.Duration) {
	for _, s := range f.Steps {
		if age >= s.After {
			by = s.Offset
		}
	}
	return by
}

// shiftTime adds by to the timespec that the kernel has written into the program's memory.
func shiftTime(pid int, at uintptr, by time.Duration) {
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

// hideVDSO removes the vDSO entry from the auxiliary vector of a program that is about to start, so that
// every clock read is a system call.
func hideVDSO(pid, tid int) {
	at, ok := stackPointer(tid)
	if !ok {
		return
	}
	var word [wordSize]byte
	next := func() uint64 {
		if !readMemory(pid, at, word[:]) {
			return 0
		}
		at += wordSize
		return binary.LittleEndian.Uint64(word[:])
	}
	argc := next()
	at += uintptr(argc+1) * wordSize
	for next() != 0 { // skip the environment
	}
	for range maxAuxvEntries {
		entry := at
		key := next()
		next()
		switch key {
		case auxvNull:
			return
		case auxvVDSO:
			binary.LittleEndian.PutUint64(word[:], auxvIgnore)
			writeMemory(pid, entry, word[:])
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
