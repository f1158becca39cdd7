package metastore

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/joomcode/errorx"

	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/wait"
)

// Defaults of a Follower.
const (
	// watchWait is how long one watch waits for a change. When the store drops
	// its history, a watch that waits may stay silent: only the next one is told.
	watchWait = 2 * time.Second
	// watchSlack is the time beyond its wait after which a watch is given up.
	watchSlack  = 1500 * time.Millisecond
	listTimeout = 2 * time.Second
	// Failed calls are repeated after a random time of up to followBackoff,
	// which doubles up to followBackoffMost.
	followBackoff     = 50 * time.Millisecond
	followBackoffMost = 400 * time.Millisecond
	// followBackoffNew bounds it while nothing is known at all.
	followBackoffNew = 150 * time.Millisecond
)

// Follower keeps a consumer up to date with all keys under a prefix. Its
// methods run in the goroutine of Run.
type Follower struct {
	Store  Store
	Prefix string
	// Changed is told of each new or changed key, and of each removed one.
	Changed func(Event)
	// Settled is called after each round of changes; the first call tells that
	// the whole range was read.
	Settled func()
	// Listed is called when the whole range was read anew, with its revision: what
	// came and went since the one before was not told. It may be nil.
	Listed func(revision int64)
	// Confirmed is called after each answer of the store with the revision up to
	// which all changes are known; it may be nil.
	Confirmed func(position int64)
	// Lost is called when the store is first not reached, and Regained when it
	// answers again. Both may be nil.
	Lost     func(error)
	Regained func()
	// Wait is how long one watch waits for a change; zero takes the default.
	Wait time.Duration
	// Gather is how long changes are gathered before the next watch; zero is not.
	Gather time.Duration
	Logger *slog.Logger

	known map[string]int64
	// position is the revision up to which changes were seen.
	position int64
	// reread asks for a new reading of the range.
	reread  bool
	failing bool
	backoff time.Duration
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	f.known = map[string]int64{}
	for ctx.Err() == nil {
		if err := f.round(ctx); err != nil {
			f.failed(ctx, err)
			continue
		}
		f.answered(ctx)
	}
	return nil
}

func (f *Follower) round(ctx context.Context) error {
	if f.position == 0 || f.reread {
		return f.list(ctx)
	}
	return f.watch(ctx)
}

func (f *Follower) failed(ctx context.Context, err error) {
	if errorx.IsOfType(err, ErrCompacted) {
		event.HistoryGone.Log(ctx, f.Logger, slog.String("prefix", f.Prefix), slog.Int64("position", f.position))
		f.reread = true
		return
	}
	if ctx.Err() != nil {
		return
	}
	if !f.failing {
		f.failing = true
		event.StoreLost.Log(ctx, f.Logger, slog.String("prefix", f.Prefix), slog.String("cause", err.Error()))
		if f.Lost != nil {
			f.Lost(err)
		}
	}
	most := followBackoffMost
	if f.position == 0 {
		most = followBackoffNew
	}
	f.backoff = min(max(2*f.backoff, followBackoff), most)
	wait.For(ctx, f.backoff/2+rand.N(f.backoff))
}

func (f *Follower) answered(ctx context.Context) {
	f.backoff = 0
	if f.Confirmed != nil {
		f.Confirmed(f.position)
	}
	if !f.failing {
		return
	}
	f.failing = false
	event.StoreRegained.Log(ctx, f.Logger, slog.String("prefix", f.Prefix))
	if f.Regained != nil {
		f.Regained()
	}
}

// reader returns how the range is read: late the first time, since the watch from
// the page's revision brings what it lacks.
func (f *Follower) reader() func(ctx context.Context, prefix, after string) (Page, error) {
	if f.position > 0 || f.reread {
		return f.Store.Range
	}
	return func(ctx context.Context, prefix, after string) (Page, error) {
		return RangeStale(ctx, f.Store, prefix, after)
	}
}

// list reads the whole range again and reconciles by revision: a page that is
// older than what a watch told brings nothing back.
func (f *Follower) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	items, revision, err := listAll(ctx, f.reader(), f.Prefix)
	if err != nil {
		return err
	}
	if revision < f.position {
		return ErrUnavailable.New("keys as of revision %d, known up to %d", revision, f.position)
	}
	present := make(map[string]struct{}, len(items))
	for _, item := range items {
		present[item.Key] = struct{}{}
		f.apply(Event{Item: item})
	}
	for key, known := range f.known {
		if _, ok := present[key]; !ok && known <= revision {
			f.apply(Event{Item: Item{Key: key, Revision: revision}, Deleted: true})
		}
	}
	f.position, f.reread = revision, false
	if f.Listed != nil {
		f.Listed(revision)
	}
	event.KeysRead.Log(ctx, f.Logger, slog.String("prefix", f.Prefix), slog.Int("keys", len(items)), slog.Int64("revision", revision))
	f.Settled()
	return nil
}

func (f *Follower) watch(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, f.wait()+watchSlack)
	defer cancel()
	events, revision, err := f.Store.Watch(callCtx, f.Prefix, f.position, f.wait())
	if err != nil {
		return err
	}
	for _, e := range events {
		f.apply(e)
	}
	f.position = max(f.position, revision)
	if len(events) > 0 {
		f.Settled()
		wait.For(ctx, f.Gather)
	}
	return nil
}

// wait is short while the store is failing, so that its return is seen.
func (f *Follower) wait() time.Duration {
	if f.failing {
		return time.Millisecond
	}
	if f.Wait > 0 {
		return f.Wait
	}
	return watchWait
}

func (f *Follower) apply(e Event) {
	if e.Revision <= f.known[e.Key] && f.known[e.Key] != 0 {
		return
	}
	if e.Deleted {
		delete(f.known, e.Key)
	} else {
		f.known[e.Key] = e.Revision
	}
	f.Changed(e)
}
