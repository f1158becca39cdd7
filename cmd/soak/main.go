// Command soak injects faults into real processes of this project for a given time
// and checks the responses to callers and trainers. It exits with code 1 if a
// guarantee was violated.
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
	flaggy.SetDescription("Injects faults into real processes and checks the responses to callers.")
	flaggy.Int(&options.Nodes, "n", "nodes", "number of node processes")
	flaggy.Duration(&options.Duration, "t", "time", "how long to inject faults")
	flaggy.UInt64(&options.Seed, "s", "seed", "random seed of the order of faults")
	flaggy.String(&logs, "l", "logs", "file for the output of the processes; none if empty")
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
		return fmt.Errorf("%d guarantees violated, seed %d", len(broken), options.Seed)
	}
	return nil
}

// discardLog is a writer whose Close method does nothing, for runs without a log
// file.
type discardLog struct{ io.Writer }

// Close implements io.Closer.
func (discardLog) Close() error { return nil }

func logFile(path string) (io.WriteCloser, error) {
	if path == "" {
		return discardLog{io.Discard}, nil
	}
	return os.Create(path)
}
