// Command standin runs small stand-ins for the systems around comfreyfront, for
// tests and the demonstration. It is not part of the product. Each stand-in prints
// the line "ready ADDRESS CONTROL" once it listens, and shuts down gracefully on
// SIGTERM.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
)

// usageExitCode is the exit code for an invalid command line.
const usageExitCode = 2

// command is one stand-in: its subcommand with flags and the function that runs it.
type command struct {
	sub *flaggy.Subcommand
	run func(ctx context.Context) error
}

func main() {
	parser := flaggy.NewParser("standin")
	parser.Description = "Stand-ins for the systems around comfreyfront"
	parser.DisableShowVersionWithVersion()
	commands := []command{kvCommand(), listCommand(), engineCommand(), serviceCommand(), balancerCommand(), weightStoreCommand()}
	for _, c := range commands {
		parser.AttachSubcommand(c.sub, 1)
	}
	if err := parser.ParseArgs(os.Args[1:]); err != nil {
		fail(usageExitCode, err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	for _, c := range commands {
		if c.sub.Used {
			if err := c.run(ctx); err != nil {
				fail(1, err)
			}
			return
		}
	}
	parser.ShowHelpWithMessage("select a stand-in")
	os.Exit(usageExitCode)
}

func fail(code int, err error) {
	fmt.Fprintln(os.Stderr, "standin:", err)
	os.Exit(code)
}
