// Command demo runs the whole system as separate processes on this machine: a
// training step, lookups and register updates, with one entry killed on the
// way. It prints the report and fails if a promise was broken.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/integrii/flaggy"

	"github.com/comfreyfront/comfreyfront/internal/proctest"
)

// timeout bounds the whole demonstration.
const timeout = 55 * time.Second

// Sizes of the demonstration.
const (
	entries  = 3
	engines  = 3
	services = 2
)

const model, application = "drafting", "register"

// classes are the classes of work that the demonstration applies.
const classes = `classes:
- name: training
  lateness: 30s
  freshness: none
  completeness: 99%
- name: field-lookup
  lateness: 2s
  freshness: none
  completeness: 99%
- name: register-update
  lateness: 5s
  freshness: none
  completeness: 99.9%
`

func main() {
	flaggy.SetName("demo")
	flaggy.SetDescription("Runs the whole system as separate processes and checks its promises.")
	var logFile string
	flaggy.String(&logFile, "l", "log", "file that gets the logs of all processes; a temporary one if empty")
	flaggy.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	err := run(ctx, logFile)
	cancel()
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", err)
		os.Exit(1)
	}
	fmt.Println("demo passed: every promise that it checks held")
}

// run builds the programs, starts the cluster, and always ends it.
func run(ctx context.Context, logFile string) error {
	folder, err := os.MkdirTemp("", "comfreyfront-demo-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	binaries, err := proctest.Build(folder)
	if err != nil {
		return err
	}
	if logFile == "" {
		logFile = filepath.Join(folder, "log")
	}
	logs, err := os.Create(logFile)
	if err != nil {
		return err
	}
	cluster, err := proctest.NewCluster(proctest.Layout{Binaries: binaries, Folder: folder, Log: logs, ListLag: time.Second})
	if cluster != nil {
		defer func() { _ = cluster.Close() }()
	}
	if err != nil {
		return err
	}
	if err := demonstrate(ctx, cluster, binaries, folder); err != nil {
		printTail(logFile)
		return err
	}
	return nil
}

// tailSize is how much of the logs a failure shows, in bytes.
const tailSize = 4 << 10

func printTail(path string) {
	file, err := os.Open(path)
	if err != nil {
		return
	}
	defer func() { _ = file.Close() }()
	if info, err := file.Stat(); err == nil && info.Size() > tailSize {
		_, _ = file.Seek(-tailSize, io.SeekEnd)
	}
	_, _ = io.Copy(os.Stderr, file)
}
