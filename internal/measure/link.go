package measure

import (
	"net/http"
	"sync/atomic"
	"time"

	protocol "github.com/comfreyfront/comfreyfront/internal/engine"
)

// Traffic counts the calls that entries made to endpoints.
type Traffic struct {
	Calls, Crossings atomic.Int64
}

// link is an entry's way to the endpoints: it adds the delay between failure
// domains and counts the calls.
type link struct {
	base    http.RoundTripper
	domain  string
	domains map[string]string // by address
	oneWay  time.Duration
	traffic *Traffic
}

// RoundTrip implements http.RoundTripper.
func (l *link) RoundTrip(r *http.Request) (*http.Response, error) {
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
	answer, err := l.base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := l.delay(r); err != nil {
		_ = answer.Body.Close()
		return nil, err
	}
	return answer, nil
}

func (l *link) delay(r *http.Request) error {
	timer := time.NewTimer(l.oneWay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-r.Context().Done():
		return r.Context().Err()
	}
}
