package command

import (
	"context"
	"io"
	"os"

	"github.com/integrii/flaggy"

	"github.com/comfreyfront/comfreyfront/internal/explain"
	"github.com/comfreyfront/comfreyfront/internal/settings"
)

// maxLogFiles is how many files of logs one story is read from.
const maxLogFiles = 8

// explainCommand tells the story of one request, submission or item from logs.
func explainCommand(parser *flaggy.Parser) leaf {
	subcommand := flaggy.NewSubcommand("explain")
	subcommand.Description = "Tells the story of a request, submission or item: explain ID [FILE...]; without files the logs are read from standard input."
	var id string
	subcommand.AddPositionalValue(&id, "id", 1, true, "id of a request, submission or item")
	files := make([]string, maxLogFiles)
	for i := range files {
		subcommand.AddPositionalValue(&files[i], "file", i+2, false, "file of log lines")
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

// openLogs joins the named files, or returns standard input when none is named.
func openLogs(files []string) (io.Reader, func(), error) {
	var readers []io.Reader
	var opened []*os.File
	closeAll := func() {
		for _, file := range opened {
			_ = file.Close() // it was only read
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

// settingsCommand checks a settings file without starting a node.
func settingsCommand(parser *flaggy.Parser) leaf {
	group := flaggy.NewSubcommand("settings")
	group.Description = "Works on settings files."
	subcommand := flaggy.NewSubcommand("check")
	subcommand.Description = "Checks a node's settings file and prints every setting in force."
	var file string
	subcommand.AddPositionalValue(&file, "file", 1, true, "settings file, lines of name=value")
	group.AttachSubcommand(subcommand, 1)
	parser.AttachSubcommand(group, 1)
	return leaf{subcommand: subcommand, run: func(_ context.Context, streams streams) int {
		chosen := settings.DefaultNode()
		if err := readSettingsFile(chosen, file); err != nil {
			return fail(streams, exitUsage, "%s", settings.Explain(err))
		}
		if err := chosen.Check(); err != nil {
			return fail(streams, exitUsage, "%s", settings.Explain(err))
		}
		for _, setting := range chosen.Settings() {
			if _, err := io.WriteString(streams.out, setting.Name+"="+setting.Text()+"\n"); err != nil {
				return fail(streams, exitFailed, "%v", err)
			}
		}
		return exitOK
	}}
}
