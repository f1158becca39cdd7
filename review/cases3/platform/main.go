// Command cases3 plays the cases of the third review that are scripts: the program's own nodes as
// separate processes, and stand-ins for the platform, its clients and its replicas, all on loopback
// addresses. See review/REPORT-3.md.
//
// It exits with 1 if the rule of the case was broken, with 0 if it held, and with 2 if the case could
// not run.
package main

import (
	"fmt"
	"os"
)

// Exit codes.
const (
	exitBroken = 1
	exitFailed = 2
)

func main() {
	cases := map[string]func(*world) error{"refusal": playRefusal, "memory": playMemory, "stamp": playStamp, "silence": playSilence, "ended": playEnded}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases3 refusal|memory|stamp|silence|ended RECORD")
		os.Exit(exitFailed)
	}
	w, err := newWorld(os.Args[2])
	if err == nil {
		err = cases[os.Args[1]](w)
		w.close()
	}
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	case w.broken > 0:
		os.Exit(exitBroken)
	}
}
