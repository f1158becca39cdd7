package command

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"

	"github.com/comfreyfront/comfreyfront/internal/node"
	"github.com/comfreyfront/comfreyfront/internal/settings"
)

// settingsFileVariable names the environment variable with the path of a
// settings file.
const settingsFileVariable = "COMFREYFRONT_NODE_FILE"

// nodeCommand runs a node on the platform. Settings come from the file, then
// from environment variables, then from flags; the later goes before.
func nodeCommand(parser *flaggy.Parser) leaf {
	subcommand := flaggy.NewSubcommand("node")
	subcommand.Description = "Runs a node between callers and endpoints on the platform."
	file := os.Getenv(settingsFileVariable)
	subcommand.String(&file, "", "settings", fmt.Sprintf("path of a settings file, lines of name=value [%s]", settingsFileVariable))
	chosen := settings.DefaultNode()
	flags := map[string]*string{}
	for _, setting := range chosen.Settings() {
		value := new(string)
		flags[setting.Name] = value
		subcommand.String(value, "", setting.Name, fmt.Sprintf("%s [%s]", setting.Usage, setting.Environment()))
	}
	parser.AttachSubcommand(subcommand, 1)
	return leaf{subcommand: subcommand, run: func(ctx context.Context, streams streams) int {
		if err := readNodeSettings(chosen, file, flags); err != nil {
			return fail(streams, exitUsage, "%s", settings.Explain(err))
		}
		reload := node.Reload{Requested: hangups(ctx), Read: func() (*settings.Node, error) {
			next := settings.DefaultNode()
			return next, readNodeSettings(next, file, flags)
		}}
		if err := node.Run(ctx, chosen, reload, streams.out); err != nil {
			return fail(streams, exitFailed, "%v", err)
		}
		return exitOK
	}}
}

// hangups tells of each SIGHUP until ctx ends.
func hangups(ctx context.Context) <-chan struct{} {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	asked := make(chan struct{})
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-signals:
			}
			select {
			case asked <- struct{}{}:
			case <-ctx.Done():
				return
			}
		}
	}()
	return asked
}

// readNodeSettings reads a node's settings from all places and checks them.
func readNodeSettings(chosen *settings.Node, file string, flags map[string]*string) error {
	if file != "" {
		if err := readSettingsFile(chosen, file); err != nil {
			return err
		}
	}
	if err := chosen.ReadEnvironment(os.LookupEnv); err != nil {
		return err
	}
	for _, setting := range chosen.Settings() {
		if text := *flags[setting.Name]; text != "" {
			if err := setting.Set(text); err != nil {
				return settings.ErrInvalid.New("--%s: %v", setting.Name, err)
			}
		}
	}
	return chosen.Check()
}

func readSettingsFile(chosen *settings.Node, path string) error {
	file, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return settings.ErrInvalid.New("settings file %q does not exist", path)
	}
	if err != nil {
		return settings.ErrInvalid.New("settings file: %v", err)
	}
	defer file.Close()
	return chosen.ReadFile(file)
}

// storageCommand runs the process of an instance with a disk. Nothing that must
// last stands on such an instance, so it only waits for its end.
func storageCommand(parser *flaggy.Parser) leaf {
	subcommand := flaggy.NewSubcommand("storage")
	subcommand.Description = "Holds the place of an instance with a disk; nothing is kept there."
	parser.AttachSubcommand(subcommand, 1)
	return leaf{subcommand: subcommand, run: func(ctx context.Context, _ streams) int {
		signal.Ignore(syscall.SIGHUP)
		<-ctx.Done()
		return exitOK
	}}
}
