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

// awaitOthers says that this domain is staged and waits until all are, so that
// all replicas change within seconds. It does not wait for ever.
func (p *pass) awaitOthers(ctx context.Context) error {
	if p.skipsWait() {
		return nil
	}
	p.log(ctx, event.RolloutStaged)
	waitCtx, cancel := context.WithTimeout(ctx, p.options.Patience)
	defer cancel()
	for {
		err := p.meet(waitCtx)
		if err == nil || errorx.IsOfType(err, errLost) {
			return err
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if waitCtx.Err() != nil {
			p.log(ctx, event.RolloutImpatient)
			return nil
		}
		p.log(ctx, event.RolloutStoreBad, slog.String("error", err.Error()))
		wait.For(waitCtx, p.options.Interval)
	}
}

// skipsWait reports whether this domain has activated the version before: the
// pass mends single replicas.
func (p *pass) skipsWait() bool {
	return len(p.left(p.unit, p.version, p.replicas)) < len(p.replicas)
}

// meet writes this domain's mark and watches the others'.
func (p *pass) meet(ctx context.Context) error {
	if err := p.writeMark(ctx); err != nil {
		return err
	}
	prefix := readyPrefix + p.unit.model + "/"
	values, revision, err := p.options.Store.List(ctx, prefix)
	if err != nil {
		return err
	}
	marks := map[string]int64{}
	noteMarks(marks, prefix, values)
	for !p.allReady(marks) {
		var changes []keyvalue.Change
		changes, revision, err = p.options.Store.Watch(ctx, prefix, revision, readyWait)
		if err != nil {
			return err
		}
		for _, change := range changes {
			noteMarks(marks, prefix, []keyvalue.Value{change.Value})
		}
	}
	return nil
}

// writeMark says that this domain is staged, unless a later owner said more.
func (p *pass) writeMark(ctx context.Context) error {
	key := readyPrefix + p.unit.model + "/" + p.unit.domain
	value, err := p.options.Store.Get(ctx, key)
	if err != nil && !errorx.IsOfType(err, keyvalue.ErrNotFound) {
		return err
	}
	var standing mark
	if len(value.Data) > 0 && json.Unmarshal(value.Data, &standing) == nil {
		if standing.Epoch > p.tenure.Epoch {
			return errLost.New("a later owner said that the domain is ready")
		}
		if standing.Version >= p.version {
			return nil
		}
	}
	_, err = p.options.Store.CompareAndSwap(ctx, key, value.Revision, encode(mark{Version: p.version, Epoch: p.tenure.Epoch}), 0)
	return err
}

// noteMarks takes the versions that domains hold ready out of values.
func noteMarks(marks map[string]int64, prefix string, values []keyvalue.Value) {
	for _, value := range values {
		var m mark
		if json.Unmarshal(value.Data, &m) == nil {
			domain := strings.TrimPrefix(value.Key, prefix)
			marks[domain] = max(marks[domain], m.Version)
		}
	}
}

// allReady reports whether each domain that has replicas now is ready.
func (p *pass) allReady(marks map[string]int64) bool {
	for domain := range byDomain(p.options.Replicas(p.unit.model)) {
		if marks[domain] < p.version {
			return false
		}
	}
	return true
}
