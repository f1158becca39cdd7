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
	chosen := settings.Default()
	environment := chosen.ReadEnvironment(os.LookupEnv)
	for _, flag := range chosen.Flags() {
		usage := fmt.Sprintf("%s [%s]", flag.Usage, flag.Environment())
		if flag.Text != nil {
			subcommand.String(flag.Text, "", flag.Name, usage)
			continue
		}
		subcommand.Duration(flag.Duration, "", flag.Name, usage)
	}
	parser.AttachSubcommand(subcommand, 1)
	return leaf{subcommand: subcommand, run: func(ctx context.Context, streams streams) int {
		return runEntry(ctx, streams, chosen, environment)
	}}
}

// runEntry checks all settings, names all mistakes at once, and serves until
// the context ends and everything in flight is finished.
func runEntry(ctx context.Context, streams streams, chosen *settings.Entry, environment error) int {
	checked := chosen.Check()
	for _, err := range []error{environment, checked} {
		if err != nil {
			fmt.Fprintln(streams.err, settings.Explain(err))
		}
	}
	if environment != nil || checked != nil {
		return exitUsage
	}
	if err := entry.Run(ctx, chosen, streams.out, streams.err); err != nil {
		return fail(streams, exitFailed, "%v", err)
	}
	return exitOK
}
