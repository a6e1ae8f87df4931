// Command lapislever is the coordinator. This file owns the command line; it holds no logic of its own.
package main

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/spf13/pflag"

	"lapislever/internal/platform"
)

// errUsage marks an error of the command line itself.
var errUsage = errors.New("usage")

const usage = `usage: lapislever COMMAND [flags]

commands:
  serve     run one coordinator
  check     validate the configuration and stop
  version   print the version
`

func main() {
	err := run(os.Args[1:], os.Stdout, os.Stderr, os.Getenv)
	switch {
	case errors.Is(err, errUsage):
		fmt.Fprintln(os.Stderr, "lapislever:", err)
		os.Exit(2)
	case err != nil:
		fmt.Fprintln(os.Stderr, "lapislever:", err)
		os.Exit(1)
	}
}

func run(args []string, stdout, stderr io.Writer, env func(string) string) error {
	if len(args) == 0 {
		fmt.Fprint(stderr, usage)
		return fmt.Errorf("%w: a command is needed", errUsage)
	}
	flags := pflag.NewFlagSet(args[0], pflag.ContinueOnError)
	flags.SetOutput(stderr)
	verbose := false
	switch args[0] {
	case "serve", "check":
		flags.BoolVarP(&verbose, "verbose", "v", false, "log more")
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
	if flags.NArg() > 0 {
		return fmt.Errorf("%w: %s takes no arguments", errUsage, args[0])
	}
	if args[0] == "version" {
		fmt.Fprintln(stdout, "lapislever", version())
		return nil
	}
	level := slog.LevelInfo
	if verbose {
		level = slog.LevelDebug
	}
	log := slog.New(slog.NewTextHandler(stderr, &slog.HandlerOptions{Level: level}))
	cfg, err := platform.Load(env)
	if err != nil {
		return err
	}
	if args[0] == "check" {
		fmt.Fprintln(stdout, "the configuration is sound")
		return nil
	}
	return serve(cfg, log)
}

func serve(cfg *platform.Config, log *slog.Logger) error {
	ends := make(chan os.Signal, 1)
	signal.Notify(ends, syscall.SIGTERM, syscall.SIGINT)
	k, err := platform.Start(cfg, log)
	if err != nil {
		return err
	}
	<-ends
	k.Shutdown()
	return nil
}

func version() string {
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		return info.Main.Version
	}
	return "(devel)"
}
