package service

import (
	"net/http"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/standin/jsonhttp"
)

// Delay is the body of PUT /delay: the duration of a call, in milliseconds.
type Delay struct {
	Millis int64 `json:"ms"`
}

// Control returns the HTTP control interface.
func (s *Server) Control() http.Handler {
	mux := http.NewServeMux()
	s.Gate.Register(mux)
	mux.HandleFunc("GET /journal", func(w http.ResponseWriter, _ *http.Request) {
		jsonhttp.Write(w, http.StatusOK, s.Journal())
	})
	mux.HandleFunc("PUT /delay", func(w http.ResponseWriter, r *http.Request) {
		var delay Delay
		if jsonhttp.Read(w, r, &delay) {
			s.SetDelay(time.Duration(delay.Millis) * time.Millisecond)
			w.WriteHeader(http.StatusNoContent)
		}
	})
	mux.HandleFunc("DELETE /delay", actionHandler(func() { s.SetDelay(s.options.Delay) }))
	mux.HandleFunc("PUT /leaving", actionHandler(func() { s.SetLeaving(true) }))
	mux.HandleFunc("DELETE /leaving", actionHandler(func() { s.SetLeaving(false) }))
	mux.HandleFunc("POST /crash", actionHandler(s.Crash))
	return mux
}

// actionHandler returns a handler that calls action and answers 204.
func actionHandler(action func()) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		action()
		w.WriteHeader(http.StatusNoContent)
	}
}
