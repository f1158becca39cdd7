package service

import (
	"net/http"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/standin/jsonhttp"
)

// Delay is the body of PUT /delay.
type Delay struct {
	Millis int64 `json:"ms"`
}

// Control returns the control interface.
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
	mux.HandleFunc("DELETE /delay", act(func() { s.SetDelay(s.options.Delay) }))
	mux.HandleFunc("PUT /leaving", act(func() { s.SetLeaving(true) }))
	mux.HandleFunc("DELETE /leaving", act(func() { s.SetLeaving(false) }))
	mux.HandleFunc("POST /crash", act(s.Crash))
	return mux
}

func act(do func()) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		do()
		w.WriteHeader(http.StatusNoContent)
	}
}
