// Package weightstore is a stand-in for the rate-limited weight store: GET
// /weights/VERSION answers the bytes of a version, at a rate that all readers
// share.
package weightstore

import (
	"net/http"
	"strconv"

	"golang.org/x/time/rate"
)

// DefaultSize is the size of a version, in bytes.
const DefaultSize = 1 << 20

const blockBytes = 16 << 10

// Options of a Server. The zero value works.
type Options struct {
	// BytesPerSecond is the rate over all readers; zero is no bound.
	BytesPerSecond float64
	// Size of one version, in bytes; DefaultSize if zero.
	Size int64
}

// Server is the stand-in.
type Server struct {
	options Options
	limiter *rate.Limiter
}

// New returns a weight store that has every version.
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

// Path returns the path of a version.
func Path(version int64) string {
	return "/weights/" + strconv.FormatInt(version, 10)
}

// Handler returns the store's interface.
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
