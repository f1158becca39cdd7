package claim

import (
	"context"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/claim/claimpb"
)

// settleQueueFactor multiplies the queue limit for endings, so that they are still accepted
// when claims are already rejected.
const settleQueueFactor = 2

// decision is the immediate result of a claim. It contains a verdict, the claim's own row
// (which must become durable), or an earlier claim's row to wait for.
type decision struct {
	verdict Verdict
	prior   Ending
	own     *pendingRow
	earlier *pendingRow
}

// claim decides a claim. It returns Granted only after the claim is durable.
func (p *partition) claim(ctx context.Context, request Request) (Grant, error) {
	grant := Grant{Key: request.Key, Epoch: p.epoch, Claimant: request.Claimant}
	for {
		d, err := p.decide(request)
		switch {
		case err != nil:
			return Grant{}, err
		case d.verdict != 0:
			grant.Verdict, grant.Prior = d.verdict, d.prior
			return grant, nil
		case d.own != nil:
			if err := p.awaitDurable(ctx, d.own); err != nil {
				return Grant{}, err
			}
			grant.Verdict = Granted
			return grant, nil
		}
		if err := awaitResolved(ctx, d.earlier); err != nil {
			return Grant{}, err
		}
	}
}

func (p *partition) decide(request Request) (decision, error) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.checkOpen(); err != nil {
		return decision{}, err
	}
	if pending, ok := p.undecided[request.Key]; ok {
		return p.joinUndecided(pending)
	}
	existing, known := p.table.get(request.Key, now)
	if known && existing.fingerprint != uint32(request.Fingerprint) {
		return decision{verdict: Mismatch}, nil
	}
	if known && existing.state() != NotRun {
		return decision{verdict: Taken, prior: p.table.prior(request.Key, existing)}, nil
	}
	if err := p.checkCapacity(request); err != nil {
		return decision{}, err
	}
	return decision{own: p.enqueueClaim(request, now)}, nil
}

// joinUndecided decides a claim of a key that has another claim in flight.
func (p *partition) joinUndecided(pending *pendingRow) (decision, error) {
	if p.stalled {
		return decision{}, ErrUnavailable.New("partition %d cannot write to its log", p.number)
	}
	return decision{earlier: pending}, nil
}

// checkOpen returns an error if the partition no longer decides claims. The caller must
// hold p.mu.
func (p *partition) checkOpen() error {
	switch {
	case p.closed:
		return ErrFenced.New("partition %d is closed", p.number)
	case p.draining:
		return errLeaving.New("partition %d is being handed over", p.number)
	}
	return nil
}

// checkCapacity returns an error if the partition cannot accept another claim. The caller
// must hold p.mu.
func (p *partition) checkCapacity(request Request) error {
	switch {
	case p.stalled:
		return ErrUnavailable.New("partition %d cannot write to its log", p.number)
	case p.withdrawn.Contains(claimantHash(request.Claimant)):
		return ErrUnavailable.New("claimant %q has withdrawn its claim", request.Claimant)
	case len(p.queue) >= p.options.QueueLimit:
		return ErrUnavailable.New("partition %d: %d rows are waiting to be written", p.number, len(p.queue))
	case p.table.count >= p.options.ClaimLimit:
		return ErrUnavailable.New("partition %d has reached its limit with %d claims", p.number, p.table.count)
	}
	return nil
}

func (p *partition) enqueueClaim(request Request, now time.Time) *pendingRow {
	pending := &pendingRow{
		key: request.Key, claim: true, done: make(chan struct{}),
		record: &claimpb.Row{
			Key:         request.Key[:],
			Fingerprint: uint32(request.Fingerprint),
			State:       uint32(Running),
			ClaimedAt:   uint32(now.Unix()),
			Claimant:    claimantHash(request.Claimant),
		},
	}
	p.undecided[request.Key] = pending
	p.enqueue(pending, now)
	return pending
}

func (p *partition) enqueue(pending *pendingRow, now time.Time) {
	if len(p.queue) == 0 {
		p.queuedSince = now
	}
	if pending.urgent() {
		p.queuedUrgent++
	}
	p.queue = append(p.queue, pending)
	p.signal()
}

// awaitDurable waits until the claim is durable. If ctx ends first, it withdraws the
// claim.
func (p *partition) awaitDurable(ctx context.Context, pending *pendingRow) error {
	select {
	case <-pending.done:
		return pending.err
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if pending.resolved {
		return pending.err
	}
	pending.withdrawn = true
	return ErrUnavailable.Wrap(ctx.Err(), "waiting for the claim to be durable")
}

// awaitResolved waits until a row is durable or has failed.
func awaitResolved(ctx context.Context, pending *pendingRow) error {
	select {
	case <-pending.done:
		return nil
	case <-ctx.Done():
		return ErrUnavailable.Wrap(ctx.Err(), "waiting for another claim of the key")
	}
}

// settle records how a granted request ended and reports whether the ending is durable.
// NotRun is durable when settle returns without an error; other endings are in memory and
// become durable soon after.
func (p *partition) settle(ctx context.Context, key Key, claimant string, ending Ending) (bool, error) {
	pending, err := p.recordEnding(key, claimantHash(claimant), ending)
	if err != nil || pending == nil {
		return err == nil, err
	}
	if ending.State != NotRun {
		return false, nil
	}
	select {
	case <-pending.done:
	case <-ctx.Done():
		return false, ErrNotSettled.Wrap(ctx.Err(), "waiting for the ending to be durable")
	}
	if pending.err != nil && !pending.claim {
		return false, ErrNotSettled.Wrap(pending.err, "ending")
	}
	return true, nil
}

// recordEnding applies an ending in memory and enqueues it. It returns the row that must
// become durable, or nil if there is none.
func (p *partition) recordEnding(key Key, claimant uint64, ending Ending) (*pendingRow, error) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrFenced.New("partition %d is closed", p.number)
	}
	if pending, ok := p.undecided[key]; ok && pending.record.GetClaimant() == claimant {
		pending.withdrawn = true
		return pending, nil
	}
	existing, known := p.table.get(key, now)
	if !known || !p.table.runningFor(key, claimant) {
		// The claim is already settled, or it has not yet arrived and must not be granted.
		p.withdrawn.Add(claimant, struct{}{})
		return p.newestEnding, nil
	}
	if len(p.queue) >= settleQueueFactor*p.options.QueueLimit {
		return nil, ErrNotSettled.New("partition %d: %d rows are waiting to be written", p.number, len(p.queue))
	}
	return p.enqueueEnding(key, existing, ending, now), nil
}

func (p *partition) enqueueEnding(key Key, existing row, ending Ending, now time.Time) *pendingRow {
	pending := &pendingRow{
		key: key, done: make(chan struct{}),
		record: &claimpb.Row{
			Key:         key[:],
			Fingerprint: existing.fingerprint,
			State:       uint32(ending.State),
			ClaimedAt:   existing.claimedAt(),
			Answer:      ending.Answer.ifWithin(p.options.AnswerLimit).record(),
		},
	}
	p.table.set(key, pending.record)
	p.enqueue(pending, now)
	p.newestEnding = pending
	return pending
}
