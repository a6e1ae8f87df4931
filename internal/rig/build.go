// Package rig runs several processes of the program on loopback and injects faults between them, for tests
// and measurement tools. Each member has its own addresses in 127.0.0.0/8. Every directed link between two
// members, and from a member to a data node or to discovery, runs through a relay. All events go into one
// history. The package must never be linked into the serving program, and it kills only processes that it has
// started.
package rig

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// programBuild is one build of the program, made at most once per test process.
type programBuild struct {
	once sync.Once
	path string
	err  error
}

var (
	testBuild  programBuild // with the race detector if the caller has it
	plainBuild programBuild // never with it, as the detector multiplies the memory that a process needs
)

// BuildProgram builds the program once per test process and returns its path. If the caller is built with the
// race detector, so is the program.
func BuildProgram() (string, error) { return testBuild.make(raceEnabled) }

// BuildPlainProgram builds the program without the race detector, for tests of the memory that it needs.
func BuildPlainProgram() (string, error) { return plainBuild.make(false) }

func (b *programBuild) make(race bool) (string, error) {
	b.once.Do(func() {
		dir, err := os.MkdirTemp("", "lapislever-rig-")
		if err != nil {
			b.err = err
			return
		}
		path := filepath.Join(dir, "lapislever")
		args := []string{"build", "-o", path}
		if race {
			args = append(args, "-race")
		}
		out, err := exec.Command("go", append(args, "lapislever/cmd/lapislever")...).CombinedOutput()
		if err != nil {
			b.err = fmt.Errorf("build: %w: %s", err, out)
		}
		b.path = path
	})
	return b.path, b.err
}

// RemoveProgram removes what BuildProgram and BuildPlainProgram have built.
func RemoveProgram() {
	for _, b := range []*programBuild{&testBuild, &plainBuild} {
		if b.path != "" {
			_ = os.RemoveAll(filepath.Dir(b.path))
		}
	}
}

// starter starts processes from one OS thread that lives as long as this process. PR_SET_PDEATHSIG is bound
// to the parent thread, so the kernel kills the processes when this process ends, however it ends.
var starter struct {
	once sync.Once
	in   chan func()
}

// onStarterThread runs f on the starter's thread and waits for it.
func onStarterThread(f func()) {
	starter.once.Do(func() {
		starter.in = make(chan func())
		go func() {
			runtime.LockOSThread()
			for f := range starter.in {
				f()
			}
		}()
	})
	done := make(chan struct{})
	starter.in <- func() { f(); close(done) }
	<-done
}

// Proc is one process of the program.
type Proc struct {
	cmd     *exec.Cmd
	log     *os.File
	LogPath string
	done    chan struct{} // closed once the process has exited
	err     error         // valid once done is closed
}

// Start starts the program; its output is appended to the file log.
func Start(path string, args, env []string, log string) (*Proc, error) {
	f, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	p := &Proc{cmd: exec.Command(path, args...), log: f, LogPath: log, done: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout, p.cmd.Stderr = f, f
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	onStarterThread(func() { err = p.cmd.Start() })
	if err != nil {
		_ = f.Close()
		return nil, err
	}
	go func() {
		p.err = p.cmd.Wait()
		_ = f.Close()
		close(p.done)
	}()
	return p, nil
}

// Signal sends a signal to the process. It cannot hit another process that reuses the PID, because os.Process
// sends nothing once the process has been reaped.
func (p *Proc) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Exited reports whether the process has exited.
func (p *Proc) Exited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Wait waits up to timeout for the process to exit and returns its exit status. It returns -1 if a signal
// terminated the process or it is still running.
func (p *Proc) Wait(timeout time.Duration) int {
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(timeout):
		return -1
	}
}

// Kill sends SIGKILL and waits until the process has exited.
func (p *Proc) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}
