// Package knownred tests the script that reads KNOWN-RED.txt in CI.
package knownred

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// repository makes a folder with the script, a KNOWN-RED.txt with the given text, two tests and a script, and
// returns the path of the copy of .ci/known-red.
func repository(t *testing.T, text string) string {
	t.Helper()
	script, err := os.ReadFile("../../.ci/known-red")
	if err != nil {
		t.Fatal(err)
	}
	root := t.TempDir()
	for name, content := range map[string]string{
		".ci/known-red":             string(script),
		"KNOWN-RED.txt":             text,
		"balance/a_test.go":         "func TestTwice(t *testing.T) {\n",
		"cmd/a_test.go":             "func TestTwice(t *testing.T) {\n",
		"internal/net/a_test.go":    "func TestOne(t *testing.T) {\n",
		"internal/rig/soak_test.go": "func TestSoak(t *testing.T) {\n",
		"review/8/run.sh":           "exit 1\n",
	} {
		path := filepath.Join(root, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(content), 0o755); err != nil {
			t.Fatal(err)
		}
	}
	return filepath.Join(root, ".ci", "known-red")
}

const (
	testLine   = "internal/net.TestOne: seed 7, 1 of 9 late (issue 31)"
	soakLine   = "internal/rig.TestSoak: seed 8, late (issue 31)"
	scriptLine = "review/8/run.sh: sh review/8/run.sh, no seed, 1 of 60 cut (issue 47)"
)

// Tests are skipped by name, scripts are printed and skip nothing.
func TestEntriesAreTakenAndPrinted(t *testing.T) {
	for text, want := range map[string]string{
		testLine + "\n":                     "^TestOne$",
		testLine + "\n" + soakLine + "\n":   "^TestOne$|^TestSoak$",
		scriptLine + "\n":                   "",
		scriptLine:                          "",
		testLine + "\n" + scriptLine + "\n": "^TestOne$",
	} {
		command := exec.Command(repository(t, text))
		var stderr strings.Builder
		command.Stderr = &stderr
		out, err := command.Output()
		if err != nil || strings.TrimSpace(string(out)) != want {
			t.Errorf("%q: %q, want %q: %v %s", text, out, want, err, stderr.String())
		}
		for _, line := range strings.Split(strings.TrimSpace(text), "\n") {
			if !strings.Contains(stderr.String(), line+"\n") {
				t.Errorf("%q was not printed: %q", line, stderr.String())
			}
		}
	}
}

// Guards against an entry that passes over something without a word, or names what is not there.
func TestOtherEntriesFail(t *testing.T) {
	for name, text := range map[string]string{
		"empty file":                "",
		"empty line":                testLine + "\n\n",
		"no cause":                  "internal/net.TestOne: (issue 31)",
		"no issue":                  "internal/net.TestOne: late",
		"no such test":              "internal/net.TestTwo: late (issue 31)",
		"no such package":           "internal/none.TestOne: late (issue 31)",
		"in two packages":           "balance.TestTwice: late (issue 31)",
		"a subtest":                 "internal/net.TestOne/part: late (issue 31)",
		"a pattern":                 "internal/net.Test.*: late (issue 31)",
		"a script without a cause":  "review/8/run.sh: (issue 47)",
		"a script without an issue": "review/8/run.sh: cut",
		"a script that isn't there": "review/9/run.sh: cut (issue 47)",
		"a folder":                  "review/8: cut (issue 47)",
		"a script with arguments":   "review/8/run.sh 1: cut (issue 47)",
		"a script by shell":         "sh review/8/run.sh: cut (issue 47)",
		"a script outside":          "../review/8/run.sh: cut (issue 47)",
		"a detour":                  "review/../review/8/run.sh: cut (issue 47)",
		"an absolute path":          "/bin/run.sh: cut (issue 47)",
		"another program":           "review/8/main.go: cut (issue 47)",
	} {
		if out, err := exec.Command(repository(t, text)).Output(); err == nil {
			t.Errorf("%s: taken: %q", name, out)
		}
	}
}
