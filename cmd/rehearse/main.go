// Command rehearse plays scenarios on processes of the program: `lapislever rehearse` hands over to it, so
// that what it links costs a coordinator nothing.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"lapislever/internal/rehearse"
)

func main() {
	own, err := os.Executable()
	if err == nil {
		err = rehearse.Command(os.Args[1:], os.Stdout, os.Stderr, filepath.Join(filepath.Dir(own), "lapislever"))
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
