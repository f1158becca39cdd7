package usage

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/comfreyfront/comfreyfront/internal/duty"
	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/metastore"
	"github.com/comfreyfront/comfreyfront/internal/wait"
)

// Times of the work of a reporter.
const (
	storeTimeout = time.Second
	// minRetryPause and maxRetryPause bound the pause after a failed call, to the metadata
	// store or to the management interface. It doubles with each failure in a row.
	minRetryPause = 200 * time.Millisecond
	maxRetryPause = 800 * time.Millisecond
)

// Tenure is the time for which this node holds the reports.
type Tenure interface {
	duty.Tenure
	// Waits returns how long the node must wait before its first call.
	Waits() time.Duration
	// ConfirmBy asks the metadata store a question whose answer confirms the tenure.
	ConfirmBy(ctx context.Context, ask func(ctx context.Context) error) error
}

// ReporterOptions configures a Reporter.
type ReporterOptions struct {
	// Length is the length of a window, and Due how long after its end its report is due.
	Length time.Duration
	Due    time.Duration
	// Now returns the time since the start of 1970.
	Now    func() time.Duration
	Store  metastore.Store
	Tenure Tenure
	// Holding is met while this node holds the reports.
	Holding   metastore.Condition
	Collector *Collector
	// First is the window to begin with if none was ever reported and there are no earlier
	// counts.
	First Window
	// Report sends a report to the management interface.
	Report func(ctx context.Context, credentials duty.Credentials, record *Record) error
	// Outcome is called after each call to the management interface. It may be nil.
	Outcome func(err error)
	Logger  *slog.Logger
}

// Reporter reports the windows one after the other while this node holds the reports.
type Reporter struct {
	options  ReporterOptions
	schedule schedule

	// newest is the record in the metadata store; nil if there is none. revision is that of
	// its key. unsent means that newest may not have reached the management interface.
	newest   *Record
	revision int64
	unsent   bool

	mu sync.Mutex
	// reported is the last report that was confirmed, at reportedAt.
	reported   *Record
	reportedAt time.Duration
}

// NewReporter returns a reporter for a holder.
func NewReporter(options ReporterOptions) *Reporter {
	return &Reporter{options: options, schedule: schedule{options.Length, options.Due}}
}

// Run reports windows until ctx ends.
func (r *Reporter) Run(ctx context.Context) {
	if !wait.For(ctx, r.options.Tenure.Waits()) {
		return
	}
	r.retry(ctx, r.read)
	for ctx.Err() == nil {
		// The previous holder may have ended before it sent the newest report.
		r.retry(ctx, r.report)
		w, omitted := r.next()
		if omitted > 0 {
			event.UsageWindowsOmitted.Log(ctx, r.options.Logger, slog.Int64("windows", omitted))
		}
		if !wait.For(ctx, r.schedule.ready(w)-r.options.Now()) {
			return
		}
		r.retry(ctx, func(ctx context.Context) bool { return r.fix(ctx, w) })
	}
}

// retry repeats a step, with exponential backoff and jitter, until it succeeds or ctx ends.
func (r *Reporter) retry(ctx context.Context, step func(context.Context) bool) {
	for pause := minRetryPause; ctx.Err() == nil && !step(ctx); pause = min(2*pause, maxRetryPause) {
		wait.For(ctx, pause/2+rand.N(pause))
	}
}

// next returns the window to report next and how many windows are omitted before it.
func (r *Reporter) next() (Window, int64) {
	first := r.options.First
	if earliest, found := r.options.Collector.Earliest(); found {
		first = min(first, earliest)
	}
	return r.schedule.next(r.newest, first, r.options.Now())
}

// read reads the record of the newest report.
func (r *Reporter) read(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	item, err := r.options.Store.Get(ctx, RecordKey)
	if errorx.IsOfType(err, metastore.ErrNotFound) {
		r.newest, r.revision, r.unsent = nil, 0, false
		return true
	}
	if err != nil {
		event.UsageNotFixed.Log(ctx, r.options.Logger, slog.String("cause", err.Error()))
		return false
	}
	record, err := DecodeRecord(item.Value)
	if err != nil {
		// The record cannot be repeated, and its windows must not get other counts.
		event.UsageNotFixed.Log(ctx, r.options.Logger, slog.String("cause", err.Error()))
		r.newest, r.revision, r.unsent = &Record{Window: WindowAt(r.options.Now(), r.options.Length)}, item.Revision, false
		return true
	}
	r.newest, r.revision, r.unsent = record, item.Revision, true
	r.options.Collector.Reported(record.Window)
	return true
}

// fix writes the record of a window's report, unless there is one already. From then on the
// counts of the window are the same for every holder.
func (r *Reporter) fix(ctx context.Context, w Window) bool {
	if r.newest != nil && r.newest.Window >= w {
		return true // a write without an answer has taken effect
	}
	record := &Record{Window: w, Counts: r.options.Collector.Sum(w)}
	value, err := record.Encode()
	if err != nil {
		event.UsageNotFixed.Log(ctx, r.options.Logger, slog.String("cause", err.Error()))
		return false
	}
	revision, err := r.write(ctx, value)
	if err != nil {
		event.UsageNotFixed.Log(ctx, r.options.Logger, slog.Int64("window", int64(w)), slog.String("cause", err.Error()))
		r.read(ctx)
		return false
	}
	r.newest, r.revision, r.unsent = record, revision, true
	r.options.Collector.Reported(w)
	return true
}

// write replaces the record under the condition that this node holds the reports.
func (r *Reporter) write(ctx context.Context, value []byte) (revision int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err = r.options.Tenure.ConfirmBy(ctx, func(ctx context.Context) error {
		revision, err = r.options.Store.Commit(ctx, metastore.Txn{
			Conditions: []metastore.Condition{r.options.Holding, {Key: RecordKey, Revision: r.revision}},
			Puts:       []metastore.Put{{Key: RecordKey, Value: value}},
		})
		return err
	})
	return revision, err
}

// report sends the newest record. It returns true when nothing is left to do about it.
func (r *Reporter) report(ctx context.Context) bool {
	if !r.unsent {
		return true
	}
	record := r.newest
	err := r.options.Tenure.Do(ctx, func(ctx context.Context, credentials duty.Credentials) error {
		return r.options.Report(ctx, credentials, record)
	})
	if r.options.Outcome != nil {
		r.options.Outcome(err)
	}
	r.log(ctx, record, err)
	if err != nil && !errorx.IsOfType(err, duty.ErrRefused) {
		return false
	}
	r.unsent = false
	if err == nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.reported, r.reportedAt = record, r.options.Now()
	}
	return true
}

// log records the outcome of sending a report.
func (r *Reporter) log(ctx context.Context, record *Record, err error) {
	attrs := []slog.Attr{slog.Int64("window", int64(record.Window)), slog.Int64("requests", record.Requests())}
	if err == nil {
		event.UsageReported.Log(ctx, r.options.Logger, attrs...)
		return
	}
	attrs = append(attrs, slog.String("cause", err.Error()))
	switch {
	case errorx.IsOfType(err, duty.ErrRefused):
		event.UsageRefused.Log(ctx, r.options.Logger, attrs...)
	case errorx.IsOfType(err, duty.ErrSuperseded):
		event.DutySuperseded.Log(ctx, r.options.Logger, attrs...)
	default:
		event.UsageNotReported.Log(ctx, r.options.Logger, attrs...)
	}
}

// Reported returns the last report that the management interface confirmed to this holder,
// and how long ago. It returns nil if there is none.
func (r *Reporter) Reported() (*Record, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reported == nil {
		return nil, 0
	}
	return r.reported, r.options.Now() - r.reportedAt
}
