// Package command implements the command line of comfreyfront, which runs its
// processes and the operator's commands.
package command

import (
	"context"
	"fmt"
	"io"

	"github.com/integrii/flaggy"
)

// Exit codes of the program.
const (
	exitOK = iota
	exitFailed
	// exitUsage reports mistakes in flags, settings or files; nothing was changed.
	exitUsage
	// exitUnknown reports that a change may or may not have been accepted.
	exitUnknown
)

// streams are the output and error streams of a command.
type streams struct {
	out, err io.Writer
}

// leaf is a command without subcommands and the function that runs it.
type leaf struct {
	subcommand *flaggy.Subcommand
	run        func(ctx context.Context, streams streams) int
}

// Run parses the arguments, runs the selected command and returns its exit code.
func Run(ctx context.Context, arguments []string, out, errors io.Writer) int {
	parser := flaggy.NewParser("comfreyfront")
	parser.Description = "Rollout service for reinforcement learning."
	parser.AdditionalHelpAppend = "Each flag of a command can be set by an environment variable; `comfreyfront COMMAND --help` lists them."
	parser.DisableShowVersionWithVersion()
	leaves := []leaf{entryCommand(parser), nodeCommand(parser), storageCommand(parser), explainCommand(parser), settingsCommand(parser), reportCommand(parser), versionCommand(parser)}
	leaves = append(leaves, classCommands(parser)...)
	if err := parser.ParseArgs(arguments); err != nil {
		fmt.Fprintln(errors, err)
		return exitUsage
	}
	for _, leaf := range leaves {
		if leaf.subcommand.Used {
			return leaf.run(ctx, streams{out: out, err: errors})
		}
	}
	parser.ShowHelp()
	return exitUsage
}

func fail(streams streams, code int, format string, args ...any) int {
	fmt.Fprintf(streams.err, format+"\n", args...)
	return code
}
