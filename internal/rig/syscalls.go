package rig

// System call faults: a tracer (ptrace) holds single threads of the program at the entry of a write, shortens
// reads and writes, and has calls fail as their manual pages say. The tracer is a process beside the
// caller's, as whoever traces is also told of the end of what it traces. The program is started by way of
// this test's own executable, which sets a filter (seccomp) on itself that has the calls in question stop,
// and then becomes the program: all other calls run at full speed.

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// SyscallFaults says what befalls the system calls of one process.
type SyscallFaults struct {
	PID   int           `json:"pid"`
	Seed  uint64        `json:"seed"`
	Holds []SyscallHold `json:"holds"`
	// ShortShare is the share of reads and writes on which only a part of the bytes is moved.
	ShortShare float64        `json:"short_share"`
	Errors     []SyscallError `json:"errors"`
	// Clock befalls the process's looks at its clocks; nil: nothing does.
	Clock *ClockFaults `json:"clock"`
}

// ClockFaults says what befalls a process's looks at its clocks.
type ClockFaults struct {
	// Share is the share of looks behind which the thread is held, for Least to Most: it goes on with a time
	// that is over. Where Every is set that is so for the first For of each such span only.
	Share float64       `json:"share"`
	Least time.Duration `json:"least"`
	Most  time.Duration `json:"most"`
	Every time.Duration `json:"every"`
	For   time.Duration `json:"for"`
	// Steps move the wall clock, one after the other.
	Steps []ClockStep `json:"steps"`
}

// ClockStep is a step of the wall clock.
type ClockStep struct {
	After time.Duration `json:"after"` // since the program began
	By    time.Duration `json:"by"`    // from where the clock would be without any step
}

// HeldCall is a kind of system call whose thread may be held before it.
type HeldCall string

// The kinds of system calls that may be held.
const (
	HeldAttempt HeldCall = "attempt" // the write of a call to a data node
	HeldReply   HeldCall = "reply"   // the write of an HTTP reply to a client
	HeldQuery   HeldCall = "query"   // the write of an HTTP request, as to discovery
	HeldLog     HeldCall = "log"     // the write of a line to standard error
	HeldRead    HeldCall = "read"    // any read
	HeldAccept  HeldCall = "accept"
	HeldConnect HeldCall = "connect"
	HeldEvents  HeldCall = "events" // the wait for network events
	HeldPeek    HeldCall = "peek"   // the look whether a client has left
)

// SyscallHold has a share of the calls of one kind begin late: the thread is held before the call.
type SyscallHold struct {
	Call  HeldCall      `json:"call"`
	Share float64       `json:"share"`
	Least time.Duration `json:"least"`
	Most  time.Duration `json:"most"`
}

// SyscallError has a share of the calls of one number fail, without being made.
type SyscallError struct {
	Number uint64        `json:"number"`
	Errno  syscall.Errno `json:"errno"`
	Share  float64       `json:"share"`
}

// These variables make a process of this program's tests a tracer, or one that becomes the program.
const (
	tracerEnv  = "LAPISLEVER_RIG_TRACER"
	programEnv = "LAPISLEVER_RIG_PROGRAM"
	clockEnv   = "LAPISLEVER_RIG_CLOCK" // set: the tracer sees each look at a clock, too
)

const (
	tracerReady = "tracing\n"
	tracerWait  = 10 * time.Second
)

// StartTraced starts the program with faults in its system calls. The tracer ends with it.
func StartTraced(path string, args, env []string, log string, faults SyscallFaults) (*Proc, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	env = append(env, programEnv+"="+path)
	if faults.Clock != nil {
		env = append(env, clockEnv+"=1")
	}
	p, err := Start(self, args, env, log)
	if err != nil {
		return nil, err
	}
	faults.PID = p.cmd.Process.Pid
	if err := startTracer(self, faults); err != nil {
		p.Kill()
		return nil, err
	}
	return p, nil
}

// startTracer returns once the process is traced.
func startTracer(self string, faults SyscallFaults) error {
	plan, err := json.Marshal(faults)
	if err != nil {
		return err
	}
	cmd := exec.Command(self)
	cmd.Env = append(os.Environ(), tracerEnv+"="+string(plan))
	cmd.Stderr = os.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	onStarter(func() { err = cmd.Start() })
	if err != nil {
		return err
	}
	word := make([]byte, len(tracerReady))
	_, err = io.ReadFull(out, word)
	go func() { _ = cmd.Wait() }()
	if err != nil {
		return fmt.Errorf("the tracer did not start: %w", err)
	}
	return nil
}

// RunHelper does what this process was started for, where that is to trace or to become the program, and does
// not return then. TestMain calls it first.
func RunHelper() {
	var err error
	switch plan, program := os.Getenv(tracerEnv), os.Getenv(programEnv); {
	case plan != "":
		err = runTracer(plan)
	case program != "":
		err = becomeTraced(program)
	default:
		return
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
		os.Exit(1)
	}
	os.Exit(0)
}

func runTracer(plan string) error {
	t := &tracer{held: map[int]time.Time{}, clocks: clockTracer{pending: map[int]clockLook{}}}
	if err := json.Unmarshal([]byte(plan), &t.plan); err != nil {
		return err
	}
	runtime.LockOSThread()
	t.random = rand.New(rand.NewPCG(t.plan.Seed, 9))
	return t.run()
}

// becomeTraced waits for the tracer, has the calls that it looks at stop from now on, and becomes the
// program.
func becomeTraced(program string) error {
	runtime.LockOSThread()
	for end := time.Now().Add(tracerWait); !isTraced(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			return errors.New("no tracer came")
		}
	}
	calls := []uint32{unix.SYS_READ, unix.SYS_WRITE, unix.SYS_SOCKET, unix.SYS_CONNECT, unix.SYS_ACCEPT4,
		unix.SYS_POLL, unix.SYS_EPOLL_PWAIT, unix.SYS_SHUTDOWN}
	if os.Getenv(clockEnv) != "" {
		calls = append(calls, unix.SYS_CLOCK_GETTIME)
	}
	if err := stopCalls(calls...); err != nil {
		return err
	}
	return syscall.Exec(program, append([]string{program}, os.Args[1:]...), os.Environ())
}

func isTraced() bool {
	status, err := os.ReadFile("/proc/thread-self/status")
	return err == nil && !strings.Contains(string(status), "TracerPid:\t0\n")
}

// stopCalls has the tracer see these calls of this thread, and of the program that it becomes.
func stopCalls(numbers ...uint32) error {
	filter := []unix.SockFilter{{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS}} // the number comes first
	for i, n := range numbers {
		filter = append(filter, unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: n,
			Jt: uint8(len(numbers) - i)})
	}
	filter = append(filter, unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: unix.SECCOMP_RET_ALLOW},
		unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: unix.SECCOMP_RET_TRACE})
	program := unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return fmt.Errorf("no new privileges: %w", err)
	}
	if _, _, errno := unix.Syscall(unix.SYS_SECCOMP, unix.SECCOMP_SET_MODE_FILTER, 0,
		uintptr(unsafe.Pointer(&program))); errno != 0 {
		return fmt.Errorf("filter: %w", errno)
	}
	return nil
}

// tracer is the tracing process; only its locked thread may ask the kernel about the threads that it traces.
type tracer struct {
	plan   SyscallFaults
	random *rand.Rand
	held   map[int]time.Time // threads, and when they are to go on
	loaded bool              // the process has become the program
	begun  time.Time         // the program itself runs since then: faults befall it from now on
	clocks clockTracer
}

const (
	ptraceGetSyscallInfo = 0x420e
	ptraceListen         = 0x4208
	eventStop            = 128
	eventSize            = 8 // bytes that an eventfd moves
	tracerPause          = 50 * time.Microsecond
	tracerSpin           = 200 * time.Microsecond // calls come in bursts, and a pause is far longer than one
	tracerOptions        = unix.PTRACE_O_TRACESECCOMP | unix.PTRACE_O_TRACECLONE | unix.PTRACE_O_TRACEEXEC |
		unix.PTRACE_O_TRACESYSGOOD | unix.PTRACE_O_EXITKILL
)

// syscallInfo is the kernel's struct ptrace_syscall_info, of a call that a filter stops.
type syscallInfo struct {
	op      uint8
	_       [3]byte
	arch    uint32
	ip, sp  uint64
	number  uint64
	args    [6]uint64
	padding [2]uint64
}

// callInfo is what the kernel tells of the call in which a thread has stopped.
func callInfo(tid int) (info syscallInfo, ok bool) {
	_, _, errno := unix.Syscall6(unix.SYS_PTRACE, ptraceGetSyscallInfo, uintptr(tid), unsafe.Sizeof(info),
		uintptr(unsafe.Pointer(&info)), 0, 0)
	return info, errno == 0
}

// seize begins to trace all threads; those that are started later follow by themselves.
func (t *tracer) seize() error {
	seen := map[int]bool{}
	for found := true; found; {
		found = false
		list, err := os.ReadDir(fmt.Sprintf("/proc/%d/task", t.plan.PID))
		if err != nil {
			return err
		}
		for _, e := range list {
			tid, err := strconv.Atoi(e.Name())
			if err != nil || seen[tid] {
				continue
			}
			seen[tid], found = true, true
			_, _, errno := unix.Syscall6(unix.SYS_PTRACE, unix.PTRACE_SEIZE, uintptr(tid), 0, tracerOptions, 0, 0)
			// One that is traced already is a child of another one, or it has ended.
			if errno != 0 && errno != unix.EPERM && errno != unix.ESRCH {
				return fmt.Errorf("seize: %w", errno)
			}
		}
	}
	return nil
}

// run traces until the process ends.
func (t *tracer) run() error {
	if err := t.seize(); err != nil {
		return err
	}
	fmt.Print(tracerReady)
	last := time.Now() // when a thread last stopped
	for {
		var status unix.WaitStatus
		tid, err := unix.Wait4(-1, &status, unix.WNOHANG|unix.WALL, nil)
		switch {
		case errors.Is(err, unix.ECHILD):
			return nil
		case errors.Is(err, unix.EINTR):
		case err != nil:
			return fmt.Errorf("wait: %w", err)
		case tid == 0 && time.Since(last) > tracerSpin:
			time.Sleep(tracerPause)
		case tid != 0:
			last = time.Now()
			t.stopped(tid, status)
		}
		t.release(time.Now())
	}
}

// release lets threads go on whose time has come.
func (t *tracer) release(now time.Time) {
	for tid, until := range t.held {
		if !now.Before(until) {
			delete(t.held, tid)
			_ = unix.PtraceCont(tid, 0)
		}
	}
}

// stopped takes in why a thread has stopped and lets it go on, unless it is to be held.
func (t *tracer) stopped(tid int, status unix.WaitStatus) {
	if !status.Stopped() {
		delete(t.held, tid)
		return
	}
	event := int(uint32(status)>>16) & 0xff
	signal := 0
	switch {
	case event == unix.PTRACE_EVENT_EXEC:
		t.loaded = true
		if t.plan.Clock != nil {
			hideVDSO(t.plan.PID, tid)
		}
	case event == unix.PTRACE_EVENT_CLONE:
		if t.loaded && t.begun.IsZero() {
			t.begun = time.Now()
		}
	case event == 0 && status.StopSignal() == callEnd:
		if hold := t.clocks.end(t, tid); hold > 0 {
			t.held[tid] = time.Now().Add(hold)
			return
		}
	case event == unix.PTRACE_EVENT_SECCOMP && !t.begun.IsZero():
		if t.plan.Clock != nil && t.clocks.begin(t, tid) {
			_ = unix.PtraceSyscall(tid, 0) // to the end of the call
			return
		}
		if hold := t.call(tid); hold > 0 {
			t.held[tid] = time.Now().Add(hold)
			return
		}
	case event == eventStop && status.StopSignal() != unix.SIGTRAP: // stopped by a signal, as a whole
		_, _, _ = unix.Syscall6(unix.SYS_PTRACE, ptraceListen, uintptr(tid), 0, 0, 0, 0)
		return
	case event == 0:
		signal = int(status.StopSignal())
	}
	_ = unix.PtraceCont(tid, signal)
}

// call decides on a call that a thread is about to make, and returns how long the thread is to be held.
func (t *tracer) call(tid int) (hold time.Duration) {
	info, ok := callInfo(tid)
	if !ok {
		return 0
	}
	moves := info.number == unix.SYS_WRITE || info.number == unix.SYS_READ
	if moves && info.args[2] == eventSize { // the runtime's own eventfd, which does neither
		return 0
	}
	for _, e := range t.plan.Errors {
		if info.number == e.Number && t.random.Float64() < e.Share {
			t.edit(tid, func(r *unix.PtraceRegs) { r.Orig_rax, r.Rax = ^uint64(0), uint64(-int64(e.Errno)) })
			return 0
		}
	}
	if moves && info.args[2] > 1 && t.random.Float64() < t.plan.ShortShare {
		t.edit(tid, func(r *unix.PtraceRegs) { r.Rdx = 1 + t.random.Uint64N(r.Rdx-1) })
	}
	return t.holdOf(info)
}

// holdOf draws how long the thread that makes a call is to be held.
func (t *tracer) holdOf(info syscallInfo) time.Duration {
	if len(t.plan.Holds) == 0 {
		return 0
	}
	kind := t.kindOf(info)
	for _, h := range t.plan.Holds {
		if h.Call != kind || t.random.Float64() >= h.Share {
			continue
		}
		return h.Least + time.Duration(t.random.Int64N(int64(max(1, h.Most-h.Least))))
	}
	return 0
}

// kindOf tells what a call is for; empty: nothing that may be held.
func (t *tracer) kindOf(info syscallInfo) HeldCall {
	switch info.number {
	case unix.SYS_READ:
		return HeldRead
	case unix.SYS_ACCEPT4:
		return HeldAccept
	case unix.SYS_CONNECT:
		return HeldConnect
	case unix.SYS_EPOLL_PWAIT:
		return HeldEvents
	case unix.SYS_POLL:
		return HeldPeek
	case unix.SYS_WRITE:
		return t.writeKind(info)
	}
	return ""
}

// writeKind tells what is being written by its first bytes.
func (t *tracer) writeKind(info syscallInfo) HeldCall {
	var head [5]byte
	known := readMemory(t.plan.PID, uintptr(info.args[1]), head[:])
	size := uint64(head[0]) | uint64(head[1])<<8 | uint64(head[2])<<16 | uint64(head[3])<<24
	switch {
	case info.args[0] == uint64(syscall.Stderr):
		return HeldLog
	case !known:
		return ""
	case head[4] == '1' && size+4 == info.args[2]:
		return HeldAttempt
	case string(head[:]) == "HTTP/":
		return HeldReply
	case string(head[:]) == "GET /":
		return HeldQuery
	}
	return ""
}

// edit changes a stopped thread's registers.
func (t *tracer) edit(tid int, change func(*unix.PtraceRegs)) {
	var r unix.PtraceRegs
	if unix.PtraceGetRegs(tid, &r) == nil {
		change(&r)
		_ = unix.PtraceSetRegs(tid, &r)
	}
}
