package operator

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"
)

// TestReportBeyondItsBoundIsNotWhole checks that the beginning of a report that is too long is not
// returned as the whole.
func TestReportBeyondItsBoundIsNotWhole(t *testing.T) {
	for size, complete := range map[int]bool{maxAnswerSize: true, maxAnswerSize + 1: false} {
		entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(strings.Repeat("r", size)))
		}))
		report, err := NewClient(entry.URL, entry.Client()).Report(t.Context())
		entry.Close()
		if complete {
			require.NoError(t, err)
			require.Len(t, report, size)
			continue
		}
		require.True(t, errorx.IsOfType(err, ErrUnreachable), "%v", err)
	}
}
