// Command lapislever is the coordinator. This file owns the command line and puts the parts together; it
// must never hold logic of its own.
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
	"lapislever/internal/kiosk"
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
  rehearse  list | run SCENARIO | compare SCENARIO A B | report SCENARIO, with emulated nodes and load
  version   print the version

RELAY_CONFIG names the platform's configuration. With --promql FILE range queries are served too, and without
RELAY_CONFIG they alone. With --translate FILE, and without RELAY_CONFIG, old terminals are served by nodes of
the old form and of the new one. With --fleet FILE the coordinator takes part in a fleet.
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
		return console.HandOver("rehearse", args[1:])
	}
	flags := pflag.NewFlagSet(args[0], pflag.ContinueOnError)
	flags.SetOutput(stderr)
	verbose, files := false, 0
	var from sources
	var into importer.Options
	var door doorCall
	members := console.Fleet{Stop: signals}
	switch args[0] {
	case "serve", "check":
		flags.BoolVarP(&verbose, "verbose", "v", false, "log more")
		flags.StringVar(&from.ranges, "promql", "", "serve range queries as this file says")
		flags.StringVar(&from.translate, "translate", "", "serve old terminals as this file says")
		flags.StringVar(&from.fleet, "fleet", "", "take part in the fleet that this file names")
	case "import":
		flags.StringVar(&into.Listen, "listen", "127.0.0.1:9090", "address that the front listens on")
		flags.StringVar(&into.Class, "class", "", "class that requests count as")
		flags.StringVar(&into.Target, "for", importer.TargetPromQL, "what the file is for: promql or translate")
		files = 1
	case "admission":
		flags.StringVar(&door.addr, "door", "", "address of the operators' door")
		flags.DurationVar(&door.span, "for", 10*time.Minute, "how long a ban or a pin holds")
		files = -1
	case "fleet":
		flags.StringVar(&members.Door, "door", "", "address of the operators' door")
		flags.BoolVar(&members.JSON, "json", false, "print the door's own words")
		flags.BoolVar(&members.Watch, "watch", false, "again every second")
		flags.DurationVar(&members.Span, "for", 0, "how long a node is to be out; without: until it is taken back")
		flags.DurationVar(&members.Wait, "wait", 0, "wait so long for all members that are alive")
		flags.StringVar(&members.By, "by", env("USER"), "who says so")
		flags.StringVar(&members.Why, "reason", "", "why")
		files = -1
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
		return door.ask(flags.Args(), stdout)
	case "fleet":
		return members.Run(flags.Args(), stdout)
	}
	if flags.NArg() != files {
		return fmt.Errorf("%w: %s takes %d arguments, not %d", errUsage, args[0], files, flags.NArg())
	}
	switch args[0] {
	case "version":
		fmt.Fprintln(stdout, "lapislever", version())
		return nil
	case "import":
		return importFile(flags.Arg(0), into, stdout, stderr)
	}
	level := slog.LevelInfo
	if verbose {
		level = slog.LevelDebug
	}
	log, flush := platform.NewLog(stderr, level)
	defer flush()
	cfg, fronts, err := load(from, env, log)
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
	ended := make(chan struct{})
	ending := false
	var failure error
	end := func() {
		if !ending {
			ending = true
			go func() { k.Shutdown(); close(ended) }()
		}
	}
	for {
		select {
		case s := <-signals:
			switch {
			case s != syscall.SIGHUP:
				end()
			case s == syscall.SIGHUP: // while ending too: what is still open wants to hear of its nodes
				// A file that cannot be used must not take down what works.
				fresh, anew, err := load(from, env, log)
				if err == nil {
					err = k.Reload(fresh)
				}
				if err != nil {
					k.Reject(err)
					continue
				}
				for i, x := range fronts {
					if old, ok := x.(*kiosk.Front); ok {
						old.Reload(anew[i].(*kiosk.Front))
					}
				}
			}
		case failure = <-k.Failed():
			log.Error("ending", "err", failure)
			end()
		case <-ended:
			return failure
		}
	}
}

// sources are the files that a start names.
type sources struct{ ranges, translate, fleet string }

// load reads the configuration, and the files of the fronts and of the fleet where any are given.
func load(from sources, env func(string) string, log *slog.Logger) (*platform.Config, []platform.ExtraFront,
	error) {
	cfg, fronts, err := loadFronts(from, env, log)
	if err != nil || from.fleet == "" {
		return cfg, fronts, err
	}
	file, err := fleet.Load(from.fleet)
	if err != nil {
		return nil, nil, err
	}
	if err := cfg.JoinFleet(file); err != nil {
		return nil, nil, fmt.Errorf("%s: %w", from.fleet, err)
	}
	return cfg, fronts, nil
}

// loadFronts reads the configuration, and the fronts' files where any are given.
func loadFronts(from sources, env func(string) string, log *slog.Logger) (*platform.Config, []platform.ExtraFront,
	error) {
	alone := env("RELAY_CONFIG") == ""
	switch {
	case from.translate != "" && from.ranges != "":
		return nil, nil, fmt.Errorf("%w: --promql and --translate do not go together", errUsage)
	case from.translate != "" && !alone:
		return nil, nil, fmt.Errorf("%w: --translate does not go with RELAY_CONFIG", errUsage)
	case from.translate != "":
		return loadTranslation(from.translate, env("RELAY_OPERATOR"), log)
	case from.ranges == "":
		cfg, err := platform.Load(env)
		return cfg, nil, err
	}
	file, err := promql.LoadConfig(from.ranges)
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
	front, err := promql.New(file, promql.Environment{Classes: cfg.Classes, Settings: cfg.Module, Zones: cfg.Zones,
		Shards: cfg.Shards, DialTimeout: cfg.DialTimeout, ConnIdle: cfg.ConnIdle, Standalone: alone, Log: log})
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", from.ranges, err)
	}
	return cfg, []platform.ExtraFront{front}, nil
}

// loadTranslation reads the file of the front for old terminals.
func loadTranslation(path, operator string, log *slog.Logger) (*platform.Config, []platform.ExtraFront, error) {
	file, err := kiosk.LoadConfig(path)
	if err != nil {
		return nil, nil, err
	}
	cfg, err := platform.Standalone(file.Standalone())
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	cfg.Operator, cfg.Limits.Sockets = cmp.Or(file.Operator, operator), file.Sockets
	front, err := kiosk.New(file, cfg, log)
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	return cfg, []platform.ExtraFront{front}, nil
}

// importFile prints the front's file, and to the other stream what there is to say of each line.
func importFile(path string, into importer.Options, stdout, stderr io.Writer) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	res, err := importer.Import(string(text), into)
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

// doorCall is a call to a coordinator's door.
type doorCall struct {
	addr string
	span time.Duration
}

// ask makes the call and prints its answer.
func (d doorCall) ask(words []string, stdout io.Writer) error {
	method, path, body := "GET", "/admin/admission", ""
	switch {
	case d.addr == "":
		return fmt.Errorf("%w: --door is missing", errUsage)
	case len(words) == 0 || len(words) == 1 && words[0] == "show":
	case len(words) == 2 && (words[0] == "ban" || words[0] == "pin" || words[0] == "lift"):
		method, path, body = "POST", path+"/"+words[0], words[1]
		if words[0] != "lift" {
			body += " " + d.span.String()
		}
	default:
		return fmt.Errorf("%w: show, or ban, pin or lift with a prefix", errUsage)
	}
	reply, err := console.Call(d.addr, method, path, body, nil, 0)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(stdout, strings.TrimSpace(string(reply)))
	return err
}
