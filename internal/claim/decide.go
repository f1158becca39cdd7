package claim

import (
	"context"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/claim/claimpb"
)

// settleQueueFactor lets endings queue where claims are refused already.
const settleQueueFactor = 2

// decision is what is known at once about a claim: a verdict, the claim's own
// row that is to become durable, or another claim's row to wait for first.
type decision struct {
	verdict Verdict
	prior   Ending
	own     *pendingRow
	other   *pendingRow
}

// claim decides on a claim. It returns Granted only after the claim is durable.
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
			if err := p.await(ctx, d.own); err != nil {
				return Grant{}, err
			}
			grant.Verdict = Granted
			return grant, nil
		}
		if err := wait(ctx, d.other); err != nil {
			return Grant{}, err
		}
	}
}

func (p *partition) decide(request Request) (decision, error) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.ended(); err != nil {
		return decision{}, err
	}
	if pending, ok := p.undecided[request.Key]; ok {
		return p.joinUndecided(pending)
	}
	held, known := p.table.get(request.Key, now)
	if known && held.fingerprint != uint32(request.Fingerprint) {
		return decision{verdict: Mismatch}, nil
	}
	if known && held.state() != NotRun {
		return decision{verdict: Taken, prior: p.table.prior(request.Key, held)}, nil
	}
	if err := p.overload(request); err != nil {
		return decision{}, err
	}
	return decision{own: p.enqueueClaim(request, now)}, nil
}

// joinUndecided judges a claim of a key whose earlier claim is on its way.
func (p *partition) joinUndecided(pending *pendingRow) (decision, error) {
	if p.stalled {
		return decision{}, ErrUnavailable.New("partition %d cannot write", p.number)
	}
	return decision{other: pending}, nil
}

// ended says why the partition decides nothing any more; p.mu is held.
func (p *partition) ended() error {
	switch {
	case p.closed:
		return ErrFenced.New("partition %d is closed", p.number)
	case p.draining:
		return errLeaving.New("partition %d is handed over", p.number)
	}
	return nil
}

// overload says why one more claim is not taken; p.mu is held.
func (p *partition) overload(request Request) error {
	switch {
	case p.stalled:
		return ErrUnavailable.New("partition %d cannot write", p.number)
	case p.withdrawn.Contains(claimantHash(request.Claimant)):
		return ErrUnavailable.New("claimant %q gave up", request.Claimant)
	case len(p.forming) >= p.options.QueueLimit:
		return ErrUnavailable.New("partition %d: %d rows wait", p.number, len(p.forming))
	case p.table.count >= p.options.ClaimLimit:
		return ErrUnavailable.New("partition %d remembers %d claims", p.number, p.table.count)
	}
	return nil
}

func (p *partition) enqueueClaim(request Request, now time.Time) *pendingRow {
	pending := &pendingRow{
		key: request.Key, claim: true, done: make(chan struct{}),
		logged: &claimpb.Row{
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
	if len(p.forming) == 0 {
		p.firstForming = now
	}
	if pending.urgent() {
		p.formingUrgent++
	}
	p.forming = append(p.forming, pending)
	p.signal()
}

// await waits until the claim is durable; if ctx ends first the claim is
// withdrawn.
func (p *partition) await(ctx context.Context, pending *pendingRow) error {
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

// wait waits until a row is durable or given up.
func wait(ctx context.Context, pending *pendingRow) error {
	select {
	case <-pending.done:
		return nil
	case <-ctx.Done():
		return ErrUnavailable.Wrap(ctx.Err(), "waiting for another claim of the key")
	}
}

// settle notes how a granted request ended. A NotRun is durable when it returns;
// other endings are in memory and become durable soon after. It reports whether
// the ending is durable.
func (p *partition) settle(ctx context.Context, key Key, claimant string, ending Ending) (bool, error) {
	pending, err := p.note(key, claimantHash(claimant), ending)
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

// note applies an ending in memory and enqueues it. It returns the row
// that is to become durable, or nil when there is none.
func (p *partition) note(key Key, claimant uint64, ending Ending) (*pendingRow, error) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrFenced.New("partition %d is closed", p.number)
	}
	if pending, ok := p.undecided[key]; ok && pending.logged.GetClaimant() == claimant {
		pending.withdrawn = true
		return pending, nil
	}
	held, known := p.table.get(key, now)
	if !known || !p.table.runningFor(key, claimant) {
		// Settled already, or the claim has yet to arrive and must not be granted.
		p.withdrawn.Add(claimant, struct{}{})
		return p.newestEnding, nil
	}
	if len(p.forming) >= settleQueueFactor*p.options.QueueLimit {
		return nil, ErrNotSettled.New("partition %d: %d rows wait", p.number, len(p.forming))
	}
	return p.enqueueEnding(key, held, ending, now), nil
}

func (p *partition) enqueueEnding(key Key, held row, ending Ending, now time.Time) *pendingRow {
	pending := &pendingRow{
		key: key, done: make(chan struct{}),
		logged: &claimpb.Row{
			Key:         key[:],
			Fingerprint: held.fingerprint,
			State:       uint32(ending.State),
			ClaimedAt:   held.claimedAt(),
			Answer:      ending.Answer.bounded(p.options.AnswerLimit).logged(),
		},
	}
	p.table.set(key, pending.logged)
	p.enqueue(pending, now)
	p.newestEnding = pending
	return pending
}
