package claim

import (
	"context"
	"log/slog"
	"time"

	"github.com/joomcode/errorx"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"github.com/comfreyfront/comfreyfront/internal/claim/claimpb"
	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/keyvalue"
)

// commitBurst is the number of writes that may follow each other at once after
// a pause, so that a quiet partition answers without waiting.
const commitBurst = 4

// rowOverhead is the size in bytes of a row's tag and length in a group.
const rowOverhead = 8

// run commits groups until ctx ends, the partition is drained or another owner
// takes it over. While one write is in flight the next group forms.
func (p *partition) run(ctx context.Context) {
	defer p.close(ctx)
	pace := rate.NewLimiter(rate.Every(p.options.CommitInterval), commitBurst)
	timer := time.NewTimer(p.options.Window)
	defer timer.Stop()
	for {
		now := time.Now()
		delay, work := p.dueIn(now, untilToken(pace, now))
		if !work && p.isDraining() {
			return
		}
		if work && delay <= 0 {
			pace.AllowN(now, 1)
			if err := p.commit(ctx); err != nil {
				return
			}
			continue
		}
		if !work {
			delay = p.options.sweepEvery()
		}
		timer.Reset(delay)
		select {
		case <-ctx.Done():
			return
		case <-p.wake:
		case <-timer.C:
			p.tidy(ctx)
		}
	}
}

// untilToken returns how long the limiter holds the next write back.
func untilToken(limiter *rate.Limiter, now time.Time) time.Duration {
	missing := 1 - limiter.TokensAt(now)
	return time.Duration(missing / float64(limiter.Limit()) * float64(time.Second))
}

// dueIn returns how long to wait before the next write, and whether there is
// anything to write. pace is how long the limit on writes asks to wait.
func (p *partition) dueIn(now time.Time, pace time.Duration) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.forming) == 0 {
		return 0, false
	}
	if p.draining {
		return 0, true
	}
	if p.formingUrgent > 0 || len(p.forming) >= p.options.QueueLimit {
		return pace, true
	}
	return max(pace, p.firstForming.Add(p.options.SettleDelay).Sub(now)), true
}

func (p *partition) isDraining() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.draining
}

// commit writes the next group and tells those who wait for it. It returns an
// error when the partition must end.
func (p *partition) commit(ctx context.Context) error {
	rows := p.take()
	group := p.groupOf(rows)
	encoded, err := proto.Marshal(group)
	if err != nil {
		return ErrCorrupt.Wrap(err, "group %d", group.GetSequence())
	}
	started := time.Now()
	if err := p.writeThrough(ctx, encoded); err != nil {
		return err
	}
	p.metrics.observeGroup(len(rows), time.Since(started))
	p.finish(rows)
	p.segments.add(group)
	p.tidy(ctx)
	return nil
}

// take removes the rows of the next group from those that are forming.
func (p *partition) take() []*pendingRow {
	p.mu.Lock()
	defer p.mu.Unlock()
	size, taken := 0, 0
	for _, pending := range p.forming {
		size += proto.Size(pending.logged) + rowOverhead
		if size > maxGroupBytes {
			break
		}
		if pending.urgent() {
			p.formingUrgent--
		}
		taken++
	}
	rows := p.forming[:taken:taken]
	p.forming = append([]*pendingRow(nil), p.forming[taken:]...)
	p.firstForming = time.Now()
	return rows
}

func (p *partition) groupOf(rows []*pendingRow) *claimpb.Group {
	group := &claimpb.Group{
		Epoch: p.epoch, Sequence: p.log.next, Writer: p.log.writer,
		SegmentsFrom: p.segments.from, SegmentsTo: p.segments.to,
		Rows: make([]*claimpb.Row, len(rows)),
	}
	for i, pending := range rows {
		group.Rows[i] = pending.logged
	}
	return group
}

// writeThrough writes the group again and again until it is known to stand. As
// soon as it is in doubt, all that wait are told that they did not get a claim.
func (p *partition) writeThrough(ctx context.Context, encoded []byte) error {
	err := p.tryWrite(ctx, encoded)
	if errorx.IsOfType(err, keyvalue.ErrOutcomeUnknown) {
		err = p.tryWrite(ctx, encoded)
	}
	for err != nil {
		if errorx.IsOfType(err, ErrFenced) || errorx.IsOfType(err, ErrCorrupt) {
			return err
		}
		p.stall(ctx, err)
		select {
		case <-ctx.Done():
			return ErrUnavailable.Wrap(ctx.Err(), "partition %d ends", p.number)
		case <-time.After(p.options.RetryInterval):
		}
		err = p.tryWrite(ctx, encoded)
	}
	p.resume(ctx)
	return nil
}

func (p *partition) tryWrite(ctx context.Context, encoded []byte) error {
	if err := p.log.clearSlot(ctx, p.log.next, p.segments); err != nil {
		return err
	}
	return p.log.write(ctx, encoded)
}

// stall refuses claims until a write succeeds.
func (p *partition) stall(ctx context.Context, cause error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.stalled {
		event.PartitionStalled.Log(ctx, p.logger, slog.Int("partition", int(p.number)), slog.String("error", cause.Error()))
	}
	p.stalled = true
	p.dropFormingClaims()
	for _, pending := range p.undecided {
		pending.withdrawn = true
		pending.resolve(ErrUnavailable.Wrap(cause, "claim not durable"))
	}
}

// dropFormingClaims takes out the claims of which nothing was written.
func (p *partition) dropFormingClaims() {
	kept := p.forming[:0]
	for _, pending := range p.forming {
		if !pending.claim {
			kept = append(kept, pending)
			continue
		}
		pending.resolve(ErrUnavailable.New("partition %d cannot write", p.number))
		delete(p.undecided, pending.key)
		p.formingUrgent--
	}
	clear(p.forming[len(kept):])
	p.forming = kept
}

func (p *partition) resume(ctx context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stalled {
		event.PartitionResumed.Log(ctx, p.logger, slog.Int("partition", int(p.number)))
	}
	p.stalled = false
}

// finish takes the rows of a durable group over and tells those who wait.
func (p *partition) finish(rows []*pendingRow) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pending := range rows {
		if !pending.claim {
			pending.resolve(nil)
			continue
		}
		delete(p.undecided, pending.key)
		p.table.set(pending.key, pending.logged)
		if pending.withdrawn {
			pending.resolve(ErrUnavailable.New("claim withdrawn"))
			p.releaseWithdrawn(pending, now)
			continue
		}
		pending.resolve(nil)
	}
}

// releaseWithdrawn frees the key of a durable claim that nobody will run.
func (p *partition) releaseWithdrawn(pending *pendingRow, now time.Time) {
	held, _ := p.table.get(pending.key, now)
	p.enqueueEnding(pending.key, held, Ending{State: NotRun}, now)
}

// resolve tells those who wait; the partition's mutex is held.
func (r *pendingRow) resolve(err error) {
	if r.resolved {
		return
	}
	r.resolved, r.err = true, err
	close(r.done)
}

// tidy writes a segment that is due, removes one that has left the window and
// sweeps a part of the table. What fails is tried again later.
func (p *partition) tidy(ctx context.Context) {
	if segment := p.segments.due(); segment != nil {
		if p.log.writeSegment(ctx, segment) == nil {
			p.segments.written(segment)
		}
	}
	now := time.Now()
	if index, newest, ok := p.segments.oldest(); ok && p.table.expired(newest, now) {
		if p.log.deleteSegment(ctx, index) == nil {
			p.segments.deleted()
		}
	}
	if now.Sub(p.lastSweep) < p.options.sweepEvery() {
		return
	}
	p.lastSweep = now
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.sweep(now)
}

// drain stops taking claims; run ends when all that waits is written.
func (p *partition) drain() {
	p.mu.Lock()
	p.draining = true
	p.mu.Unlock()
	p.signal()
}

// close ends the partition and tells all who still wait.
func (p *partition) close(ctx context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	ended := ErrFenced.New("partition %d is closed", p.number)
	for _, pending := range p.undecided {
		pending.resolve(ended)
	}
	for _, pending := range p.forming {
		pending.resolve(ended)
	}
	p.forming = nil
	event.PartitionClosed.Log(ctx, p.logger, slog.Int("partition", int(p.number)), slog.Int64("epoch", p.epoch))
}
