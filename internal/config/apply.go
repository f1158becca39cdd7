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

// AnyRevision as Change.Expect stands for whatever revision is current when
// the change is first read against it.
const AnyRevision = -1

// Change is one operator's change of the whole document.
type Change struct {
	ID  ChangeID
	Who string
	// Expect is the revision that the change was made from, or AnyRevision.
	Expect   int64
	Document *class.Document
}

// Result is an accepted change.
type Result struct {
	Record *Record
	Entry  Entry
	// Repeated: an earlier call had it accepted already.
	Repeated bool
}

// Options of a Store. Zero values take the defaults.
type Options struct {
	// Now is the clock; time.Now by default.
	Now func() time.Time
	// BackoffMin and BackoffMax bound the pause after a failed call.
	BackoffMin, BackoffMax time.Duration
	// WatchWait is how long a watch waits, 20 s by default.
	WatchWait time.Duration
}

// Store reads and changes the class document.
type Store struct {
	keys    keyvalue.Store
	options Options
	logger  *slog.Logger
}

// NewStore returns a Store on the platform's service.
func NewStore(store keyvalue.Store, options Options, logger *slog.Logger) *Store {
	return &Store{keys: store, options: options.withDefaults(), logger: logger}
}

// Load reads the record. An empty service gives the empty document. It fails
// with ErrUnavailable or ErrCorrupt.
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

// Apply has one change accepted at most once, also when replies are lost. It
// goes on until the outcome is known or the context ends. Only a nil error
// means accepted; ErrUnknown means that it may have been; with every other
// error it was not accepted and will not be.
func (s *Store) Apply(ctx context.Context, change Change) (Result, error) {
	if err := check(change); err != nil {
		return Result{}, err
	}
	a := application{store: s, change: change, pause: s.options.backoff()}
	for {
		result, done, err := a.attempt(ctx)
		if done {
			return result, err
		}
		if !a.pause.wait(ctx) {
			return Result{}, a.undecided(err)
		}
	}
}

func check(change Change) error {
	switch {
	case change.ID == "" || len(change.ID) > maxTextBytes:
		return ErrInvalid.New("a change identifier has 1 to %d bytes", maxTextBytes)
	case len(change.Who) > maxTextBytes:
		return ErrInvalid.New("an operator's name has at most %d bytes", maxTextBytes)
	case change.Document == nil || len(change.Document.Classes) == 0:
		return ErrInvalid.New("the document has no classes")
	case change.Expect < AnyRevision:
		return ErrInvalid.New("a revision is not negative")
	}
	return nil
}

// application is one change on its way into the service.
type application struct {
	store  *Store
	change Change
	pause  *backoff
	// sent: a write may have taken effect without our knowing.
	sent bool
}

// attempt looks for the change and, if it is not there, writes it. It is done
// when the outcome is certain.
func (a *application) attempt(ctx context.Context) (Result, bool, error) {
	record, storeRevision, err := a.store.read(ctx)
	if err != nil {
		return Result{}, !a.sent, err
	}
	if entry, accepted := record.find(a.change.ID); accepted {
		return a.found(record, entry)
	}
	if a.change.Expect == AnyRevision {
		a.change.Expect = record.Document.Revision
	}
	if record.Document.Revision != a.change.Expect {
		return Result{}, true, a.lost(record)
	}
	return a.write(ctx, record, storeRevision)
}

func (a *application) found(record *Record, entry Entry) (Result, bool, error) {
	if entry.Digest != digest(a.change.Document) {
		return Result{}, true, ErrInvalid.New("change identifier %q was used for another document at revision %d", a.change.ID, entry.Revision)
	}
	return Result{Record: record, Entry: entry, Repeated: true}, true, nil
}

// lost tells a conflict, unless the history is too short to be sure that the
// change itself was not accepted before the ones that it shows.
func (a *application) lost(record *Record) error {
	if !record.reaches(a.change.Expect) && record.Document.Revision > a.change.Expect {
		return ErrUnknown.New("the history no longer reaches back to revision %d", a.change.Expect)
	}
	conflict := Conflict{
		Expected: a.change.Expect,
		Current:  record.Document.Revision,
		Yours:    class.Diff(record.Document, a.change.Document),
		Won:      record.since(a.change.Expect),
	}
	return ErrConflict.New("the document is at revision %d, the change was made from %d", conflict.Current, conflict.Expected).
		WithProperty(propConflict, conflict)
}

func (a *application) write(ctx context.Context, record *Record, storeRevision int64) (Result, bool, error) {
	next := record.with(a.change, a.store.options.Now())
	_, err := a.store.keys.CompareAndSwap(ctx, Key, storeRevision, Encode(next), 0)
	switch {
	case err == nil:
		return Result{Record: next, Entry: next.History[len(next.History)-1]}, true, nil
	case errorx.IsOfType(err, keyvalue.ErrConflict):
		return Result{}, false, err // the next attempt reads who won
	case errorx.IsOfType(err, keyvalue.ErrUnavailable):
		return Result{}, !a.sent, ErrUnavailable.New("write the class document: %v", err)
	default:
		a.sent = true
		event.ConfigOutcomeUnknown.Log(ctx, a.store.logger, slog.String("change", string(a.change.ID)), slog.Any("error", err))
		return Result{}, false, err
	}
}

// undecided is the error when time ran out.
func (a *application) undecided(err error) error {
	if a.sent {
		return ErrUnknown.New("change %q may have been accepted: %v", a.change.ID, err)
	}
	return ErrUnavailable.New("change %q was not accepted: %v", a.change.ID, err)
}
