// Package panics logs the panics of HTTP handlers.
package panics

import (
	"errors"
	"log/slog"
	"net/http"
	"runtime/debug"

	"github.com/comfreyfront/comfreyfront/internal/event"
)

// Logged returns a handler that logs the panics of another one and then aborts the response,
// so that a partial answer cannot be mistaken for a complete one. By itself net/http logs
// them only to the server's own log, which is discarded because callers can fill it.
func Logged(handler http.Handler, logger *slog.Logger) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer Recover(r, logger)
		handler.ServeHTTP(w, r)
	})
}

// Recover does the same for a handler that defers it.
func Recover(r *http.Request, logger *slog.Logger) {
	recovered := recover()
	if recovered == nil {
		return
	}
	if err, ok := recovered.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
		event.HandlerPanicked.Log(r.Context(), logger,
			slog.String("path", r.URL.Path), slog.Any("fault", recovered), slog.String("stack", string(debug.Stack())))
	}
	panic(http.ErrAbortHandler)
}
