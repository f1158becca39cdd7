package strict

import (
	"net/http"
	"path"
)

// BodyLimits are the largest bodies of the answers to remote calls, in bytes.
type BodyLimits struct {
	// ByMethod has the limits of methods, which are the last parts of the paths of calls.
	ByMethod map[string]int64
	// Others is the limit of all other methods.
	Others int64
}

// LimitBodies returns a transport that fails the reading of an answer which is longer than its
// limit. Clients that are generated from protocol descriptions read answers of any length.
func LimitBodies(transport http.RoundTripper, limits BodyLimits) http.RoundTripper {
	return limitedBodies{transport, limits}
}

type limitedBodies struct {
	http.RoundTripper
	limits BodyLimits
}

// RoundTrip implements http.RoundTripper.
func (l limitedBodies) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := l.RoundTripper.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	limit, ok := l.limits.ByMethod[path.Base(request.URL.Path)]
	if !ok {
		limit = l.limits.Others
	}
	response.Body = http.MaxBytesReader(nil, response.Body, limit)
	return response, nil
}
