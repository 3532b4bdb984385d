// Command review2-standin plays the cases of the second independent review. It starts real relays as processes on
// loopback addresses, against a stand-in store, stand-in workers and its own clients, and writes what was sent,
// answered and run.
package main

import (
	"fmt"
	"os"
)

// The exit codes of a case.
const (
	exitHeld   = 0 // the rule held
	exitBroken = 1 // the rule was broken
	exitNotRun = 2 // the case could not run
)

// cases are the cases by name. Each returns what broke the rule; empty if it held.
var cases = map[string]func(*world, bool) (broken string, err error){
	"stop":    playStop,
	"restore": playRestore,
	"kept":    playKept,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2-standin stop|restore RECORD; TROUBLE=0 leaves the disruption out")
		os.Exit(exitNotRun)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// run plays one case and returns its exit code.
func run(play func(*world, bool) (string, error), record string, trouble bool) int {
	w, err := newWorld(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	w.note("trouble: %t", trouble)
	broken, err := play(w, trouble)
	switch {
	case err != nil:
		w.note("the case could not run: %v", err)
		return exitNotRun
	case broken != "":
		w.note("BROKEN: %s", broken)
		return exitBroken
	default:
		w.note("held")
		return exitHeld
	}
}
