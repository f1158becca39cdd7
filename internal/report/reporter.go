package report

import (
	"context"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/control"
	"github.com/comfreyfront/comfreyfront/internal/exchange"
)

// digestsTimeout bounds the query to the control goroutine.
const digestsTimeout = time.Second

// DigestSource returns the figures of all entries. control.Manager implements it.
type DigestSource interface {
	Digests(ctx context.Context) []exchange.Digest
}

// Reporter renders reports from live data.
type Reporter struct {
	snapshots *control.Snapshots
	source    DigestSource
	now       func() time.Time
}

// NewReporter returns a Reporter with the clock now; nil means time.Now.
func NewReporter(snapshots *control.Snapshots, source DigestSource, now func() time.Time) *Reporter {
	if now == nil {
		now = time.Now
	}
	return &Reporter{snapshots: snapshots, source: source, now: now}
}

// Report builds a report of the current state.
func (r *Reporter) Report() Report {
	ctx, cancel := context.WithTimeout(context.Background(), digestsTimeout)
	defer cancel()
	digests := r.source.Digests(ctx)
	return Build(r.now(), r.snapshots.Load(), digests)
}

// Text renders a report of the current state as plain text.
func (r *Reporter) Text() string { return r.Report().Text() }

// HTML renders a report of the current state as a page.
func (r *Reporter) HTML() string { return r.Report().HTML() }
