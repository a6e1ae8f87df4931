package console

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"lapislever/internal/platform"
)

// snapshotCalls lists the calls of `lapislever snapshot`.
const snapshotCalls = "show FILE, check FILE"

// SnapshotCommand is one run of `lapislever snapshot`.
type SnapshotCommand struct {
	JSON bool // print JSON, not a table
}

// Run shows or checks the list of data nodes that a process has saved in a file. It returns an error if the
// file cannot be used, or if a start would not use it any more.
func (s SnapshotCommand) Run(args []string, out io.Writer) error {
	if len(args) != 2 || args[0] != "show" && args[0] != "check" {
		return fmt.Errorf("%w: one of: %s", ErrUsage, snapshotCalls)
	}
	saved, err := platform.ReadSavedList(args[1])
	if err != nil {
		return err
	}
	if args[0] == "show" {
		return s.show(saved, out)
	}
	if err := saved.UsableAt(time.Now()); err != nil {
		return err
	}
	fmt.Fprintln(out, "the snapshot is sound"+cutOff(saved))
	return nil
}

func (s SnapshotCommand) show(saved *platform.SavedList, out io.Writer) error {
	if s.JSON {
		e := json.NewEncoder(out)
		e.SetIndent("", "  ")
		return e.Encode(saved)
	}
	fmt.Fprintf(out, "%s, version %d, told %s: %d nodes%s\n", saved.Name, saved.Version,
		saved.ToldAt.UTC().Format(time.RFC3339), len(saved.Nodes), cutOff(saved))
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "NODE\tADDRESS\tSITE\tCELL\tHEALTH\tSTARTED")
	for i := range saved.Nodes {
		n := &saved.Nodes[i]
		started := "long ago"
		if n.Born > 0 {
			started = time.UnixMilli(int64(n.Born)).UTC().Format(time.RFC3339)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\n", n.Host, n.Dial, n.Site, n.Block, n.Health, started)
	}
	return w.Flush()
}

// cutOff tells that the end of a file was left out, if it was.
func cutOff(saved *platform.SavedList) string {
	if saved.Whole {
		return ""
	}
	return ", but for changes at its end, which were cut off"
}
