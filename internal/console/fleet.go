package console

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// ErrUsage marks arguments that don't form a call.
var ErrUsage = errors.New("usage")

// callNames lists all calls.
const callNames = "members, verdicts, limits, overload, cordon ID, uncordon ID, ban PREFIX, pin PREFIX, " +
	"lift PREFIX"

// watchInterval is the time between two calls of --watch.
const watchInterval = time.Second

// FleetCommand is one run of `lapislever fleet`.
type FleetCommand struct {
	Addr     string
	JSON     bool             // print the endpoint's reply unchanged
	Duration time.Duration    // how long a node is cordoned; 0: until it is uncordoned
	Wait     time.Duration    // for all members that are alive
	By       string           // who makes the call
	Reason   string           // why the call is made
	Watch    bool             // repeat the call until Stop
	Stop     <-chan os.Signal // ends a watch; nil: runs until killed
}

// fleetView is the part of the reply to GET /admin/fleet that is shown.
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
func (f FleetCommand) Run(args []string, out io.Writer) error {
	switch {
	case f.Addr == "":
		return fmt.Errorf("%w: --door is missing", ErrUsage)
	case len(args) == 0:
		return fmt.Errorf("%w: one of: %s", ErrUsage, callNames)
	}
	var show func(io.Writer) error
	switch args[0] {
	case "members":
		show = f.members
	case "verdicts":
		show = f.verdicts
	case "limits":
		show = f.limits
	case "overload":
		show = f.overload
	case "cordon", "uncordon", "ban", "pin", "lift":
		if len(args) != 2 {
			return fmt.Errorf("%w: %s takes one data node's id, or a prefix", ErrUsage, args[0])
		}
		return f.change(args[0], args[1], out)
	}
	if show == nil || len(args) != 1 {
		return fmt.Errorf("%w: %q is no call: %s", ErrUsage, strings.Join(args, " "), callNames)
	}
	for {
		err := show(out)
		if !f.Watch {
			return err
		}
		if err != nil {
			fmt.Fprintln(out, err) // the coordinator may recover
		}
		select {
		case <-f.Stop:
			return nil
		case <-time.After(watchInterval):
		}
		fmt.Fprintln(out)
	}
}

func (f FleetCommand) members(out io.Writer) error {
	var v fleetView
	if done, err := f.get("/admin/fleet", &v, out); done || err != nil {
		return err
	}
	fmt.Fprintf(out, "%s, incarnation %d: %d of %d alive, digest %s, health %d\n", v.Self, v.Incarnation,
		v.Alive, len(v.Members), v.Digest, v.Figures.Health)
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "NAME\tZONE\tSTATE\tFOR\tINCARNATION\tADDRESS")
	for _, m := range v.Members {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\n", m.Name, m.Zone, m.State, formatMillis(m.Since),
			m.Incarnation, m.Addr)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(out, "a crash is known within %s, one view after a cut within %s\n",
		formatMillis(v.Figures.Crash), formatMillis(v.Figures.Settled))
	if len(v.Figures.Differ) > 0 {
		fmt.Fprintf(out, "other roster or limits at: %v\n", v.Figures.Differ)
	}
	if v.Figures.Conflict != "" {
		fmt.Fprintf(out, "ANOTHER PROCESS BEARS THIS NAME: %s\n", v.Figures.Conflict)
	}
	return nil
}

// verdictView is the endpoint's description of one verdict.
type verdictView struct {
	Kind, What, By, Reason string
	At                     int64 `json:"at_ms"`
	Ends                   int64 `json:"ends_ms"`
	Held, Missing          []string
}

func (f FleetCommand) verdicts(out io.Writer) error {
	var v struct {
		Verdicts []verdictView
		Told     bool
	}
	if done, err := f.get("/admin/verdicts", &v, out); done || err != nil {
		return err
	}
	if !v.Told {
		fmt.Fprintln(out, "THIS PROCESS HAS NOT BEEN TOLD WHAT THE FLEET HOLDS")
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "VERDICT\tON\tFOR\tENDS IN\tBY\tREASON\tMISSING AT")
	now := time.Now().UnixMilli()
	for _, x := range v.Verdicts {
		ends := "-"
		if x.Ends > 0 {
			ends = formatMillis(x.Ends - now)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", x.Kind, x.What, formatMillis(now-x.At), ends, dash(x.By),
			dash(x.Reason), dash(strings.Join(x.Missing, " ")))
	}
	return w.Flush()
}

func (f FleetCommand) limits(out io.Writer) error {
	var v struct {
		Limits []struct {
			Name               string
			Limit, Share, Used float64
			InDoubt            float64 `json:"in_doubt"`
			Over               float64 `json:"over_at_most"`
			Stale              int64   `json:"stale_ms"`
			Refused            int64
			Kind               string
			Keys               int
		}
		Holds []string
	}
	if done, err := f.get("/admin/limits", &v, out); done || err != nil {
		return err
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w,
		"LIMIT\tKIND\tAMOUNT\tSHARE HERE\tUSED HERE\tLENT OR IN DOUBT\tOVER AT MOST\tOLDEST LOAN\tREFUSED\tKEYS")
	for _, x := range v.Limits {
		fmt.Fprintf(w, "%s\t%s\t%.4g\t%.4g\t%.4g\t%.4g\t%.4g\t%s\t%d\t%d\n", x.Name, x.Kind, x.Limit, x.Share,
			x.Used, x.InDoubt, x.Over, formatMillis(x.Stale), x.Refused, x.Keys)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if len(v.Holds) > 0 {
		fmt.Fprintf(out, "has by a majority's votes what is not the floor of: %s\n", strings.Join(v.Holds, " "))
	}
	return nil
}

func (f FleetCommand) overload(out io.Writer) error {
	var v struct {
		Level   int
		Heard   int64 `json:"heard_ms"`
		Shed    map[string]int64
		Retries struct{ Spent, Allowed, Denied int64 }
		Duties  []struct {
			What, Owner string
			Since       int64 `json:"since_ms"`
		}
	}
	if done, err := f.get("/admin/overload", &v, out); done || err != nil {
		return err
	}
	summary := "nothing is turned away for all"
	if v.Level > 0 {
		summary = "all below is turned away"
	}
	fmt.Fprintf(out, "level %d of 64, heard %s ago: %s\n", v.Level, formatMillis(v.Heard), summary)
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "TURNED AWAY OF\tREQUESTS")
	for _, name := range slices.Sorted(maps.Keys(v.Shed)) {
		fmt.Fprintf(w, "%s\t%d\n", name, v.Shed[name])
	}
	fmt.Fprintf(w, "\nSENT AGAIN\t%d\t(a tenth of what was sent first: %d; turned down: %d)\n", v.Retries.Spent,
		v.Retries.Allowed, v.Retries.Denied)
	for _, d := range v.Duties {
		fmt.Fprintf(w, "%s\t%s\tfor %s\n", d.What, d.Owner, formatMillis(d.Since))
	}
	return w.Flush()
}

func dash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// change cordons or uncordons a data node at every member, or bans, pins or lifts a prefix. Missing
// members are not an error: the endpoint names them.
func (f FleetCommand) change(call, id string, out io.Writer) error {
	path, body := "/admin/fleet/"+call, id
	if f.Wait > 0 {
		path += "?wait=" + f.Wait.String()
	}
	if f.Duration > 0 {
		body += " " + f.Duration.String()
	}
	reply, err := Call(f.Addr, "POST", path, body, [][2]string{{"X-By", f.By}, {"X-Reason", f.Reason}}, f.Wait)
	if err != nil {
		return err
	}
	if f.JSON {
		_, err = fmt.Fprintf(out, "%s\n", reply)
		return err
	}
	var v verdictView
	if err := json.Unmarshal(reply, &v); err != nil {
		return fmt.Errorf("the door's answer: %w", err)
	}
	fmt.Fprintf(out, "holds at: %s\n", strings.Join(v.Held, " "))
	if len(v.Missing) > 0 {
		fmt.Fprintf(out, "not known to hold yet at: %s\n", strings.Join(v.Missing, " "))
	}
	return nil
}

// get calls the endpoint and decodes its answer. done is set if the raw reply was requested and has been
// printed.
func (f FleetCommand) get(path string, into any, out io.Writer) (done bool, err error) {
	body, err := Call(f.Addr, "GET", path, "", nil, 0)
	if err != nil {
		return false, err
	}
	if f.JSON {
		_, err = fmt.Fprintf(out, "%s\n", body)
		return true, err
	}
	if err := json.Unmarshal(body, into); err != nil {
		return false, fmt.Errorf("the door's answer: %w", err)
	}
	return false, nil
}

// formatMillis formats a number of milliseconds for people.
func formatMillis(ms int64) string {
	d := time.Duration(ms) * time.Millisecond
	if d >= time.Minute {
		return d.Round(time.Second).String()
	}
	return d.Round(100 * time.Millisecond).String()
}
