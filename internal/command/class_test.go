package command

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/class"
	"github.com/comfreyfront/comfreyfront/internal/config"
	"github.com/comfreyfront/comfreyfront/internal/operator"
	"github.com/comfreyfront/comfreyfront/internal/strict/stricttest"
)

const validFile = "classes:\n- name: lookup\n  lateness: 800ms\n  freshness: none\n  completeness: 99%\n"

// apply runs `class apply` with a file that contains text against an entry that
// answers with status and body. It returns the exit code and the output.
func apply(t *testing.T, text string, status int, body any) (int, string) {
	t.Helper()
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body)
	}))
	defer entry.Close()
	return applyTo(t, text, entry.URL)
}

// applyTo runs `class apply` with a file that contains text against the entry at an address. It
// returns the exit code and the output.
func applyTo(t *testing.T, text, entry string) (int, string) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "classes.yaml")
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	var printed bytes.Buffer
	arguments := []string{"class", "apply", "--file", file, "--entry", entry, "--change-id", "change-1"}
	code := Run(context.Background(), arguments, &printed, &printed)
	return code, printed.String()
}

func TestApplyPrintsOutcomeOfChange(t *testing.T) {
	conflict := &config.Conflict{Expected: 1, Current: 2, AcceptedSince: []config.Entry{{Revision: 2, Who: "eleni"}},
		Yours: []class.Change{{Kind: class.Added, Class: "lookup"}}}
	cases := []struct {
		name, text string
		status     int
		body       any
		code       int
		want       []string
	}{
		{"accepted", validFile, 200, operator.Accepted{Revision: 3}, exitOK, []string{"accepted as revision 3"}},
		{"invalid file", "classes:\n- name: lookup\n  lateness: soon\n", 200, operator.Accepted{}, exitUsage, []string{"line 3", "nothing was stored"}},
		{"conflict", validFile, 409, operator.Refusal{Reason: "conflict", Conflict: conflict}, exitFailed, []string{"revision 2 by eleni", "your change would now make these changes", "nothing was stored"}},
		{"store unavailable", validFile, 503, operator.Refusal{Reason: "unavailable"}, exitFailed, []string{"nothing was stored"}},
		{"outcome unknown", validFile, 504, operator.Refusal{Reason: "lost", Unknown: true}, exitUnknown, []string{"NOT KNOWN", "--change-id change-1"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			code, printed := apply(t, c.text, c.status, c.body)
			require.Equal(t, c.code, code, printed)
			for _, want := range c.want {
				require.Contains(t, printed, want)
			}
		})
	}
}

// TestApplyDoesNotTakeMalformedAnswers checks that a change whose answer is malformed is not reported
// as stored, or as not stored.
func TestApplyDoesNotTakeMalformedAnswers(t *testing.T) {
	for _, m := range slices.Concat(stricttest.StatusLines, stricttest.FieldLines) {
		t.Run(m.Name, func(t *testing.T) {
			answer := m.Apply(stricttest.Answer(`{"revision":3}`))
			_ = stricttest.Call(answer, func(address string) error {
				code, printed := applyTo(t, validFile, address)
				require.Equal(t, exitUnknown, code, printed)
				return nil
			})
		})
	}
}

func TestApplyToUnreachableEntryStoresNothing(t *testing.T) {
	file := filepath.Join(t.TempDir(), "classes.yaml")
	require.NoError(t, os.WriteFile(file, []byte(validFile), 0o600))
	var printed bytes.Buffer
	code := Run(context.Background(), []string{"class", "apply", "--file", file, "--entry", "127.0.0.1:1"}, &printed, &printed)
	require.Equal(t, exitFailed, code, printed.String())
	require.Contains(t, printed.String(), "nothing was stored")
}

func TestEntryReportsEveryInvalidSetting(t *testing.T) {
	var printed bytes.Buffer
	code := Run(context.Background(), []string{"entry", "--id", "a b"}, &printed, &printed)
	require.Equal(t, exitUsage, code)
	for _, flag := range []string{"--id", "--failure-domain", "--store-address", "--list-address"} {
		require.Contains(t, printed.String(), flag)
	}
}
