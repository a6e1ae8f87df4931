package console

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"
)

// ErrUsage marks words that make no call.
var ErrUsage = errors.New("usage")

// watchEvery is the time between two looks of --watch.
const watchEvery = time.Second

// Fleet is a call of `lapislever fleet`.
type Fleet struct {
	Door  string
	JSON  bool             // the door's own words
	Watch bool             // again and again, until Stop
	Stop  <-chan os.Signal // ends a watch; nil: nothing does
}

// fleetView is what GET /admin/fleet says, as far as it is shown.
type fleetView struct {
	Self        string
	Incarnation uint32
	Digest      string
	Alive       int
	Members     []struct {
		Name, Zone, Addr, State string
		Incarnation             uint32
		Since                   int64 `json:"since_ms"`
	}
	Figures struct {
		Health   int
		Crash    int64    `json:"crash_known_within_ms"`
		Settled  int64    `json:"settled_within_ms"`
		Differ   []string `json:"settings_differ"`
		Conflict string
	}
}

// Run makes the call and prints its answer.
func (f Fleet) Run(words []string, out io.Writer) error {
	switch {
	case f.Door == "":
		return fmt.Errorf("%w: --door is missing", ErrUsage)
	case len(words) != 1:
		return fmt.Errorf("%w: one of: members", ErrUsage)
	case words[0] != "members":
		return fmt.Errorf("%w: %q is no call: members", ErrUsage, words[0])
	}
	for {
		err := f.members(out)
		if !f.Watch {
			return err
		}
		if err != nil {
			fmt.Fprintln(out, err) // the coordinator may come back
		}
		select {
		case <-f.Stop:
			return nil
		case <-time.After(watchEvery):
		}
		fmt.Fprintln(out)
	}
}

func (f Fleet) members(out io.Writer) error {
	body, err := Call(f.Door, "GET", "/admin/fleet", "", 0)
	if err != nil {
		return err
	}
	if f.JSON {
		_, err = fmt.Fprintf(out, "%s\n", body)
		return err
	}
	var v fleetView
	if err := json.Unmarshal(body, &v); err != nil {
		return fmt.Errorf("the door's answer: %w", err)
	}
	fmt.Fprintf(out, "%s, incarnation %d: %d of %d alive, digest %s, health %d\n", v.Self, v.Incarnation,
		v.Alive, len(v.Members), v.Digest, v.Figures.Health)
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "NAME\tZONE\tSTATE\tFOR\tINCARNATION\tADDRESS")
	for _, m := range v.Members {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\n", m.Name, m.Zone, m.State, span(m.Since), m.Incarnation, m.Addr)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(out, "a crash is known within %s, one view after a cut within %s\n", span(v.Figures.Crash),
		span(v.Figures.Settled))
	if len(v.Figures.Differ) > 0 {
		fmt.Fprintf(out, "other roster or limits at: %v\n", v.Figures.Differ)
	}
	if v.Figures.Conflict != "" {
		fmt.Fprintf(out, "ANOTHER PROCESS BEARS THIS NAME: %s\n", v.Figures.Conflict)
	}
	return nil
}

// span words milliseconds for people.
func span(ms int64) string {
	d := time.Duration(ms) * time.Millisecond
	if d >= time.Minute {
		return d.Round(time.Second).String()
	}
	return d.Round(100 * time.Millisecond).String()
}
