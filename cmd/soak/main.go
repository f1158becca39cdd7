// Command soak plays faults on real processes of this project for a while and
// checks what callers and trainers get. It ends with 1 if a promise was broken.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/integrii/flaggy"

	"github.com/comfreyfront/comfreyfront/internal/proctest"
	"github.com/comfreyfront/comfreyfront/internal/soak"
)

const (
	defaultNodes  = 6
	defaultLength = time.Minute
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run() error {
	options := soak.Options{Nodes: defaultNodes, Duration: defaultLength, Seed: 1, Progress: os.Stdout}
	var logs string
	flaggy.SetName("soak")
	flaggy.SetDescription("Plays faults on real processes and checks what callers get.")
	flaggy.Int(&options.Nodes, "n", "nodes", "number of node processes")
	flaggy.Duration(&options.Duration, "t", "time", "how long faults are played")
	flaggy.UInt64(&options.Seed, "s", "seed", "decides the order of faults")
	flaggy.String(&logs, "l", "logs", "file for the processes' output; empty is none")
	flaggy.Parse()
	out, err := logFile(logs)
	if err != nil {
		return err
	}
	defer out.Close()
	options.Log = out
	folder, err := os.MkdirTemp("", "soak")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	binaries, err := proctest.Build(folder)
	if err != nil {
		return err
	}
	options.Binary = binaries.Entry
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	report, err := soak.Run(ctx, options)
	if err != nil {
		return err
	}
	fmt.Print(report)
	if broken := report.Violations(); len(broken) > 0 {
		return fmt.Errorf("%d promises broken, seed %d", len(broken), options.Seed)
	}
	return nil
}

// noLog discards what is written.
type noLog struct{ io.Writer }

// Close implements io.Closer.
func (noLog) Close() error { return nil }

func logFile(path string) (io.WriteCloser, error) {
	if path == "" {
		return noLog{io.Discard}, nil
	}
	return os.Create(path)
}
