// Command rehearse runs load and failure scenarios against coordinator processes. `lapislever rehearse`
// executes it as a separate binary, so that its dependencies are not linked into the coordinator.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"lapislever/internal/rehearse"
)

func main() {
	self, err := os.Executable()
	if err == nil {
		err = rehearse.Command(os.Args[1:], os.Stdout, os.Stderr, filepath.Join(filepath.Dir(self), "lapislever"))
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "rehearse:", err)
	}
	switch {
	case errors.Is(err, rehearse.ErrUsage):
		os.Exit(2)
	case err != nil:
		os.Exit(1)
	}
}
