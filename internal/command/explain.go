package command

import (
	"context"
	"io"
	"os"

	"github.com/integrii/flaggy"

	"github.com/comfreyfront/comfreyfront/internal/explain"
	"github.com/comfreyfront/comfreyfront/internal/settings"
)

// maxLogFiles is the largest number of log files that `explain` reads.
const maxLogFiles = 8

// explainCommand returns `explain`, which prints the log events of one request,
// submission or item in order.
func explainCommand(parser *flaggy.Parser) leaf {
	subcommand := flaggy.NewSubcommand("explain")
	subcommand.Description = "Explains what happened to a request, submission or item: explain ID [FILE...]; without files, reads logs from standard input."
	var id string
	subcommand.AddPositionalValue(&id, "id", 1, true, "id of a request, submission or item")
	files := make([]string, maxLogFiles)
	for i := range files {
		subcommand.AddPositionalValue(&files[i], "file", i+2, false, "log file")
	}
	parser.AttachSubcommand(subcommand, 1)
	return leaf{subcommand: subcommand, run: func(_ context.Context, streams streams) int {
		logs, closeAll, err := openLogs(files)
		if err != nil {
			return fail(streams, exitUsage, "%v", err)
		}
		defer closeAll()
		found, err := explain.Timeline(id, logs, streams.out)
		if err != nil {
			return fail(streams, exitFailed, "%v", err)
		}
		if found == 0 {
			return exitFailed
		}
		return exitOK
	}}
}

// openLogs returns the concatenation of the named files, or standard input if no
// file is named, and a function that closes the files.
func openLogs(files []string) (io.Reader, func(), error) {
	var readers []io.Reader
	var opened []*os.File
	closeAll := func() {
		for _, file := range opened {
			_ = file.Close() // read-only: no data can be lost
		}
	}
	for _, name := range files {
		if name == "" {
			continue
		}
		file, err := os.Open(name)
		if err != nil {
			closeAll()
			return nil, nil, err
		}
		opened = append(opened, file)
		readers = append(readers, file)
	}
	if len(readers) == 0 {
		return os.Stdin, closeAll, nil
	}
	return io.MultiReader(readers...), closeAll, nil
}

// settingsCommand returns `settings check`, which checks a node's settings file
// without starting the node.
func settingsCommand(parser *flaggy.Parser) leaf {
	group := flaggy.NewSubcommand("settings")
	group.Description = "Checks settings files."
	subcommand := flaggy.NewSubcommand("check")
	subcommand.Description = "Checks a node's settings file and prints the value of every setting."
	var file string
	subcommand.AddPositionalValue(&file, "file", 1, true, "settings file, lines of name=value")
	group.AttachSubcommand(subcommand, 1)
	parser.AttachSubcommand(group, 1)
	return leaf{subcommand: subcommand, run: func(_ context.Context, streams streams) int {
		nodeSettings := settings.DefaultNode()
		if err := readSettingsFile(nodeSettings, file); err != nil {
			return fail(streams, exitUsage, "%s", settings.Explain(err))
		}
		if err := nodeSettings.Check(); err != nil {
			return fail(streams, exitUsage, "%s", settings.Explain(err))
		}
		for _, setting := range nodeSettings.Settings() {
			if _, err := io.WriteString(streams.out, setting.Name+"="+setting.Text()+"\n"); err != nil {
				return fail(streams, exitFailed, "%v", err)
			}
		}
		return exitOK
	}}
}
