package rig

import (
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Register sets of ptrace(2) on this architecture.
const (
	generalRegisters   = 1     // NT_PRSTATUS
	systemCallRegister = 0x404 // NT_ARM_SYSTEM_CALL: the number of the call, which no general register holds
)

// noSyscall is the call number that makes the kernel execute no call.
const noSyscall = int32(-1)

// failSyscall makes the call that a stopped thread is about to make fail without executing it.
func failSyscall(tid int, errno syscall.Errno) {
	number := noSyscall
	vector := unix.Iovec{Base: (*byte)(unsafe.Pointer(&number)), Len: uint64(unsafe.Sizeof(number))}
	if _, _, failure := unix.Syscall6(unix.SYS_PTRACE, unix.PTRACE_SETREGSET, uintptr(tid), systemCallRegister,
		uintptr(unsafe.Pointer(&vector)), 0, 0); failure != 0 {
		return
	}
	editRegisters(tid, func(r *unix.PtraceRegsArm64) { r.Regs[0] = uint64(-int64(errno)) })
}

// setTransferSize sets the number of bytes of the read or write that a stopped thread is about to make.
func setTransferSize(tid int, size uint64) {
	editRegisters(tid, func(r *unix.PtraceRegsArm64) { r.Regs[2] = size })
}

// stackPointer returns the stack pointer of a stopped thread.
func stackPointer(tid int) (uintptr, bool) {
	var r unix.PtraceRegsArm64
	err := unix.PtraceGetRegSetArm64(tid, generalRegisters, &r)
	return uintptr(r.Sp), err == nil
}

func editRegisters(tid int, change func(*unix.PtraceRegsArm64)) {
	var r unix.PtraceRegsArm64
	if unix.PtraceGetRegSetArm64(tid, generalRegisters, &r) == nil {
		change(&r)
		_ = unix.PtraceSetRegSetArm64(tid, generalRegisters, &r)
	}
}
