package logging

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func loggerTo(out io.Writer, now func() time.Time) (*slog.Logger, *Writer) {
	w := NewWriter(out)
	h := NewHandler(slog.NewTextHandler(w, nil), w)
	h.shared.now = now
	return slog.New(h), w
}

// TestStoppedReaderDoesNotBlock checks that writes do not block when the reader has stopped.
func TestStoppedReaderDoesNotBlock(t *testing.T) {
	reader, out := io.Pipe()
	defer reader.Close()
	logger, w := loggerTo(out, time.Now)
	for i := range 4 * queueLines {
		logger.Info(fmt.Sprint(i))
	}
	require.Positive(t, w.dropped.Load())
	w.Close()
}

// TestBudgetKeepsFirstLinesAndFailures checks that the first lines of an event are kept,
// that failures have a larger budget, and that the number of lines left out is logged.
func TestBudgetKeepsFirstLinesAndFailures(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	var out bytes.Buffer
	logger, w := loggerTo(&out, func() time.Time { return now })
	for i := range 500 {
		logger.Info("usual", "n", i)
		logger.Warn("failure", "n", i)
	}
	now = now.Add(time.Second)
	logger.Info("next")
	w.Close()
	text := out.String()
	require.Equal(t, infoBudget, strings.Count(text, "msg=usual"))
	require.Equal(t, warnBudget, strings.Count(text, "msg=failure"))
	require.Contains(t, text, "msg=usual n=0\n")
	require.Contains(t, text, fmt.Sprintf("lines=%d", 1000-infoBudget-warnBudget))
}

// BenchmarkLine measures the cost of a line that is written, and of a line beyond the
// budget of its event.
func BenchmarkLine(b *testing.B) {
	for name, step := range map[string]time.Duration{"written": time.Second / infoBudget, "left out": 0} {
		b.Run(name, func(b *testing.B) {
			now := time.Unix(1000, 0)
			logger, w := loggerTo(io.Discard, func() time.Time { now = now.Add(step); return now })
			defer w.Close()
			b.ReportAllocs()
			for i := range b.N {
				logger.Info("request ended", "event", 8030, "request", "9c41d07be2a35f68", "route", "r-1", "status", 200, "took_ms", i)
			}
		})
	}
}
