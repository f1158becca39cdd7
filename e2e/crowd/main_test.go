package crowds

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/comfreyfront/comfreyfront/internal/proctest"
)

var binaries proctest.Binaries

func TestMain(m *testing.M) {
	flag.Parse()
	if testing.Short() {
		fmt.Println("crowd: skipped in short mode; run make test")
		os.Exit(0)
	}
	os.Exit(run(m))
}

func run(m *testing.M) int {
	folder, err := os.MkdirTemp("", "crowd")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }()
	if binaries, err = proctest.Build(folder); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}
