package rollout

import (
	"context"
	"sync"
	"time"
)

// Executor carries out accepted rollouts in the failure domains that this entry
// owns. It compares the versions that engines report with the newest version, so that
// it also updates replicas that later restart or revert to an older version.
type Executor struct {
	options Options
	metrics *metrics
	work    sync.WaitGroup

	mu    sync.Mutex
	units map[string]*unit
}

// unit is the state that an Executor keeps for a model in a failure domain.
type unit struct {
	model, domain string
	// busy is true while a pass is running.
	busy bool
	// nextPass is the earliest start of the next pass at version; failures is the
	// number of consecutive incomplete passes at that version.
	nextPass time.Time
	version  int64
	failures int
	// verified holds the version last read back from each replica, by ID.
	verified map[string]readBack
	// broken holds the IDs of replicas that were marked unready after a failed
	// activation and have not been verified since.
	broken map[string]bool
}

// readBack is a version that was read back from a replica, and the time of the read.
type readBack struct {
	version int64
	readAt  time.Time
}

// NewExecutor returns an Executor that is idle until Run is called.
func NewExecutor(options Options) *Executor {
	options = options.withDefaults()
	return &Executor{options: options, metrics: newMetrics(options.Registerer), units: map[string]*unit{}}
}

// Run checks periodically for units that need a pass until ctx ends, and then waits
// for the running passes. Passes release their units, so that a successor need not
// wait for the leases to expire.
func (e *Executor) Run(ctx context.Context) error {
	ticker := time.NewTicker(e.options.Interval)
	defer ticker.Stop()
	defer e.work.Wait()
	for {
		e.startPasses(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// startPasses starts a pass for each unit that needs one and for which this entry is
// the preferred owner.
func (e *Executor) startPasses(ctx context.Context) {
	for model, version := range e.options.Newest() {
		for domain, replicas := range e.preferredDomains(model) {
			if u := e.claim(model, domain, version, replicas); u != nil {
				e.work.Go(func() { e.pass(ctx, u, version, replicas) })
			}
		}
	}
}

// preferredDomains returns the replicas, by failure domain, of the domains for which
// this entry is the preferred owner.
func (e *Executor) preferredDomains(model string) map[string][]Replica {
	best := map[string]bool{}
	domains := map[string][]Replica{}
	for _, r := range e.options.Replicas(model) {
		preferred, cached := best[r.Domain]
		if !cached {
			preferred = e.options.Best(unitOf(model, r.Domain))
			best[r.Domain] = preferred
		}
		if preferred {
			domains[r.Domain] = append(domains[r.Domain], r)
		}
	}
	return domains
}

// byDomain groups replicas by failure domain.
func byDomain(replicas []Replica) map[string][]Replica {
	domains := map[string][]Replica{}
	for _, r := range replicas {
		domains[r.Domain] = append(domains[r.Domain], r)
	}
	return domains
}

// claim marks a unit as busy and returns it, or returns nil if the unit needs no pass
// now.
func (e *Executor) claim(model, domain string, version int64, replicas []Replica) *unit {
	e.mu.Lock()
	defer e.mu.Unlock()
	key := unitOf(model, domain)
	u := e.units[key]
	if u == nil {
		u = &unit{model: model, domain: domain, verified: map[string]readBack{}, broken: map[string]bool{}}
		e.units[key] = u
	}
	if u.busy || version < 1 || !u.needsPass(version, replicas) {
		return nil
	}
	if u.version == version && time.Now().Before(u.nextPass) {
		return nil
	}
	u.busy = true
	return u
}

// needsPass reports whether some replica has not been verified at the version or has
// reported another version since.
func (u *unit) needsPass(version int64, replicas []Replica) bool {
	for _, r := range replicas {
		last := u.verified[r.ID]
		if last.version != version {
			return true
		}
		newer := r.ReportedAt.After(last.readAt.Add(reportSlack))
		if newer && r.ActiveVersion != 0 && r.ActiveVersion != version {
			return true
		}
	}
	return false
}

// verify records that a replica was read back at a version, and marks it ready if it
// was broken.
func (e *Executor) verify(ctx context.Context, u *unit, r Replica, version int64) {
	e.mu.Lock()
	u.verified[r.ID] = readBack{version: version, readAt: time.Now()}
	wasBroken := u.broken[r.ID]
	delete(u.broken, r.ID)
	e.mu.Unlock()
	if wasBroken {
		e.logReplica(ctx, eventRepaired, u, r, version)
		e.options.Control.SetUnready(ctx, r.ID, false)
	}
}

// markBroken marks a replica as unready until it is verified.
func (e *Executor) markBroken(ctx context.Context, u *unit, r Replica, version int64) {
	e.mu.Lock()
	wasBroken := u.broken[r.ID]
	u.broken[r.ID] = true
	delete(u.verified, r.ID)
	e.mu.Unlock()
	if !wasBroken {
		e.logReplica(ctx, eventBroken, u, r, version)
		e.options.Control.SetUnready(ctx, r.ID, true)
	}
}

// endPass marks a unit as no longer busy. If replicas are left, the next pass starts
// after a backoff that doubles with each incomplete pass, up to maxPassBackoff.
func (e *Executor) endPass(u *unit, version int64, replicas []Replica) {
	remaining := len(e.remaining(u, version, replicas))
	e.mu.Lock()
	defer e.mu.Unlock()
	u.busy = false
	if u.version != version || remaining == 0 {
		u.version, u.failures = version, 0
	}
	if remaining > 0 {
		u.nextPass = time.Now().Add(min(e.options.Interval<<min(u.failures, 10), maxPassBackoff))
		u.failures++
	}
}

// remaining returns the IDs of the replicas that are not verified at a version.
func (e *Executor) remaining(u *unit, version int64, replicas []Replica) []string {
	var names []string
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range replicas {
		if u.verified[r.ID].version != version {
			names = append(names, r.ID)
		}
	}
	return names
}
