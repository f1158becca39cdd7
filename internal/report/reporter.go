package report

import (
	"context"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/control"
	"github.com/comfreyfront/comfreyfront/internal/exchange"
)

// digestsTimeout bounds the wait for the control goroutine.
const digestsTimeout = time.Second

// DigestSource gives the figures of all entries; control.Manager is one.
type DigestSource interface {
	Digests(ctx context.Context) []exchange.Digest
}

// Reporter renders reports from live data.
type Reporter struct {
	snapshots *control.Snapshots
	source    DigestSource
	now       func() time.Time
}

// NewReporter returns a Reporter; a nil clock is time.Now.
func NewReporter(snapshots *control.Snapshots, source DigestSource, now func() time.Time) *Reporter {
	if now == nil {
		now = time.Now
	}
	return &Reporter{snapshots: snapshots, source: source, now: now}
}

// Report builds the report of now.
func (r *Reporter) Report() Report {
	ctx, cancel := context.WithTimeout(context.Background(), digestsTimeout)
	defer cancel()
	digests := r.source.Digests(ctx)
	return Build(r.now(), r.snapshots.Load(), digests)
}

// Text renders the report of now as plain text.
func (r *Reporter) Text() string { return r.Report().Text() }

// HTML renders the report of now as a page.
func (r *Reporter) HTML() string { return r.Report().HTML() }
