package proctest

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
)

// Binaries holds the paths of the built programs.
type Binaries struct {
	Entry   string // the comfreyfront binary, which runs entries and nodes
	Standin string // the standin binary, which runs every kind of stand-in
}

// Import paths of the programs that Build compiles.
const (
	packageEntry   = "github.com/comfreyfront/comfreyfront/cmd/comfreyfront"
	packageStandin = "github.com/comfreyfront/comfreyfront/cmd/standin"
)

// Build compiles both programs into folder. The working directory must be inside the module.
func Build(folder string) (Binaries, error) {
	return build(folder, packageEntry, packageStandin)
}

// BuildStandin compiles only the stand-ins into folder.
func BuildStandin(folder string) (Binaries, error) {
	return build(folder, packageStandin)
}

func build(folder string, packages ...string) (Binaries, error) {
	arguments := append([]string{"build", "-o", folder + string(os.PathSeparator)}, packages...)
	if output, err := exec.Command("go", arguments...).CombinedOutput(); err != nil {
		return Binaries{}, fmt.Errorf("go build: %w: %s", err, output)
	}
	return InFolder(folder), nil
}

// InFolder returns the paths of the programs in a folder that Build filled.
func InFolder(folder string) Binaries {
	return Binaries{Entry: filepath.Join(folder, "comfreyfront"), Standin: filepath.Join(folder, "standin")}
}
