package e2e

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/comfreyfront/comfreyfront/internal/proctest"
)

// maxParallelClusters is the number of tests that run at the same time, each with its own cluster.
// They spend most of their time waiting.
const maxParallelClusters = "3"

var binaries proctest.Binaries

func TestMain(m *testing.M) {
	flag.Parse()
	if testing.Short() {
		fmt.Println("e2e: skipped in short mode; run make test")
		os.Exit(0)
	}
	os.Exit(run(m))
}

func run(m *testing.M) int {
	folder, err := os.MkdirTemp("", "e2e")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }()
	if binaries, err = proctest.Build(folder); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	if err := flag.Set("test.parallel", maxParallelClusters); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}
