// Command platform plays the cases of the second independent review. Each case starts nodes
// as separate processes, with the settings template of the deploy file, and stand-ins for
// the platform's store, for replicas and for clients on loopback.
//
// It exits with 1 if the rule was broken, with 0 if it held and with 2 if the case could
// not run. With TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"fmt"
	"os"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// outcome is what a case found.
type outcome struct {
	broken bool
	text   string
}

// cases maps the name of each case to its function. Each file of a case adds its own.
var cases = map[string]func(w *world, trouble bool) (outcome, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases2 CASE FOLDER")
		os.Exit(exitFailed)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// play runs one case and writes its record to a folder.
func play(run func(*world, bool) (outcome, error), folder string, trouble bool) int {
	w, err := newWorld(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer w.close()
	w.note("disruption: %v", trouble)
	result, err := run(w, trouble)
	if err != nil {
		w.note("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return exitFailed
	}
	w.note("result: %s", result.text)
	fmt.Println(result.text)
	if result.broken {
		return exitBroken
	}
	return exitHeld
}
