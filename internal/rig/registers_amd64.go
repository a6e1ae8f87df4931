package rig

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// failSyscall makes the call that a stopped thread is about to make fail without executing it.
func failSyscall(tid int, errno syscall.Errno) {
	editRegisters(tid, func(r *unix.PtraceRegs) { r.Orig_rax, r.Rax = ^uint64(0), uint64(-int64(errno)) })
}

// setTransferSize sets the number of bytes of the read or write that a stopped thread is about to make.
func setTransferSize(tid int, size uint64) {
	editRegisters(tid, func(r *unix.PtraceRegs) { r.Rdx = size })
}

// stackPointer returns the stack pointer of a stopped thread.
func stackPointer(tid int) (uintptr, bool) {
	var r unix.PtraceRegs
	err := unix.PtraceGetRegs(tid, &r)
	return uintptr(r.Rsp), err == nil
}

func editRegisters(tid int, change func(*unix.PtraceRegs)) {
	var r unix.PtraceRegs
	if unix.PtraceGetRegs(tid, &r) == nil {
		change(&r)
		_ = unix.PtraceSetRegs(tid, &r)
	}
}
