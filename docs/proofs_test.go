// Package docs checks the documentation in this directory against the code.
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

// testReference matches the name of a test in a page, and testDefinition a test function in the
// code.
var (
	testReference  = regexp.MustCompile("`((?:Test|Fuzz)[A-Z][A-Za-z0-9]*)`")
	testDefinition = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz)[A-Z][A-Za-z0-9]*)\(`)
)

// testsInCode returns the names of all tests and fuzz tests of the module.
func testsInCode(t *testing.T) map[string]bool {
	t.Helper()
	found := map[string]bool{}
	err := filepath.WalkDir("..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		code, err := os.ReadFile(path)
		for _, match := range testDefinition.FindAllSubmatch(code, -1) {
			found[string(match[1])] = true
		}
		return err
	})
	require.NoError(t, err)
	return found
}

// TestProofsNameTests checks that each test that a page names exists.
func TestProofsNameTests(t *testing.T) {
	tests := testsInCode(t)
	pages, err := filepath.Glob("*.md")
	require.NoError(t, err)
	designPages, err := filepath.Glob("design/*.md")
	require.NoError(t, err)
	for _, page := range append(pages, designPages...) {
		text, err := os.ReadFile(page)
		require.NoError(t, err)
		for _, match := range testReference.FindAllSubmatch(text, -1) {
			require.True(t, tests[string(match[1])], "%s names %s, which does not exist", page, match[1])
		}
	}
}

// TestProofsCoverEveryPromise checks that the table in PROOFS.md has a row for each of the nine
// guarantees.
func TestProofsCoverEveryPromise(t *testing.T) {
	page, err := os.ReadFile("PROOFS.md")
	require.NoError(t, err)
	rows := regexp.MustCompile(`(?m)^\| [1-9] \|`).FindAll(page, -1)
	require.Len(t, rows, 9)
}
