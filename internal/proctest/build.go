package proctest

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
)

// Binaries are the programs under test.
type Binaries struct {
	Entry   string // the shipped binary
	Standin string
}

// Build builds both programs into folder. It runs in any folder of the module.
func Build(folder string) (Binaries, error) {
	command := exec.Command("go", "build", "-o", folder+string(os.PathSeparator),
		"github.com/comfreyfront/comfreyfront/cmd/comfreyfront",
		"github.com/comfreyfront/comfreyfront/cmd/standin")
	if output, err := command.CombinedOutput(); err != nil {
		return Binaries{}, fmt.Errorf("build: %w: %s", err, output)
	}
	return InFolder(folder), nil
}

// InFolder returns the programs that were built into folder.
func InFolder(folder string) Binaries {
	return Binaries{Entry: filepath.Join(folder, "comfreyfront"), Standin: filepath.Join(folder, "standin")}
}
