package command

import (
	"context"
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"github.com/comfreyfront/comfreyfront/internal/entry"
	"github.com/comfreyfront/comfreyfront/internal/settings"
)

func entryCommand(parser *flaggy.Parser) leaf {
	subcommand := flaggy.NewSubcommand("entry")
	subcommand.Description = "Runs an entry between callers and endpoints."
	entrySettings := settings.Default()
	environmentErr := entrySettings.ReadEnvironment(os.LookupEnv)
	for _, flag := range entrySettings.Flags() {
		usage := fmt.Sprintf("%s [%s]", flag.Usage, flag.Environment())
		if flag.Text != nil {
			subcommand.String(flag.Text, "", flag.Name, usage)
			continue
		}
		if flag.Number != nil {
			subcommand.Int(flag.Number, "", flag.Name, usage)
			continue
		}
		subcommand.Duration(flag.Duration, "", flag.Name, usage)
	}
	parser.AttachSubcommand(subcommand, 1)
	return leaf{subcommand: subcommand, run: func(ctx context.Context, streams streams) int {
		return runEntry(ctx, streams, entrySettings, environmentErr)
	}}
}

// runEntry checks all settings and prints every mistake. Without mistakes, it
// serves until the context ends and the requests in flight finish.
func runEntry(ctx context.Context, streams streams, entrySettings *settings.Entry, environmentErr error) int {
	checkErr := entrySettings.Check()
	for _, err := range []error{environmentErr, checkErr} {
		if err != nil {
			fmt.Fprintln(streams.err, settings.Explain(err))
		}
	}
	if environmentErr != nil || checkErr != nil {
		return exitUsage
	}
	if err := entry.Run(ctx, entrySettings, streams.out, streams.err); err != nil {
		return fail(streams, exitFailed, "%v", err)
	}
	return exitOK
}
