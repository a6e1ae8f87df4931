// Package rig runs several processes of the program on loopback and puts faults between them: for tests and
// for tools that measure. Each member has addresses of its own in 127.0.0.0/8, and each directed link between
// two members, and from a member to a data node or to discovery, runs through a relay. What happened goes
// into one history. It is never linked into serving, and ends only processes that it has started.
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

var build struct {
	once sync.Once
	path string
	err  error
}

// Program builds the program once for this process and returns its path. Where the race detector watches the
// caller it watches the program too.
func Program() (string, error) {
	build.once.Do(func() {
		dir, err := os.MkdirTemp("", "lapislever-rig-")
		if err != nil {
			build.err = err
			return
		}
		path := filepath.Join(dir, "lapislever")
		args := []string{"build", "-o", path}
		if raced {
			args = append(args, "-race")
		}
		out, err := exec.Command("go", append(args, "lapislever/cmd/lapislever")...).CombinedOutput()
		if err != nil {
			build.err = fmt.Errorf("build: %w: %s", err, out)
		}
		build.path = path
	})
	return build.path, build.err
}

// RemoveProgram removes what Program has built.
func RemoveProgram() {
	if build.path != "" {
		_ = os.RemoveAll(filepath.Dir(build.path))
	}
}

// starter starts processes from one thread that lives as long as this process: when that ends, however it
// does, the kernel kills them (PR_SET_PDEATHSIG goes by the thread).
var starter struct {
	once sync.Once
	in   chan func()
}

func onStarter(f func()) {
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
	cmd  *exec.Cmd
	log  *os.File
	Log  string // its log's path
	done chan struct{}
	err  error // once done
}

// Start starts the program.
func Start(path string, args, env []string, log string) (*Proc, error) {
	f, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	p := &Proc{cmd: exec.Command(path, args...), log: f, Log: log, done: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout, p.cmd.Stderr = f, f
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	onStarter(func() { err = p.cmd.Start() })
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

// Signal sends a signal to the process, and to no other: it is not reaped before it has ended.
func (p *Proc) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Ended tells that the process is over.
func (p *Proc) Ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Wait waits for the process's end, and returns its exit status; -1: a signal has ended it, or it goes on.
func (p *Proc) Wait(most time.Duration) int {
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(most):
		return -1
	}
}

// Kill ends the process at once and waits for that.
func (p *Proc) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}
