package rollout

import (
	"context"
	"encoding/json"
	"log/slog"

	"github.com/joomcode/errorx"

	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/keyvalue"
)

// acceptAttempts is the maximum number of compare-and-swap attempts of one call.
// Attempts fail when trainers race and when the store's response is lost.
const acceptAttempts = 5

// Control is the part of the entry's control plane that rollouts use.
type Control interface {
	// SetVersions raises the newest version and the floor of a model in this entry
	// and in the updates that it sends to peers.
	SetVersions(ctx context.Context, model string, newest, floor int64)
	// SetUnready stops an endpoint from receiving new work, or allows it again.
	SetUnready(ctx context.Context, endpoint string, unready bool)
}

// Acceptor accepts rollouts from trainers. All fields except Spread are required.
type Acceptor struct {
	Store   keyvalue.Store
	Control Control
	Logger  *slog.Logger
	// Spread sends an accepted rollout to all live entries and returns when they
	// have applied it, so that no entry returns an answer below the floor afterwards.
	// If nil, entries receive the rollout through the periodic exchange only.
	Spread func(ctx context.Context, record Record) error
}

// Accept validates and stores a rollout, and then applies it at this entry and at all
// others. Accepting the same rollout again does not change the record. Accept fails
// with ErrSuperseded if a newer version has been accepted, with ErrUnavailable if
// nothing was written, and with ErrUnknown if the rollout may have been accepted.
func (a *Acceptor) Accept(ctx context.Context, next Record) (Record, error) {
	if err := next.validate(); err != nil {
		return Record{}, err
	}
	accepted, err := a.write(ctx, next)
	if err != nil {
		return accepted, err
	}
	event.RolloutAccepted.Log(ctx, a.Logger, slog.String("model", next.Model), slog.Int64("version", accepted.Version), slog.Int64("floor", accepted.Floor))
	a.Control.SetVersions(ctx, accepted.Model, accepted.Version, accepted.Floor)
	if a.Spread != nil {
		if err := a.Spread(ctx, accepted); err != nil {
			return accepted, ErrUnknown.Wrap(err, "the rollout was accepted, but not all entries have applied it; send it again")
		}
	}
	return accepted, nil
}

// write stores next as the model's record. After a failed attempt it reads the
// record again, which shows whether a write took effect whose response was lost.
func (a *Acceptor) write(ctx context.Context, next Record) (Record, error) {
	uncertain := false
	var err error
	for range acceptAttempts {
		var current Record
		var revision int64
		current, revision, err = a.read(ctx, next.Model)
		if err != nil {
			break
		}
		merged, refused := current.merge(next)
		if refused != nil || merged == current {
			return merged, refused
		}
		_, err = a.Store.CompareAndSwap(ctx, recordPrefix+next.Model, revision, encode(merged), 0)
		if err == nil {
			return merged, nil
		}
		uncertain = uncertain || errorx.IsOfType(err, keyvalue.ErrOutcomeUnknown)
		if errorx.IsOfType(err, keyvalue.ErrUnavailable) {
			break
		}
	}
	if uncertain {
		return Record{}, ErrUnknown.Wrap(err, "the rollout may have been accepted; send it again")
	}
	return Record{}, ErrUnavailable.Wrap(err, "the rollout was not accepted")
}

// read returns a model's record and its revision, or an empty record and revision
// zero if the model has none.
func (a *Acceptor) read(ctx context.Context, model string) (Record, int64, error) {
	return readRecord(ctx, a.Store, model)
}

func readRecord(ctx context.Context, store keyvalue.Store, model string) (Record, int64, error) {
	value, err := store.Get(ctx, recordPrefix+model)
	if errorx.IsOfType(err, keyvalue.ErrNotFound) {
		return Record{Model: model}, 0, nil
	}
	if err != nil {
		return Record{}, 0, err
	}
	var record Record
	if err := json.Unmarshal(value.Data, &record); err != nil {
		return Record{}, 0, ErrUnavailable.Wrap(err, "malformed record of %s", model)
	}
	return record, value.Revision, nil
}

// Load passes all accepted rollouts to the control plane. An entry calls it at
// startup; if the store is unavailable, the entry learns the rollouts from its peers.
func (a *Acceptor) Load(ctx context.Context) error {
	values, _, err := a.Store.List(ctx, recordPrefix)
	if err != nil {
		return ErrUnavailable.Wrap(err, "accepted rollouts could not be read")
	}
	for _, value := range values {
		var record Record
		if err := json.Unmarshal(value.Data, &record); err != nil {
			return ErrUnavailable.Wrap(err, "malformed record %s", value.Key)
		}
		a.Control.SetVersions(ctx, record.Model, record.Version, record.Floor)
	}
	return nil
}
