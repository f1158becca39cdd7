package measure

import (
	"net/http"
	"sync/atomic"
	"time"

	protocol "github.com/comfreyfront/comfreyfront/internal/engine"
)

// Traffic counts the calls from entries to endpoints, and those of them to another
// failure domain. Polls of load reports are not counted.
type Traffic struct {
	Calls, Crossings atomic.Int64
}

// delayTransport is the transport from an entry to the endpoints. It adds the network
// delay between failure domains and counts calls.
type delayTransport struct {
	base    http.RoundTripper
	domain  string
	domains map[string]string // failure domain by address
	oneWay  time.Duration
	traffic *Traffic
}

// RoundTrip implements http.RoundTripper.
func (l *delayTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	crosses := l.domains[r.URL.Host] != l.domain
	if r.URL.Path != protocol.PathLoad {
		l.traffic.Calls.Add(1)
		if crosses {
			l.traffic.Crossings.Add(1)
		}
	}
	if !crosses {
		return l.base.RoundTrip(r)
	}
	if err := l.delay(r); err != nil {
		return nil, err
	}
	resp, err := l.base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := l.delay(r); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// delay waits for the one-way delay, or until the request's context ends.
func (l *delayTransport) delay(r *http.Request) error {
	timer := time.NewTimer(l.oneWay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-r.Context().Done():
		return r.Context().Err()
	}
}
