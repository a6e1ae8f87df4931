package rehearse

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/pflag"
)

// ErrUsage marks an invalid command line.
var ErrUsage = errors.New("usage")

const usage = `usage: lapislever rehearse COMMAND [flags]

commands:
  list                   the scenarios that the tool brings along
  run SCENARIO           play one of them, or a file's, and print and keep what was measured
  compare SCENARIO A B   compare what is kept of two labels, paired by seed
  report SCENARIO        write a page with charts of what is kept
`

// Command executes one invocation of the tool. defaultProgram is the path of the program to run unless a flag
// names another one.
func Command(args []string, stdout, stderr io.Writer, defaultProgram string) error {
	flags := pflag.NewFlagSet("rehearse", pflag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.Usage = func() { fmt.Fprint(stderr, usage, "\nflags:\n"+flags.FlagUsages()) }
	dir := flags.String("dir", "rehearsals", "folder in which runs are kept")
	label := flags.String("label", "as-is", "name of what is played, to compare it by")
	seed := flags.Uint64("seed", 1, "of the first play")
	runs := flags.Int("plays", 1, "how many, each with the next seed")
	program := flags.String("program", "", "another build of the program to play with")
	standalone := flags.Bool("alone", false, "the coordinators know nothing of one another")
	extraFleetConfig := flags.String("fleet", "", "text that is added to each member's fleet file")
	virtual := flags.Bool("virtual", false, "on virtual time: the same run for the same seed")
	scale := flags.Int("size", 1, "with --virtual: so many times the members, nodes and load")
	rate := flags.Float64("rate", 0, "first tries a second all the time, instead of the scenario's")
	page := flags.String("page", "", "where the page goes; without: DIR/SCENARIO.html")
	quiet := flags.Bool("quiet", false, "no line a second")
	if err := flags.Parse(args); errors.Is(err, pflag.ErrHelp) {
		return nil
	} else if err != nil {
		return fmt.Errorf("%w: %v", ErrUsage, err)
	}
	operands := flags.Args()
	operandCounts := map[string]int{"list": 1, "run": 2, "compare": 4, "report": 2}
	if len(operands) == 0 || operandCounts[operands[0]] != len(operands) {
		flags.Usage()
		return fmt.Errorf("%w: %q is no call", ErrUsage, operands)
	}
	switch operands[0] {
	case "list":
		for _, name := range ScenarioNames() {
			s, err := OpenScenario(name)
			if err != nil {
				return err
			}
			fmt.Fprintf(stdout, "%-10s %s\n", name, s.About)
		}
		return nil
	case "compare":
		a, err := LoadRuns(*dir, operands[1], operands[2])
		if err != nil {
			return err
		}
		b, err := LoadRuns(*dir, operands[1], operands[3])
		if err != nil {
			return err
		}
		diffs, err := Compare(a, b)
		if err != nil {
			return err
		}
		return WriteDifferences(stdout, operands[2], operands[3], diffs)
	case "report":
		stored, err := LoadRuns(*dir, operands[1], "")
		if err != nil {
			return err
		}
		if *page == "" {
			*page = filepath.Join(*dir, operands[1]+".html")
		}
		f, err := os.Create(*page)
		if err != nil {
			return err
		}
		if err := errors.Join(Report(f, operands[1], stored), f.Close()); err != nil {
			return err
		}
		fmt.Fprintln(stdout, *page)
		return nil
	}
	s, err := OpenScenario(operands[1])
	if err != nil {
		return err
	}
	s.Standalone = s.Standalone || *standalone
	if *extraFleetConfig != "" {
		s.ExtraFleetConfig += *extraFleetConfig + "\n"
	}
	if *rate > 0 {
		s.Load.Rate, s.Load.Steps = *rate, nil
	}
	if *scale > 1 && *virtual {
		s.scale(*scale)
	}
	runner := &Runner{Program: *program}
	if runner.Program == "" {
		runner.Program = defaultProgram
	}
	if !*quiet {
		runner.Progress = func(second int, x Second) {
			fmt.Fprintf(stderr, "\r%3d s: asked %4d, in time %4d, refused %4d, parts %5d, full %4d, level %2d ",
				second, x.Requests, x.InTime, x.Refused, x.Parts, x.RejectedParts, x.MaxLevel)
		}
	}
	for i := range max(1, *runs) {
		started := time.Now()
		run := runner.Run
		if *virtual {
			run = RunVirtual
		}
		r, err := run(s, *seed+uint64(i), *label)
		if err != nil {
			return err
		}
		if !*quiet {
			fmt.Fprintln(stderr)
		}
		path, err := r.Save(*dir)
		if err != nil {
			return err
		}
		if err := r.WriteTable(stdout); err != nil {
			return err
		}
		fmt.Fprintf(stdout, "kept as %s after %v\n", path, time.Since(started).Round(time.Second))
	}
	return nil
}
