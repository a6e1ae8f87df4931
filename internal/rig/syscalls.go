package rig

// System call faults: a tracer (ptrace) holds single threads of the program at the entry of a write, shortens
// reads and writes, and makes calls fail with errors that their manual pages document. The tracer is a
// process of its own, because a tracer also receives the exit notifications of the processes that it traces.
// The program is started through this test's own executable, which installs a seccomp filter on itself that
// stops the calls of interest and then execs the program: all other calls run at full speed.

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

// SyscallFaults is the set of faults injected into the system calls of one process.
type SyscallFaults struct {
	PID   int           `json:"pid"`
	Seed  uint64        `json:"seed"`
	Holds []SyscallHold `json:"holds"`
	// ShortShare is the share of reads and writes that transfer only a part of the bytes.
	ShortShare float64        `json:"short_share"`
	Errors     []SyscallError `json:"errors"`
	// Clock holds the faults of the process's clock reads; nil: none.
	Clock *ClockFaults `json:"clock"`
}

// ClockFaults is the set of faults injected into the clock reads of a process.
type ClockFaults struct {
	// Share is the share of clock reads after which the thread is held, for MinHold to MaxHold, so that it
	// continues with an outdated time. If BurstInterval is set, threads are held only during the first
	// BurstLength of each interval.
	Share         float64       `json:"share"`
	MinHold       time.Duration `json:"least"`
	MaxHold       time.Duration `json:"most"`
	BurstInterval time.Duration `json:"every"`
	BurstLength   time.Duration `json:"for"`
	// Steps are the steps of the wall clock, in order.
	Steps []ClockStep `json:"steps"`
}

// ClockStep is a step of the wall clock.
type ClockStep struct {
	After  time.Duration `json:"after"` // since the program's start
	Offset time.Duration `json:"by"`    // from the unstepped clock
}

// HoldPoint is a kind of system call before which the calling thread may be held.
type HoldPoint string

// The hold points.
const (
	HoldAttemptWrite HoldPoint = "attempt" // write of a call to a data node
	HoldReplyWrite   HoldPoint = "reply"   // write of an HTTP reply to a client
	HoldRequestWrite HoldPoint = "query"   // write of an HTTP GET request, such as a query for discovery's list
	HoldLogWrite     HoldPoint = "log"     // write to standard error
	HoldRead         HoldPoint = "read"    // any read
	HoldAccept       HoldPoint = "accept"
	HoldConnect      HoldPoint = "connect"
	HoldEpollWait    HoldPoint = "events" // wait for network events
	HoldPoll         HoldPoint = "peek"   // check whether a client has disconnected
)

// SyscallHold delays a share of the calls of one kind: the thread is held for Min to Max before the call.
type SyscallHold struct {
	Point HoldPoint     `json:"call"`
	Share float64       `json:"share"`
	Min   time.Duration `json:"least"`
	Max   time.Duration `json:"most"`
}

// SyscallError makes a share of the system calls with a given number fail without executing them. Reads and
// writes of what is no socket fail with EINTR alone: the errors of a network are not documented for them.
type SyscallError struct {
	Number uint64        `json:"number"`
	Errno  syscall.Errno `json:"errno"`
	Share  float64       `json:"share"`
}

// Environment variables that turn a process of the test executable into a tracer or into the traced program.
const (
	tracerEnv  = "LAPISLEVER_RIG_TRACER"
	programEnv = "LAPISLEVER_RIG_PROGRAM"
	clockEnv   = "LAPISLEVER_RIG_CLOCK" // set: clock reads are traced, too
)

const (
	tracerReady   = "tracing\n"
	tracerTimeout = 10 * time.Second
)

// StartTraced starts the program with faults in its system calls. The tracer exits with the program.
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

// startTracer starts the tracer and returns once it traces the process.
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
	onStarterThread(func() { err = cmd.Start() })
	if err != nil {
		return err
	}
	ready := make([]byte, len(tracerReady))
	_, err = io.ReadFull(out, ready)
	go func() { _ = cmd.Wait() }()
	if err != nil {
		return fmt.Errorf("the tracer did not start: %w", err)
	}
	return nil
}

// RunHelper runs the tracer or execs the program, and does not return, if the environment says that this
// process was started for that. TestMain calls it first.
func RunHelper() {
	var err error
	switch plan, program := os.Getenv(tracerEnv), os.Getenv(programEnv); {
	case plan != "":
		err = runTracer(plan)
	case program != "":
		err = execTraced(program)
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
	t := &tracer{heldUntil: map[int]time.Time{}, clocks: clockTracer{pending: map[int]clockRead{}}}
	if err := json.Unmarshal([]byte(plan), &t.plan); err != nil {
		return err
	}
	runtime.LockOSThread()
	t.random = rand.New(rand.NewPCG(t.plan.Seed, 9))
	return t.run()
}

// execTraced waits for the tracer, installs the filter that stops the calls of interest, and execs the
// program.
func execTraced(program string) error {
	runtime.LockOSThread()
	for end := time.Now().Add(tracerTimeout); !isTraced(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			return errors.New("no tracer attached")
		}
	}
	calls := []uint32{unix.SYS_READ, unix.SYS_WRITE, unix.SYS_SOCKET, unix.SYS_CONNECT, unix.SYS_ACCEPT4,
		pollSyscall, unix.SYS_EPOLL_PWAIT, unix.SYS_SHUTDOWN}
	if os.Getenv(clockEnv) != "" {
		calls = append(calls, unix.SYS_CLOCK_GETTIME)
	}
	if err := installFilter(calls...); err != nil {
		return err
	}
	return syscall.Exec(program, append([]string{program}, os.Args[1:]...), os.Environ())
}

func isTraced() bool {
	status, err := os.ReadFile("/proc/thread-self/status")
	return err == nil && !strings.Contains(string(status), "TracerPid:\t0\n")
}

// installFilter makes the given system calls stop for the tracer, in this thread and in the program that it
// execs.
func installFilter(numbers ...uint32) error {
	filter := []unix.SockFilter{{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS}} // loads the call number
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

// tracer is the state of the tracing process. Only its locked thread may make ptrace requests for the traced
// threads.
type tracer struct {
	plan         SyscallFaults
	random       *rand.Rand
	heldUntil    map[int]time.Time // by thread: when it is to be resumed
	execed       bool              // the process has exec'd the program
	programStart time.Time         // when the program created its first thread; faults apply from then on
	clocks       clockTracer
}

// pollSyscall is the system call that the program makes to poll a socket, on every architecture: the system
// library of x/sys has no other.
const pollSyscall = unix.SYS_PPOLL

const (
	ptraceGetSyscallInfo = 0x420e
	ptraceListen         = 0x4208
	ptraceEventStop      = 128
	eventfdSize          = 8 // bytes that a read or write of an eventfd transfers
	tracerPollPause      = 50 * time.Microsecond
	tracerSpinTime       = 200 * time.Microsecond // calls come in bursts; a pause outlasts many
	tracerOptions        = unix.PTRACE_O_TRACESECCOMP | unix.PTRACE_O_TRACECLONE | unix.PTRACE_O_TRACEEXEC |
		unix.PTRACE_O_TRACESYSGOOD | unix.PTRACE_O_EXITKILL
)

// syscallInfo is the kernel's struct ptrace_syscall_info for a call that was stopped by a seccomp filter.
type syscallInfo struct {
	op      uint8
	_       [3]byte
	arch    uint32
	ip, sp  uint64
	number  uint64
	args    [6]uint64
	padding [2]uint64
}

// readSyscallInfo returns the kernel's information on the call in which a thread has stopped.
func readSyscallInfo(tid int) (info syscallInfo, ok bool) {
	_, _, errno := unix.Syscall6(unix.SYS_PTRACE, ptraceGetSyscallInfo, uintptr(tid), unsafe.Sizeof(info),
		uintptr(unsafe.Pointer(&info)), 0, 0)
	return info, errno == 0
}

// seize starts tracing all threads of the process; threads created later are traced automatically.
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
			// A thread that was created by a seized thread is already traced (EPERM); others may have exited (ESRCH).
			if errno != 0 && errno != unix.EPERM && errno != unix.ESRCH {
				return fmt.Errorf("seize: %w", errno)
			}
		}
	}
	return nil
}

// run traces until the process has exited.
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
		case tid == 0 && time.Since(last) > tracerSpinTime:
			time.Sleep(tracerPollPause)
		case tid != 0:
			last = time.Now()
			t.handleStop(tid, status)
		}
		t.resumeDue(time.Now())
	}
}

// resumeDue resumes the held threads whose hold time has passed.
func (t *tracer) resumeDue(now time.Time) {
	for tid, until := range t.heldUntil {
		if !now.Before(until) {
			delete(t.heldUntil, tid)
			_ = unix.PtraceCont(tid, 0)
		}
	}
}

// handleStop handles the stop of a thread and resumes the thread, unless it is to be held.
func (t *tracer) handleStop(tid int, status unix.WaitStatus) {
	if !status.Stopped() {
		delete(t.heldUntil, tid)
		return
	}
	event := int(uint32(status)>>16) & 0xff
	signal := 0
	switch {
	case event == unix.PTRACE_EVENT_EXEC:
		t.execed = true
		if t.plan.Clock != nil {
			hideVDSO(t.plan.PID, tid)
		}
	case event == unix.PTRACE_EVENT_CLONE:
		if t.execed && t.programStart.IsZero() {
			t.programStart = time.Now()
		}
	case event == 0 && status.StopSignal() == syscallExitStop:
		if hold := t.clocks.exit(t, tid); hold > 0 {
			t.heldUntil[tid] = time.Now().Add(hold)
			return
		}
	case event == unix.PTRACE_EVENT_SECCOMP && !t.programStart.IsZero():
		if t.plan.Clock != nil && t.clocks.enter(t, tid) {
			_ = unix.PtraceSyscall(tid, 0) // runs until the exit of the call
			return
		}
		if hold := t.interceptCall(tid); hold > 0 {
			t.heldUntil[tid] = time.Now().Add(hold)
			return
		}
	case event == ptraceEventStop && status.StopSignal() != unix.SIGTRAP: // group stop, by a signal
		_, _, _ = unix.Syscall6(unix.SYS_PTRACE, ptraceListen, uintptr(tid), 0, 0, 0, 0)
		return
	case event == 0:
		signal = int(status.StopSignal())
	}
	_ = unix.PtraceCont(tid, signal)
}

// interceptCall applies faults to a call that a thread is about to make, and returns how long to hold the
// thread.
func (t *tracer) interceptCall(tid int) (hold time.Duration) {
	info, ok := readSyscallInfo(tid)
	if !ok {
		return 0
	}
	isIO := info.number == unix.SYS_WRITE || info.number == unix.SYS_READ
	if isIO && info.args[2] == eventfdSize { // the Go runtime's eventfd: never short, never fails
		return 0
	}
	for _, e := range t.plan.Errors {
		if info.number == e.Number && t.random.Float64() < e.Share &&
			(!isIO || e.Errno == syscall.EINTR || isSocket(t.plan.PID, info.args[0])) {
			failSyscall(tid, e.Errno)
			return 0
		}
	}
	if isIO && info.args[2] > 1 && t.random.Float64() < t.plan.ShortShare {
		setTransferSize(tid, 1+t.random.Uint64N(info.args[2]-1))
	}
	return t.drawHold(info)
}

// isSocket reports whether a descriptor of a process is a socket.
func isSocket(pid int, descriptor uint64) bool {
	target, err := os.Readlink(fmt.Sprintf("/proc/%d/fd/%d", pid, descriptor))
	return err == nil && strings.HasPrefix(target, "socket:")
}

// drawHold draws how long to hold the thread that makes a call.
func (t *tracer) drawHold(info syscallInfo) time.Duration {
	if len(t.plan.Holds) == 0 {
		return 0
	}
	point := t.holdPoint(info)
	for _, h := range t.plan.Holds {
		if h.Point != point || t.random.Float64() >= h.Share {
			continue
		}
		return h.Min + time.Duration(t.random.Int64N(int64(max(1, h.Max-h.Min))))
	}
	return 0
}

// holdPoint returns the hold point of a call; empty: the call is never held.
func (t *tracer) holdPoint(info syscallInfo) HoldPoint {
	switch info.number {
	case unix.SYS_READ:
		return HoldRead
	case unix.SYS_ACCEPT4:
		return HoldAccept
	case unix.SYS_CONNECT:
		return HoldConnect
	case unix.SYS_EPOLL_PWAIT:
		return HoldEpollWait
	case pollSyscall:
		return HoldPoll
	case unix.SYS_WRITE:
		return t.writeHoldPoint(info)
	}
	return ""
}

// writeHoldPoint determines the hold point of a write by its first bytes.
func (t *tracer) writeHoldPoint(info syscallInfo) HoldPoint {
	var head [5]byte
	readable := readMemory(t.plan.PID, uintptr(info.args[1]), head[:])
	size := uint64(head[0]) | uint64(head[1])<<8 | uint64(head[2])<<16 | uint64(head[3])<<24
	switch {
	case info.args[0] == uint64(syscall.Stderr):
		return HoldLogWrite
	case !readable:
		return ""
	case head[4] == '1' && size+4 == info.args[2]:
		return HoldAttemptWrite
	case string(head[:]) == "HTTP/":
		return HoldReplyWrite
	case string(head[:]) == "GET /":
		return HoldRequestWrite
	}
	return ""
}
