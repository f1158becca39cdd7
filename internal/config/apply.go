package config

import (
	"context"
	"log/slog"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/class"
	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/keyvalue"
	"github.com/joomcode/errorx"
)

// AnyRevision as Change.Expect selects the revision that is current when Apply
// first reads the record.
const AnyRevision = -1

// Change is an operator's replacement of the whole document.
type Change struct {
	ID  ChangeID
	Who string
	// Expect is the revision that the change is based on, or AnyRevision.
	Expect   int64
	Document *class.Document
}

// Result is an accepted change.
type Result struct {
	Record *Record
	Entry  Entry
	// Repeated reports whether the change had already been accepted by an earlier call.
	Repeated bool
}

// Options configure a Store. Zero values select the defaults.
type Options struct {
	// Now is the clock; time.Now by default.
	Now func() time.Time
	// BackoffMin and BackoffMax bound the pause after a failed call; 50 ms and
	// 2 s by default.
	BackoffMin, BackoffMax time.Duration
	// WatchWait is how long a watch call waits for changes; 20 s by default.
	WatchWait time.Duration
}

// Store reads and changes the class document in the key-value service.
type Store struct {
	keys    keyvalue.Store
	options Options
	logger  *slog.Logger
}

// NewStore returns a Store on the platform's key-value service.
func NewStore(store keyvalue.Store, options Options, logger *slog.Logger) *Store {
	return &Store{keys: store, options: options.withDefaults(), logger: logger}
}

// Load reads the record. It returns an empty document if none is stored, and
// fails with ErrUnavailable or ErrCorrupt.
func (s *Store) Load(ctx context.Context) (*Record, error) {
	record, _, err := s.read(ctx)
	return record, err
}

func (s *Store) read(ctx context.Context) (*Record, int64, error) {
	value, err := s.keys.Get(ctx, Key)
	if errorx.IsOfType(err, keyvalue.ErrNotFound) {
		return &Record{Document: &class.Document{}}, 0, nil
	}
	if err != nil {
		return nil, 0, ErrUnavailable.New("read the class document: %v", err)
	}
	record, err := Decode(value.Data)
	return record, value.Revision, err
}

// Apply writes a change at most once, even if responses are lost. It retries
// until the outcome is known or the context ends. The change was accepted only
// if the error is nil; ErrUnknown means that it may have been accepted; with any
// other error it was not accepted and never will be.
func (s *Store) Apply(ctx context.Context, change Change) (Result, error) {
	if err := validate(change); err != nil {
		return Result{}, err
	}
	a := applyState{store: s, change: change, pause: s.options.backoff()}
	for {
		result, done, err := a.attempt(ctx)
		if done {
			return result, err
		}
		if !a.pause.sleep(ctx) {
			return Result{}, a.timeoutError(err)
		}
	}
}

func validate(change Change) error {
	switch {
	case change.ID == "" || len(change.ID) > maxTextBytes:
		return ErrInvalid.New("a change identifier must have 1 to %d bytes", maxTextBytes)
	case len(change.Who) > maxTextBytes:
		return ErrInvalid.New("an operator's name must have at most %d bytes", maxTextBytes)
	case change.Document == nil || len(change.Document.Classes) == 0:
		return ErrInvalid.New("the document has no classes")
	case change.Expect < AnyRevision:
		return ErrInvalid.New("a revision must not be negative")
	}
	return nil
}

// applyState is the state of one call of Apply.
type applyState struct {
	store  *Store
	change Change
	pause  *backoff
	// maybeWritten is set once the outcome of a write is unknown.
	maybeWritten bool
}

// attempt looks for the change in the history and writes it if it is not there.
// It returns true once the outcome of the change is certain.
func (a *applyState) attempt(ctx context.Context) (Result, bool, error) {
	record, storeRevision, err := a.store.read(ctx)
	if err != nil {
		return Result{}, !a.maybeWritten, err
	}
	if entry, accepted := record.find(a.change.ID); accepted {
		return a.acceptedEarlier(record, entry)
	}
	if a.change.Expect == AnyRevision {
		a.change.Expect = record.Document.Revision
	}
	if record.Document.Revision != a.change.Expect {
		return Result{}, true, a.rejection(record)
	}
	return a.write(ctx, record, storeRevision)
}

func (a *applyState) acceptedEarlier(record *Record, entry Entry) (Result, bool, error) {
	if entry.Digest != digest(a.change.Document) {
		return Result{}, true, ErrInvalid.New("change identifier %q was used for another document at revision %d", a.change.ID, entry.Revision)
	}
	return Result{Record: record, Entry: entry, Repeated: true}, true, nil
}

// rejection returns an ErrConflict, or an ErrUnknown if the history is too short to
// rule out that this change was accepted before the oldest change in the history.
func (a *applyState) rejection(record *Record) error {
	if !record.coversChangesAfter(a.change.Expect) && record.Document.Revision > a.change.Expect {
		return ErrUnknown.New("the history no longer covers all changes since revision %d", a.change.Expect)
	}
	conflict := Conflict{
		Expected:      a.change.Expect,
		Current:       record.Document.Revision,
		Yours:         class.Diff(record.Document, a.change.Document),
		AcceptedSince: record.changesAfter(a.change.Expect),
	}
	return ErrConflict.New("the document is at revision %d, the change is based on %d", conflict.Current, conflict.Expected).
		WithProperty(propConflict, conflict)
}

func (a *applyState) write(ctx context.Context, record *Record, storeRevision int64) (Result, bool, error) {
	next := record.withChange(a.change, a.store.options.Now())
	_, err := a.store.keys.CompareAndSwap(ctx, Key, storeRevision, Encode(next), 0)
	switch {
	case err == nil:
		return Result{Record: next, Entry: next.History[len(next.History)-1]}, true, nil
	case errorx.IsOfType(err, keyvalue.ErrConflict):
		return Result{}, false, err // the next attempt reads the conflicting change
	case errorx.IsOfType(err, keyvalue.ErrUnavailable):
		return Result{}, !a.maybeWritten, ErrUnavailable.New("write the class document: %v", err)
	default:
		a.maybeWritten = true
		event.ConfigOutcomeUnknown.Log(ctx, a.store.logger, slog.String("change", string(a.change.ID)), slog.Any("error", err))
		return Result{}, false, err
	}
}

// timeoutError returns the error for a context that ended before the outcome was
// known.
func (a *applyState) timeoutError(err error) error {
	if a.maybeWritten {
		return ErrUnknown.New("change %q may have been accepted: %v", a.change.ID, err)
	}
	return ErrUnavailable.New("change %q was not accepted: %v", a.change.ID, err)
}
