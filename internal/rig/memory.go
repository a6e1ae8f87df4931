package rig

import (
	"fmt"
	"os"
	"strings"
)

// Memory is the resident memory of a process in kB, as the kernel counts it.
type Memory struct{ Now, Peak int }

// Memory reads the memory of the process. ok is false once the process has exited.
func (p *Proc) Memory() (m Memory, ok bool) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return m, false
	}
	for line := range strings.Lines(string(status)) {
		_, _ = fmt.Sscanf(line, "VmRSS: %d kB", &m.Now)
		_, _ = fmt.Sscanf(line, "VmHWM: %d kB", &m.Peak)
	}
	return m, m.Now > 0
}
