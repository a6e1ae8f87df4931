package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// cases are the cases by number; each returns what broke the rule, or nothing.
var cases = map[string]func(*world) []string{}

func main() { os.Exit(run()) }

func run() (status int) {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab-2 CASE ROOT FOLDER")
		return 2
	}
	root, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	temp, err := os.MkdirTemp("", "lab-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(temp)
	record, err := os.Create(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	w := &world{root: root, temp: temp, trouble: os.Getenv("TROUBLE") != "0", begun: time.Now(),
		record: record}
	defer w.stopAll()
	w.limitTime()
	defer func() {
		if x, ok := recover().(cannotRun); ok {
			w.note("could not run: %s", x.why)
			fmt.Println("could not run:", x.why)
			for _, p := range w.processes {
				w.keepLog(p, 20)
			}
			status = 2
		}
	}()
	broken := cases[os.Args[1]](w)
	for _, b := range broken {
		w.note("BROKEN: %s", b)
		fmt.Println("BROKEN:", b)
	}
	for _, p := range w.processes {
		w.keepLog(p, 30)
	}
	if len(broken) > 0 {
		return 1
	}
	w.note("the rule held")
	fmt.Println("the rule held")
	return 0
}
