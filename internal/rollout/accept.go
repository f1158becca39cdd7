package rollout

import (
	"context"
	"encoding/json"
	"log/slog"

	"github.com/joomcode/errorx"

	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/keyvalue"
)

// acceptAttempts bounds the compare-and-swaps of one call, against racing
// trainers and lost replies.
const acceptAttempts = 5

// Control is the control side of the entry.
type Control interface {
	// SetVersions raises the newest version and the floor of a model here and
	// lets peers know.
	SetVersions(ctx context.Context, model string, newest, floor int64)
	// SetUnready keeps an endpoint from new work, or lets it go on.
	SetUnready(ctx context.Context, endpoint string, unready bool)
}

// Desk takes rollouts in. All fields but Spread are required.
type Desk struct {
	Store   keyvalue.Store
	Control Control
	Logger  *slog.Logger
	// Spread tells all live entries of an accepted rollout and returns when
	// they know, so that none answers below the floor afterwards; nil leaves it
	// to the exchange.
	Spread func(ctx context.Context, record Record) error
}

// Accept takes a rollout in, or finds that it was. ErrSuperseded when a newer
// one is accepted already; ErrUnavailable when nothing was written; ErrUnknown
// when it may have been accepted.
func (d *Desk) Accept(ctx context.Context, next Record) (Record, error) {
	if err := next.validate(); err != nil {
		return Record{}, err
	}
	accepted, err := d.write(ctx, next)
	if err != nil {
		return accepted, err
	}
	event.RolloutAccepted.Log(ctx, d.Logger, slog.String("model", next.Model), slog.Int64("version", accepted.Version), slog.Int64("floor", accepted.Floor))
	d.Control.SetVersions(ctx, accepted.Model, accepted.Version, accepted.Floor)
	if d.Spread != nil {
		if err := d.Spread(ctx, accepted); err != nil {
			return accepted, ErrUnknown.Wrap(err, "accepted, but not known everywhere; send it again")
		}
	}
	return accepted, nil
}

// write makes next the record, reading it back after a lost reply.
func (d *Desk) write(ctx context.Context, next Record) (Record, error) {
	uncertain := false
	var err error
	for range acceptAttempts {
		var current Record
		var revision int64
		current, revision, err = d.read(ctx, next.Model)
		if err != nil {
			break
		}
		merged, refused := current.after(next)
		if refused != nil || merged == current {
			return merged, refused
		}
		_, err = d.Store.CompareAndSwap(ctx, recordPrefix+next.Model, revision, encode(merged), 0)
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

// read returns a model's record and its revision, or zeros when there is none.
func (d *Desk) read(ctx context.Context, model string) (Record, int64, error) {
	return readRecord(ctx, d.Store, model)
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

// Load tells the control side of all accepted rollouts. An entry calls it when
// it starts; in an outage peers tell it instead.
func (d *Desk) Load(ctx context.Context) error {
	values, _, err := d.Store.List(ctx, recordPrefix)
	if err != nil {
		return ErrUnavailable.Wrap(err, "accepted rollouts were not read")
	}
	for _, value := range values {
		var record Record
		if err := json.Unmarshal(value.Data, &record); err != nil {
			return ErrUnavailable.Wrap(err, "malformed record %s", value.Key)
		}
		d.Control.SetVersions(ctx, record.Model, record.Version, record.Floor)
	}
	return nil
}
