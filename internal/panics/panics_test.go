package panics

import (
	"bytes"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestPanicOfAHandlerIsLogged guards against a defect that leaves no trace: net/http recovers
// panics of handlers, and its log is discarded.
func TestPanicOfAHandlerIsLogged(t *testing.T) {
	for name, row := range map[string]struct {
		cause any
		log   string
	}{
		"defect":             {cause: "index out of range", log: "handler panicked"},
		"deliberate aborted": {cause: http.ErrAbortHandler},
	} {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			handler := Logged(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(row.cause) }), slog.New(slog.NewTextHandler(&out, nil)))
			require.PanicsWithError(t, http.ErrAbortHandler.Error(), func() {
				handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/path", http.NoBody))
			})
			if row.log == "" {
				require.Empty(t, out.String())
				return
			}
			require.Contains(t, out.String(), row.log)
			require.Contains(t, out.String(), "/path")
			require.Contains(t, out.String(), "panics_test.go")
		})
	}
}
