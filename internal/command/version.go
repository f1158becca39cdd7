package command

import (
	"context"
	"fmt"
	"runtime/debug"

	"github.com/integrii/flaggy"
)

func versionCommand(parser *flaggy.Parser) leaf {
	subcommand := flaggy.NewSubcommand("version")
	subcommand.Description = "Prints the version."
	parser.AttachSubcommand(subcommand, 1)
	return leaf{subcommand: subcommand, run: func(_ context.Context, streams streams) int {
		fmt.Fprintln(streams.out, "comfreyfront", version())
		return exitOK
	}}
}

// version returns the module version, the commit if the build recorded it, and
// the Go version.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	text := info.Main.Version
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			text += " " + setting.Value
		}
	}
	return text + " " + info.GoVersion
}
