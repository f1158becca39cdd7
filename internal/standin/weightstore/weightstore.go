// Package weightstore is a stand-in for the rate-limited weight store. GET
// /weights/VERSION returns the bytes of a weight version; all readers share one rate
// limit.
package weightstore

import (
	"net/http"
	"strconv"

	"golang.org/x/time/rate"
)

// DefaultSize is the default size of a weight version, in bytes.
const DefaultSize = 1 << 20

// blockBytes is the size of a write and the burst size of the rate limiter.
const blockBytes = 16 << 10

// Options configure a Server. The zero value is valid.
type Options struct {
	// BytesPerSecond limits the total rate of all readers; zero means no limit.
	BytesPerSecond float64
	// Size is the size of a version, in bytes; DefaultSize if zero.
	Size int64
}

// Server serves weight versions of a fixed size at a limited rate.
type Server struct {
	options Options
	limiter *rate.Limiter
}

// New returns a weight store that serves any version.
func New(options Options) *Server {
	if options.Size == 0 {
		options.Size = DefaultSize
	}
	limit := rate.Inf
	if options.BytesPerSecond > 0 {
		limit = rate.Limit(options.BytesPerSecond)
	}
	return &Server{options: options, limiter: rate.NewLimiter(limit, blockBytes)}
}

// Path returns the URL path of a weight version.
func Path(version int64) string {
	return "/weights/" + strconv.FormatInt(version, 10)
}

// Handler returns the HTTP interface of the store.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weights/{version}", s.serve)
	return mux
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Length", strconv.FormatInt(s.options.Size, 10))
	block := make([]byte, blockBytes)
	for left := s.options.Size; left > 0; left -= blockBytes {
		part := block[:min(left, blockBytes)]
		if err := s.limiter.WaitN(r.Context(), len(part)); err != nil {
			return
		}
		if _, err := w.Write(part); err != nil {
			return
		}
	}
}
