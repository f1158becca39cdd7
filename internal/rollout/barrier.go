package rollout

import (
	"context"
	"encoding/json"
	"log/slog"
	"strings"

	"github.com/joomcode/errorx"

	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/keyvalue"
	"github.com/comfreyfront/comfreyfront/internal/wait"
)

// awaitOthers announces that this domain is staged and waits until all domains are,
// so that all replicas switch within seconds of each other. After the wait limit it
// returns nil and the pass activates without the other domains.
func (p *pass) awaitOthers(ctx context.Context) error {
	if p.skipsWait() {
		return nil
	}
	p.log(ctx, event.RolloutStaged)
	waitCtx, cancel := context.WithTimeout(ctx, p.options.WaitLimit)
	defer cancel()
	for {
		err := p.awaitMarks(waitCtx)
		if err == nil || errorx.IsOfType(err, errLost) {
			return err
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if waitCtx.Err() != nil {
			p.log(ctx, event.RolloutBarrierExpired)
			return nil
		}
		p.log(ctx, event.RolloutStoreUnavailable, slog.String("error", err.Error()))
		wait.For(waitCtx, p.options.Interval)
	}
}

// skipsWait reports whether some replicas of this domain have already been verified at the
// version. The domain was then activated before, and the pass only updates individual
// replicas, which need not wait for other domains.
func (p *pass) skipsWait() bool {
	return len(p.remaining(p.unit, p.version, p.replicas)) < len(p.replicas)
}

// awaitMarks writes this domain's mark and watches the marks of the others until all
// domains are ready.
func (p *pass) awaitMarks(ctx context.Context) error {
	if err := p.writeMark(ctx); err != nil {
		return err
	}
	prefix := readyPrefix + p.unit.model + "/"
	values, revision, err := p.options.Store.List(ctx, prefix)
	if err != nil {
		return err
	}
	marks := map[string]int64{}
	recordMarks(marks, prefix, values)
	for !p.allReady(marks) {
		var changes []keyvalue.Change
		changes, revision, err = p.options.Store.Watch(ctx, prefix, revision, readyWait)
		if err != nil {
			return err
		}
		for _, change := range changes {
			recordMarks(marks, prefix, []keyvalue.Value{change.Value})
		}
	}
	return nil
}

// writeMark stores the mark that this domain is staged, unless the stored mark has the
// same or a newer version. It fails with errLost if a later owner wrote the stored mark.
func (p *pass) writeMark(ctx context.Context) error {
	key := readyPrefix + p.unit.model + "/" + p.unit.domain
	value, err := p.options.Store.Get(ctx, key)
	if err != nil && !errorx.IsOfType(err, keyvalue.ErrNotFound) {
		return err
	}
	var stored mark
	if len(value.Data) > 0 && json.Unmarshal(value.Data, &stored) == nil {
		if stored.Epoch > p.tenure.Epoch {
			return errLost.New("a later owner marked the domain as ready")
		}
		if stored.Version >= p.version {
			return nil
		}
	}
	_, err = p.options.Store.CompareAndSwap(ctx, key, value.Revision, encode(mark{Version: p.version, Epoch: p.tenure.Epoch}), 0)
	return err
}

// recordMarks records in marks, by domain, the versions that the marks in values
// report as staged.
func recordMarks(marks map[string]int64, prefix string, values []keyvalue.Value) {
	for _, value := range values {
		var m mark
		if json.Unmarshal(value.Data, &m) == nil {
			domain := strings.TrimPrefix(value.Key, prefix)
			marks[domain] = max(marks[domain], m.Version)
		}
	}
}

// allReady reports whether each domain that currently has replicas is ready.
func (p *pass) allReady(marks map[string]int64) bool {
	for domain := range byDomain(p.options.Replicas(p.unit.model)) {
		if marks[domain] < p.version {
			return false
		}
	}
	return true
}
