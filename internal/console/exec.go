package console

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
)

// ExecSibling replaces this process by another program in the same directory. It returns only if that
// fails.
func ExecSibling(program string, args []string) error {
	own, err := os.Executable()
	if err != nil {
		return err
	}
	path := filepath.Join(filepath.Dir(own), program)
	if err := syscall.Exec(path, append([]string{path}, args...), os.Environ()); err != nil {
		return fmt.Errorf("%s: %w: it is built with the program: go build -o bin/ lapislever/cmd/rehearse", path,
			err)
	}
	return nil
}
