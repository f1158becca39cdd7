package dispatch

import (
	"crypto/rand"
	"log/slog"
)

// NewID returns a new identifier for a request or an attempt.
func NewID() string { return rand.Text() }

func retryAttrs(call *Call, endpointID string, attempts int, err error) []slog.Attr {
	return []slog.Attr{
		slog.String("request", call.RequestID),
		slog.String("class", call.Class.Name),
		slog.String("endpoint", endpointID),
		slog.Int("attempts", attempts),
		slog.String("cause", err.Error()),
	}
}

func hedgeAttrs(call *Call, first, second string) []slog.Attr {
	return []slog.Attr{
		slog.String("request", call.RequestID),
		slog.String("class", call.Class.Name),
		slog.String("first", first),
		slog.String("second", second),
	}
}
