// Package docs checks the pages of this folder against the code.
package docs

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var (
	named   = regexp.MustCompile("`((?:Test|Fuzz)[A-Z][A-Za-z0-9]*)`")
	defined = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz)[A-Z][A-Za-z0-9]*)\(`)
)

// testsInCode returns the names of all tests of the project.
func testsInCode(t *testing.T) map[string]bool {
	t.Helper()
	found := map[string]bool{}
	err := filepath.WalkDir("..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		code, err := os.ReadFile(path)
		for _, match := range defined.FindAllSubmatch(code, -1) {
			found[string(match[1])] = true
		}
		return err
	})
	require.NoError(t, err)
	return found
}

func TestProofsNameTests(t *testing.T) {
	tests := testsInCode(t)
	pages, err := filepath.Glob("*.md")
	require.NoError(t, err)
	notes, err := filepath.Glob("design/*.md")
	require.NoError(t, err)
	for _, page := range append(pages, notes...) {
		text, err := os.ReadFile(page)
		require.NoError(t, err)
		for _, match := range named.FindAllSubmatch(text, -1) {
			require.True(t, tests[string(match[1])], "%s names %s, which does not exist", page, match[1])
		}
	}
}

func TestProofsCoverEveryPromise(t *testing.T) {
	page, err := os.ReadFile("PROOFS.md")
	require.NoError(t, err)
	rows := regexp.MustCompile(`(?m)^\| [1-9] \|`).FindAll(page, -1)
	require.Len(t, rows, 9)
}
