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

// Import paths of the programs.
const (
	packageEntry   = "github.com/comfreyfront/comfreyfront/cmd/comfreyfront"
	packageStandin = "github.com/comfreyfront/comfreyfront/cmd/standin"
)

// Build builds both programs into folder. It runs in any folder of the module.
func Build(folder string) (Binaries, error) {
	return build(folder, packageEntry, packageStandin)
}

// BuildStandin builds the stand-ins alone.
func BuildStandin(folder string) (Binaries, error) {
	return build(folder, packageStandin)
}

func build(folder string, packages ...string) (Binaries, error) {
	arguments := append([]string{"build", "-o", folder + string(os.PathSeparator)}, packages...)
	if output, err := exec.Command("go", arguments...).CombinedOutput(); err != nil {
		return Binaries{}, fmt.Errorf("build: %w: %s", err, output)
	}
	return InFolder(folder), nil
}

// InFolder returns the programs that were built into folder.
func InFolder(folder string) Binaries {
	return Binaries{Entry: filepath.Join(folder, "comfreyfront"), Standin: filepath.Join(folder, "standin")}
}
