// Command demo runs the whole system as separate processes on the local machine.
// It sends a training step, lookups and register updates, and kills one entry
// while they run. It prints the report and fails if a guarantee was violated.
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
)

// timeout bounds the demonstration, not counting the time to build the programs.
const timeout = 45 * time.Second

// Numbers of processes.
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
	flaggy.SetDescription("Runs the whole system as separate processes and checks its guarantees.")
	var logFile string
	flaggy.String(&logFile, "l", "log", "file for the logs of all processes; a temporary file if empty")
	flaggy.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	err := run(ctx, logFile)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", err)
		os.Exit(1)
	}
	fmt.Println("demo passed: no guarantee that it checks was violated")
}

// run runs the demonstration on a new cluster and prints the end of the logs if it
// fails.
func run(ctx context.Context, logFile string) error {
	logs, err := openLog(logFile)
	if err != nil {
		return err
	}
	defer func() { _ = logs.Close() }()
	temporary := proctest.TemporaryOptions{Log: logs, ListLag: time.Second}
	err = proctest.RunTemporary(temporary, func(cluster *proctest.Cluster, folder string) error {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return demonstrate(ctx, cluster, folder)
	})
	if err != nil {
		printTail(logs)
	}
	return err
}

// openLog creates the log file. Without a name, it creates a temporary file that is
// deleted when it is closed.
func openLog(name string) (*os.File, error) {
	if name != "" {
		return os.Create(name)
	}
	file, err := os.CreateTemp("", "comfreyfront-demo-")
	if err != nil {
		return nil, err
	}
	return file, os.Remove(file.Name())
}

// tailSize is how much of the logs is printed after a failure, in bytes.
const tailSize = 4 << 10

func printTail(logs *os.File) {
	info, err := logs.Stat()
	if err != nil {
		return
	}
	start := max(info.Size()-tailSize, 0)
	_, _ = io.Copy(os.Stderr, io.NewSectionReader(logs, start, tailSize))
}
