// Command lapislever is the coordinator. This file parses the command line and assembles the parts. It must
// never contain logic of its own.
package main

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/pflag"

	"lapislever/internal/console"
	"lapislever/internal/fleet"
	"lapislever/internal/importer"
	"lapislever/internal/legacyfront"
	"lapislever/internal/platform"
	"lapislever/internal/promql"
)

// errUsage marks an error of the command line itself.
var errUsage = errors.New("usage")

const usage = `usage: lapislever COMMAND [flags]

commands:
  serve     run one coordinator
  check     validate the configuration and stop
  import    make a file for --promql or --translate of a mod_jk worker file or Apache's balancers
  fleet     members | verdicts | cordon ID | uncordon ID, at a coordinator's door
  admission show | ban PREFIX | pin PREFIX | lift PREFIX, at a coordinator's door
  snapshot  show FILE | check FILE, of what --state keeps
  rehearse  list | run SCENARIO | compare SCENARIO A B | report SCENARIO, with emulated nodes and load
  version   print the version

RELAY_CONFIG names the platform's configuration. With --promql FILE range queries are served too, and without
RELAY_CONFIG they alone. With --translate FILE, and without RELAY_CONFIG, old terminals are served by nodes of
the old form and of the new one. With --fleet FILE the coordinator takes part in a fleet. With --state FOLDER
it keeps there what the next process should know of the list of data nodes.
`

func main() {
	err := run(os.Args[1:], os.Stdout, os.Stderr, os.Getenv, platform.Signals())
	if err != nil {
		fmt.Fprintln(os.Stderr, "lapislever:", err)
	}
	switch {
	case errors.Is(err, errUsage), errors.Is(err, console.ErrUsage):
		os.Exit(2)
	case err != nil:
		os.Exit(1)
	}
}

func run(args []string, stdout, stderr io.Writer, env func(string) string, signals <-chan os.Signal) error {
	if len(args) == 0 {
		fmt.Fprint(stderr, usage)
		return fmt.Errorf("%w: a command is needed", errUsage)
	}
	if args[0] == "rehearse" {
		return console.ExecSibling("rehearse", args[1:])
	}
	flags := pflag.NewFlagSet(args[0], pflag.ContinueOnError)
	flags.SetOutput(stderr)
	verbose, wantArgs := false, 0
	var files sources
	var importOpts importer.Options
	var admission admissionCall
	fleetCmd := console.FleetCommand{Stop: signals}
	var snapshotCmd console.SnapshotCommand
	switch args[0] {
	case "serve", "check":
		flags.BoolVarP(&verbose, "verbose", "v", false, "log more")
		flags.StringVar(&files.ranges, "promql", "", "serve range queries as this file says")
		flags.StringVar(&files.translate, "translate", "", "serve old terminals as this file says")
		flags.StringVar(&files.fleet, "fleet", "", "take part in the fleet that this file names")
		flags.StringVar(&files.state, "state", "", "keep what the next process should know in this folder")
	case "import":
		flags.StringVar(&importOpts.Listen, "listen", "127.0.0.1:9090", "address that the front listens on")
		flags.StringVar(&importOpts.Class, "class", "", "class that requests count as")
		flags.StringVar(&importOpts.Target, "for", importer.TargetPromQL,
			"what the file is for: promql or translate")
		wantArgs = 1
	case "admission":
		flags.StringVar(&admission.addr, "door", "", "address of the operators' door")
		flags.DurationVar(&admission.span, "for", 10*time.Minute, "how long a ban or a pin holds")
		wantArgs = -1
	case "fleet":
		flags.StringVar(&fleetCmd.Addr, "door", "", "address of the operators' door")
		flags.BoolVar(&fleetCmd.JSON, "json", false, "print the door's own words")
		flags.BoolVar(&fleetCmd.Watch, "watch", false, "again every second")
		flags.DurationVar(&fleetCmd.Duration, "for", 0,
			"how long a node is to be out; without: until it is taken back")
		flags.DurationVar(&fleetCmd.Wait, "wait", 0, "wait so long for all members that are alive")
		flags.StringVar(&fleetCmd.By, "by", env("USER"), "who says so")
		flags.StringVar(&fleetCmd.Reason, "reason", "", "why")
		wantArgs = -1
	case "snapshot":
		flags.BoolVar(&snapshotCmd.JSON, "json", false, "print JSON")
		wantArgs = -1
	case "version":
	case "help", "-h", "--help":
		fmt.Fprint(stdout, usage)
		return nil
	default:
		fmt.Fprint(stderr, usage)
		return fmt.Errorf("%w: unknown command %q", errUsage, args[0])
	}
	if err := flags.Parse(args[1:]); errors.Is(err, pflag.ErrHelp) {
		return nil
	} else if err != nil {
		return fmt.Errorf("%w: %v", errUsage, err)
	}
	switch args[0] {
	case "admission":
		return admission.run(flags.Args(), stdout)
	case "fleet":
		return fleetCmd.Run(flags.Args(), stdout)
	case "snapshot":
		return snapshotCmd.Run(flags.Args(), stdout)
	}
	if flags.NArg() != wantArgs {
		return fmt.Errorf("%w: %s takes %d arguments, not %d", errUsage, args[0], wantArgs, flags.NArg())
	}
	switch args[0] {
	case "version":
		fmt.Fprintln(stdout, "lapislever", version())
		return nil
	case "import":
		return importFile(flags.Arg(0), importOpts, stdout, stderr)
	}
	level := slog.LevelInfo
	if verbose {
		level = slog.LevelDebug
	}
	log, flush := platform.NewLog(stderr, level)
	defer flush()
	cfg, fronts, err := load(files, env, false, log)
	if err != nil {
		return err
	}
	if args[0] == "check" {
		fmt.Fprintln(stdout, "the configuration is sound")
		return nil
	}
	cfg.ApplyLimits()
	k, err := platform.Start(cfg, log, fronts...)
	if err != nil {
		return err
	}
	done := make(chan struct{})
	ending := false
	var failure error
	end := func() {
		if !ending {
			ending = true
			go func() { k.Shutdown(); close(done) }()
		}
	}
	for {
		select {
		case s := <-signals:
			switch {
			case s != syscall.SIGHUP:
				end()
			case s == syscall.SIGHUP: // also during a shutdown: open requests still need changes of their nodes
				// A file that is invalid must not affect the running configuration.
				fresh, freshFronts, err := load(files, env, true, log)
				if err == nil {
					err = k.Reload(fresh)
				}
				if err != nil {
					k.RejectConfig(err)
					continue
				}
				for i, x := range fronts {
					if old, ok := x.(*legacyfront.Front); ok {
						old.Reload(freshFronts[i].(*legacyfront.Front))
					}
				}
			}
		case failure = <-k.Failed():
			log.Error("ending", "err", failure)
			end()
		case <-done:
			return failure
		}
	}
}

// sources are the configuration files, and the folder for the state, that the command line names.
type sources struct{ ranges, translate, fleet, state string }

// load reads the configuration, and the files of the fronts and the fleet if any are given. running tells
// that a process serves already, whose fronts stay.
func load(files sources, env func(string) string, running bool, log *slog.Logger) (*platform.Config,
	[]platform.ExtraFront, error) {
	cfg, fronts, err := loadFronts(files, env, running, log)
	if err != nil {
		return nil, nil, err
	}
	cfg.StateDir = files.state
	if files.fleet == "" {
		return cfg, fronts, nil
	}
	file, err := fleet.Load(files.fleet)
	if err != nil {
		return nil, nil, err
	}
	if err := cfg.JoinFleet(file); err != nil {
		return nil, nil, fmt.Errorf("%s: %w", files.fleet, err)
	}
	return cfg, fronts, nil
}

// loadFronts reads the configuration, and the fronts' files if any are given.
func loadFronts(files sources, env func(string) string, running bool, log *slog.Logger) (*platform.Config,
	[]platform.ExtraFront, error) {
	alone := env("RELAY_CONFIG") == ""
	switch {
	case files.translate != "" && files.ranges != "":
		return nil, nil, fmt.Errorf("%w: --promql and --translate do not go together", errUsage)
	case files.translate != "" && !alone:
		return nil, nil, fmt.Errorf("%w: --translate does not go with RELAY_CONFIG", errUsage)
	case files.translate != "":
		return loadTranslation(files.translate, env("RELAY_OPERATOR"), log)
	case files.ranges == "":
		cfg, err := platform.Load(env)
		return cfg, nil, err
	}
	file, err := promql.LoadConfig(files.ranges)
	if err != nil {
		return nil, nil, err
	}
	var cfg *platform.Config
	if alone {
		if cfg, err = platform.Standalone(file.Standalone()); err == nil {
			cfg.Operator = env("RELAY_OPERATOR")
		}
	} else {
		cfg, err = platform.Load(env)
	}
	if err != nil {
		return nil, nil, err
	}
	front, err := promql.New(file, promql.Environment{Config: cfg, Standalone: alone, Log: log})
	if running && errors.Is(err, promql.ErrClass) {
		// New settings may drop the class: the running front refuses range queries then, and takes in the rest.
		log.Warn("range queries are refused by the new settings", "file", files.ranges, "err", err)
		return cfg, nil, nil
	}
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", files.ranges, err)
	}
	return cfg, []platform.ExtraFront{front}, nil
}

// loadTranslation reads the file of the front for old terminals.
func loadTranslation(path, operator string, log *slog.Logger) (*platform.Config, []platform.ExtraFront,
	error) {
	file, err := legacyfront.LoadConfig(path)
	if err != nil {
		return nil, nil, err
	}
	cfg, err := platform.Standalone(file.Standalone())
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	cfg.Operator, cfg.Limits.Sockets = cmp.Or(file.Operator, operator), file.Sockets
	front, err := legacyfront.New(file, cfg, log)
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	return cfg, []platform.ExtraFront{front}, nil
}

// importFile prints the front's file to stdout, and remarks on the imported lines to stderr.
func importFile(path string, opts importer.Options, stdout, stderr io.Writer) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	res, err := importer.Import(string(text), opts)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	for _, r := range res.Remarks {
		fmt.Fprintf(stderr, "%s:%d: %s\n", path, r.Line, r.Text)
	}
	_, err = io.WriteString(stdout, res.File)
	return err
}

func version() string {
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		return info.Main.Version
	}
	return "(devel)"
}

// admissionCall is a call to the admission controller at a coordinator's admin endpoint.
type admissionCall struct {
	addr string
	span time.Duration
}

// run makes the call and prints its answer.
func (a admissionCall) run(args []string, stdout io.Writer) error {
	method, path, body := "GET", "/admin/admission", ""
	switch {
	case a.addr == "":
		return fmt.Errorf("%w: --door is missing", errUsage)
	case len(args) == 0 || len(args) == 1 && args[0] == "show":
	case len(args) == 2 && (args[0] == "ban" || args[0] == "pin" || args[0] == "lift"):
		method, path, body = "POST", path+"/"+args[0], args[1]
		if args[0] != "lift" {
			body += " " + a.span.String()
		}
	default:
		return fmt.Errorf("%w: show, or ban, pin or lift with a prefix", errUsage)
	}
	reply, err := console.Call(a.addr, method, path, body, nil, 0)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(stdout, strings.TrimSpace(string(reply)))
	return err
}
