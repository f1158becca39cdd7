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

// settingsFileVariable is the name of the environment variable that holds the
// path of the settings file.
const settingsFileVariable = "COMFREYFRONT_NODE_FILE"

// nodeCommand returns `node`, which runs a node on the platform. It reads settings
// from the file, then from environment variables, then from flags; later sources
// override earlier ones.
func nodeCommand(parser *flaggy.Parser) leaf {
	subcommand := flaggy.NewSubcommand("node")
	subcommand.Description = "Runs a node between callers and endpoints on the platform."
	file := os.Getenv(settingsFileVariable)
	subcommand.String(&file, "", "settings", fmt.Sprintf("path of a settings file, lines of name=value [%s]", settingsFileVariable))
	nodeSettings := settings.DefaultNode()
	flags := map[string]*string{}
	for _, setting := range nodeSettings.Settings() {
		value := new(string)
		flags[setting.Name] = value
		subcommand.String(value, "", setting.Name, fmt.Sprintf("%s [%s]", setting.Usage, setting.Environment()))
	}
	parser.AttachSubcommand(subcommand, 1)
	return leaf{subcommand: subcommand, run: func(ctx context.Context, streams streams) int {
		if err := readNodeSettings(nodeSettings, file, flags); err != nil {
			return fail(streams, exitUsage, "%s", settings.Explain(err))
		}
		reload := node.Reload{Requested: hangupSignals(ctx), Read: func() (*settings.Node, error) {
			next := settings.DefaultNode()
			return next, readNodeSettings(next, file, flags)
		}}
		if err := node.Run(ctx, nodeSettings, reload, streams.out); err != nil {
			return fail(streams, exitFailed, "%v", err)
		}
		return exitOK
	}}
}

// hangupSignals returns a channel that receives a value for each SIGHUP until ctx
// ends.
func hangupSignals(ctx context.Context) <-chan struct{} {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	requests := make(chan struct{})
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-signals:
			}
			select {
			case requests <- struct{}{}:
			case <-ctx.Done():
				return
			}
		}
	}()
	return requests
}

// readNodeSettings reads a node's settings from the file, environment variables
// and flags, in this order, and checks them.
func readNodeSettings(nodeSettings *settings.Node, file string, flags map[string]*string) error {
	if file != "" {
		if err := readSettingsFile(nodeSettings, file); err != nil {
			return err
		}
	}
	if err := nodeSettings.ReadEnvironment(os.LookupEnv); err != nil {
		return err
	}
	for _, setting := range nodeSettings.Settings() {
		if text := *flags[setting.Name]; text != "" {
			if err := setting.Set(text); err != nil {
				return settings.ErrInvalid.New("--%s: %v", setting.Name, err)
			}
		}
	}
	return nodeSettings.Check()
}

func readSettingsFile(nodeSettings *settings.Node, path string) error {
	file, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return settings.ErrInvalid.New("settings file %q does not exist", path)
	}
	if err != nil {
		return settings.ErrInvalid.New("settings file: %v", err)
	}
	defer file.Close()
	return nodeSettings.ReadFile(file)
}

// storageCommand returns `storage`, which runs on an instance with a disk. No
// durable data is stored on such an instance, so the process only waits until ctx
// ends.
func storageCommand(parser *flaggy.Parser) leaf {
	subcommand := flaggy.NewSubcommand("storage")
	subcommand.Description = "Runs a placeholder on an instance with a disk; it stores no data."
	parser.AttachSubcommand(subcommand, 1)
	return leaf{subcommand: subcommand, run: func(ctx context.Context, _ streams) int {
		signal.Ignore(syscall.SIGHUP)
		<-ctx.Done()
		return exitOK
	}}
}
