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

// commitBurst is the number of writes without a delay after a pause, so that a partition
// with little traffic commits immediately.
const commitBurst = 4

// rowOverhead is the size in bytes reserved for a row's tag and length prefix in a group.
const rowOverhead = 8

// run commits groups until ctx ends, the partition is drained or another owner takes over
// the partition. Rows that are enqueued while a write is in flight form the next group.
func (p *partition) run(ctx context.Context) {
	defer p.close(ctx)
	limiter := rate.NewLimiter(rate.Every(p.options.CommitInterval), commitBurst)
	timer := time.NewTimer(p.options.Window)
	defer timer.Stop()
	for {
		now := time.Now()
		delay, work := p.writeDelay(now, tokenDelay(limiter, now))
		if !work && p.isDraining() {
			return
		}
		if work && delay <= 0 {
			limiter.AllowN(now, 1)
			if err := p.commit(ctx); err != nil {
				return
			}
			continue
		}
		if !work {
			delay = p.options.sweepInterval()
		}
		timer.Reset(delay)
		select {
		case <-ctx.Done():
			return
		case <-p.wake:
		case <-timer.C:
			p.maintain(ctx)
		}
	}
}

// tokenDelay returns how long the limiter delays the next write.
func tokenDelay(limiter *rate.Limiter, now time.Time) time.Duration {
	missing := 1 - limiter.TokensAt(now)
	return time.Duration(missing / float64(limiter.Limit()) * float64(time.Second))
}

// writeDelay returns how long to wait before the next write, and whether there is anything
// to write. pace is the delay that the rate limit on writes requires.
func (p *partition) writeDelay(now time.Time, pace time.Duration) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.queue) == 0 {
		return 0, false
	}
	if p.draining {
		return 0, true
	}
	if p.queuedUrgent > 0 || len(p.queue) >= p.options.QueueLimit {
		return pace, true
	}
	return max(pace, p.queuedSince.Add(p.options.SettleDelay).Sub(now)), true
}

func (p *partition) isDraining() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.draining
}

// commit writes the next group and resolves its rows. It returns an error if run must
// stop.
func (p *partition) commit(ctx context.Context) error {
	rows := p.dequeueGroup()
	group := p.groupOf(rows)
	encoded, err := proto.Marshal(group)
	if err != nil {
		return ErrCorrupt.Wrap(err, "group %d", group.GetSequence())
	}
	started := time.Now()
	if err := p.writeUntilDurable(ctx, encoded); err != nil {
		return err
	}
	p.metrics.observeGroup(len(rows), time.Since(started))
	p.complete(rows)
	p.segments.add(group)
	p.maintain(ctx)
	return nil
}

// dequeueGroup removes the rows of the next group from the queue.
func (p *partition) dequeueGroup() []*pendingRow {
	p.mu.Lock()
	defer p.mu.Unlock()
	size, count := 0, 0
	for _, pending := range p.queue {
		size += proto.Size(pending.record) + rowOverhead
		if size > maxGroupBytes {
			break
		}
		if pending.urgent() {
			p.queuedUrgent--
		}
		count++
	}
	rows := p.queue[:count:count]
	p.queue = append([]*pendingRow(nil), p.queue[count:]...)
	p.queuedSince = time.Now()
	return rows
}

func (p *partition) groupOf(rows []*pendingRow) *claimpb.Group {
	group := &claimpb.Group{
		Epoch: p.epoch, Sequence: p.log.next, Writer: p.log.writer,
		SegmentsFrom: p.segments.from, SegmentsTo: p.segments.to,
		Rows: make([]*claimpb.Row, len(rows)),
	}
	for i, pending := range rows {
		group.Rows[i] = pending.record
	}
	return group
}

// writeUntilDurable retries the write of a group until the group is known to be durable. If
// the first attempt fails, or its outcome is unknown and the immediate retry fails, all
// waiting claims fail.
func (p *partition) writeUntilDurable(ctx context.Context, encoded []byte) error {
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
			return ErrUnavailable.Wrap(ctx.Err(), "partition %d is closing", p.number)
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

// stall fails the waiting claims and rejects new ones until a write succeeds.
func (p *partition) stall(ctx context.Context, cause error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.stalled {
		event.PartitionStalled.Log(ctx, p.logger, slog.Int("partition", int(p.number)), slog.String("error", cause.Error()))
	}
	p.stalled = true
	p.dropQueuedClaims()
	for _, pending := range p.undecided {
		pending.withdrawn = true
		pending.resolve(ErrUnavailable.Wrap(cause, "the claim is not durable"))
	}
}

// dropQueuedClaims removes and fails the queued claims, none of which has been written.
func (p *partition) dropQueuedClaims() {
	kept := p.queue[:0]
	for _, pending := range p.queue {
		if !pending.claim {
			kept = append(kept, pending)
			continue
		}
		pending.resolve(ErrUnavailable.New("partition %d cannot write to its log", p.number))
		delete(p.undecided, pending.key)
		p.queuedUrgent--
	}
	clear(p.queue[len(kept):])
	p.queue = kept
}

func (p *partition) resume(ctx context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stalled {
		event.PartitionResumed.Log(ctx, p.logger, slog.Int("partition", int(p.number)))
	}
	p.stalled = false
}

// complete applies the rows of a durable group to the table and resolves them.
func (p *partition) complete(rows []*pendingRow) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pending := range rows {
		if !pending.claim {
			pending.resolve(nil)
			continue
		}
		delete(p.undecided, pending.key)
		p.table.set(pending.key, pending.record)
		if pending.withdrawn {
			pending.resolve(ErrUnavailable.New("the claim was withdrawn"))
			p.releaseWithdrawn(pending, now)
			continue
		}
		pending.resolve(nil)
	}
}

// releaseWithdrawn frees the key of a durable claim whose request will not run.
func (p *partition) releaseWithdrawn(pending *pendingRow, now time.Time) {
	existing, _ := p.table.get(pending.key, now)
	p.enqueueEnding(pending.key, existing, Ending{State: NotRun}, now)
}

// resolve sets the outcome of the row and wakes its waiters. Only the first call has an
// effect. The caller must hold the partition's mutex.
func (r *pendingRow) resolve(err error) {
	if r.resolved {
		return
	}
	r.resolved, r.err = true, err
	close(r.done)
}

// maintain writes the next due segment, deletes the oldest segment if it has left the
// window, and sweeps one shard of the table. Operations that fail are retried by a later
// call.
func (p *partition) maintain(ctx context.Context) {
	if segment := p.segments.due(); segment != nil {
		if p.log.writeSegment(ctx, segment) == nil {
			p.segments.markStored(segment)
		}
	}
	now := time.Now()
	if index, newest, ok := p.segments.oldest(); ok && p.table.expired(newest, now) {
		if p.log.deleteSegment(ctx, index) == nil {
			p.segments.markDeleted()
		}
	}
	if now.Sub(p.lastSweep) < p.options.sweepInterval() {
		return
	}
	p.lastSweep = now
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.sweep(now)
}

// drain stops the acceptance of claims; run returns when all queued rows are written.
func (p *partition) drain() {
	p.mu.Lock()
	p.draining = true
	p.mu.Unlock()
	p.signal()
}

// close closes the partition and fails all rows that are still pending.
func (p *partition) close(ctx context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	ended := ErrFenced.New("partition %d is closed", p.number)
	for _, pending := range p.undecided {
		pending.resolve(ended)
	}
	for _, pending := range p.queue {
		pending.resolve(ended)
	}
	p.queue = nil
	event.PartitionClosed.Log(ctx, p.logger, slog.Int("partition", int(p.number)), slog.Int64("epoch", p.epoch))
}
