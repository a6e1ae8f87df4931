// Command lab-2 plays the cases 6 to 10 of the review: each starts processes of the project with small
// stand-ins around them, on loopback and the real clock, and judges one rule by what clients and data nodes
// can see. Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// memoryMB is the limit on memory that the coordinators are told.
const memoryMB = 192

// cannotRun ends the case where it could not be played.
type cannotRun struct{ why string }

func must(err error) {
	if err != nil {
		panic(cannotRun{err.Error()})
	}
}

// world holds what a case has started, and its record.
type world struct {
	root, temp string
	trouble    bool
	begun      time.Time
	mu         sync.Mutex // guards record
	record     *os.File
	processes  []*process // guarded by mu
}

func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%9.3f "+format+"\n", append([]any{time.Since(w.begun).Seconds()}, args...)...)
}

// process is a program of the project.
type process struct {
	name string
	cmd  *exec.Cmd
	log  string
	done chan struct{} // closed when it has ended
}

// start starts the deploy file's run command, with further arguments and variables.
func (w *world) start(name, arguments string, env ...string) *process {
	text, err := os.ReadFile(filepath.Join(w.root, "deploy", "balancer.toml"))
	must(err)
	run := ""
	for _, line := range strings.Split(string(text), "\n") {
		if v, ok := strings.CutPrefix(line, "run = "); ok {
			run = strings.Trim(strings.TrimSpace(v), `"`)
		}
	}
	if run == "" {
		panic(cannotRun{"the deploy file has no run command"})
	}
	p := &process{name: name, log: filepath.Join(w.temp, name+".log"), done: make(chan struct{})}
	p.cmd = exec.Command("/bin/sh", "-c", strings.TrimSpace(run+" "+arguments))
	p.cmd.Dir = w.root
	p.cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + w.temp, "TMPDIR=" + w.temp}, env...)
	out, err := os.Create(p.log)
	must(err)
	defer out.Close()
	p.cmd.Stdout, p.cmd.Stderr = out, out
	must(p.cmd.Start())
	w.mu.Lock()
	w.processes = append(w.processes, p)
	w.mu.Unlock()
	w.note("process %s started", name)
	go func() {
		_ = p.cmd.Wait()
		w.note("process %s ended: %v", name, p.cmd.ProcessState)
		close(p.done)
	}()
	return p
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// stopAll ends all processes that the case has started.
func (w *world) stopAll() {
	w.mu.Lock()
	all := slices.Clone(w.processes)
	w.mu.Unlock()
	for _, p := range all {
		if !p.ended() {
			p.signal(syscall.SIGCONT)
			p.signal(syscall.SIGKILL)
			<-p.done
		}
	}
}

// limitTime ends the case where it takes too long, or is told to end.
func (w *world) limitTime() {
	signals := make(chan os.Signal, 1)
	signal.Ignore(syscall.SIGPIPE) // a reader of the results that goes away must not end the case halfway
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		select {
		case <-signals:
		case <-time.After(110 * time.Second):
		}
		w.note("could not run: it did not come to its end in time")
		w.stopAll()
		_ = os.RemoveAll(w.temp)
		os.Exit(2)
	}()
}

// keepLog appends the last lines of a process's log to the record.
func (w *world) keepLog(p *process, lines int) {
	text, _ := os.ReadFile(p.log)
	all := strings.Split(strings.TrimSpace(string(text)), "\n")
	for _, line := range all[max(0, len(all)-lines):] {
		w.note("log of %s: %s", p.name, line)
	}
}

// freeAddr returns a loopback address with a port that nobody listens on.
func freeAddr() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	defer l.Close()
	return l.Addr().String()
}

// ledgerSettings returns settings like those of the deployment vltava-ledger: 12 shards in 6 cells.
func ledgerSettings() map[string]any {
	lane := func(name, effect string, worth, aim, deadline, window int) map[string]any {
		return map[string]any{"name": name, "idempotency": effect, "keyScope": "all", "worth": worth,
			"lateWorth": 0, "goalTimeUs": aim, "hardLimitUs": deadline, "windowUs": window, "streamed": false}
	}
	return map[string]any{
		"azs": []any{"praha", "brno", "budejovice"}, "zone": 0, "peersTotal": 1, "me": 0, "quantumUs": 5000,
		"membershipMode": "automatic", "domainType": "fanout", "layer": 0, "tiers": []any{"ledger-nodes"},
		"weights": "rough", "worthBy": "request", "overShareWorth": 0.1, "tenants": []any{},
		"callers": map[string]any{"marksRetry": true}, "models": []any{"std-2c", "slow-2c"},
		"bounds": map[string]any{"cancel": true, "connIdleUs": 15000000, "cpuUsPerRequest": 0,
			"cpuUsPerS": 400000, "dialTimeoutUs": 250000, "maxOpen": 150, "maxRetryAfterUs": 2000000,
			"peers": false, "probes": true, "retryAfter": true, "secondCopies": true, "sendCap": 4,
			"streamsPerConn": 32},
		"costs": map[string]any{"crossZone": 0.009, "waste": 0.045, "probe": 0.01, "peer": 0.01,
			"lateFail": 0.03},
		"extra": map[string]any{"bundleMax": 1, "callCostUs": 0, "classNeed": []any{1, 1, 1},
			"followUp": []any{0, 0, 0}, "leastShare": []any{1, 1, 1}, "partialEarns": []any{0.9, 0.9, 0.9},
			"places": 6, "reach": 1, "slices": 12, "warmKeys": false},
		"lanes": []any{lane("day-report", "read_like", 5, 3000000, 10000000, 5000000),
			lane("rate-check", "read_like", 1, 1500000, 4000000, 5000000),
			lane("exchange-post", "idempotency_key", 1, 1500000, 3000000, 3000000)},
		"reporting": map[string]any{"via": "answers", "columns": []any{"rps", "waiting"}},
		"rules": map[string]any{"answerSlackUs": 20000, "coldFrom": 0.18, "drainGraceUs": 500000,
			"fallMultiple": 2.5, "fallUs": 2000000, "mustAskInUs": 10000000, "rampTimeUs": 17000000},
	}
}

// coordinatorConfig writes the platform's configuration file and returns the variables that name it.
func (w *world) coordinatorConfig(name, listen, operator string, d *discovery,
	settings map[string]any) []string {
	config := map[string]any{"name": name, "listen": listen, "discovery": d.addr, "seed": "8c1f30d27a5be964",
		"operator": operator, "limits": map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": 1024},
		"known": d.list(0), "settings": settings}
	b, err := json.Marshal(config)
	must(err)
	path := filepath.Join(w.temp, name+".json")
	must(os.WriteFile(path, b, 0o600))
	return []string{"RELAY_CONFIG=" + path, "RELAY_NAME=" + name, "RELAY_LISTEN=" + listen,
		"RELAY_DISCOVERY=" + d.addr, "RELAY_OPERATOR=" + operator}
}

// waitFor polls a condition.
func waitFor(what string, limit time.Duration, cond func() bool) {
	for end := time.Now().Add(limit); !cond(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			panic(cannotRun{"waited in vain for " + what})
		}
	}
}

// copyConfig copies a configuration file with another operators' address.
func (w *world) copyConfig(env []string, name, operator string) []string {
	b, err := os.ReadFile(filepath.Join(w.temp, name+".json"))
	must(err)
	var config map[string]any
	must(json.Unmarshal(b, &config))
	config["operator"] = operator
	b, err = json.Marshal(config)
	must(err)
	path := filepath.Join(w.temp, name+"-new.json")
	must(os.WriteFile(path, b, 0o600))
	for i, v := range env {
		if strings.HasPrefix(v, "RELAY_CONFIG=") {
			env[i] = "RELAY_CONFIG=" + path
		}
	}
	return env
}
