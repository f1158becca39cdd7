package e2e

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/comfreyfront/comfreyfront/internal/proctest"
)

// worlds is how many clusters run at once: most of their time is waiting.
const worlds = "3"

var binaries proctest.Binaries

func TestMain(m *testing.M) {
	flag.Parse()
	if testing.Short() {
		fmt.Println("e2e: these tests run in make test, not in short mode")
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
	if err := flag.Set("test.parallel", worlds); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}
