package rollout

import (
	"context"
	"sync"
	"time"
)

// Carrier carries out accepted rollouts in the failure domains that this entry
// owns. It compares what engines report with the newest version, so that it
// also mends replicas that restart or fall back later.
type Carrier struct {
	options Options
	metrics *metrics
	work    sync.WaitGroup

	mu    sync.Mutex
	units map[string]*unit
}

// unit is what a Carrier remembers of a model in a failure domain.
type unit struct {
	model, domain string
	// busy is set while a pass runs.
	busy bool
	// again is when the next pass may begin; failures counts the incomplete
	// passes at version before it.
	again    time.Time
	version  int64
	failures int
	// verified is what each replica was read back at, by ID.
	verified map[string]readBack
	// broken replicas were taken out and not read back since, by ID.
	broken map[string]bool
}

// readBack is the version that a replica was read back at.
type readBack struct {
	version int64
	at      time.Time
}

// NewCarrier returns a Carrier; Run makes it work.
func NewCarrier(options Options) *Carrier {
	options = options.withDefaults()
	return &Carrier{options: options, metrics: newMetrics(options.Registerer), units: map[string]*unit{}}
}

// Run looks for work until ctx ends, and then waits for the passes that run.
// Units are released, so that a successor need not wait for the lease.
func (c *Carrier) Run(ctx context.Context) error {
	ticker := time.NewTicker(c.options.Interval)
	defer ticker.Stop()
	defer c.work.Wait()
	for {
		c.look(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// look starts a pass for each unit that needs one and is this entry's.
func (c *Carrier) look(ctx context.Context) {
	for model, version := range c.options.Newest() {
		for domain, replicas := range c.mine(model) {
			if u := c.claim(model, domain, version, replicas); u != nil {
				c.work.Go(func() { c.pass(ctx, u, version, replicas) })
			}
		}
	}
}

// mine returns the replicas of the failure domains that are this entry's.
func (c *Carrier) mine(model string) map[string][]Replica {
	best := map[string]bool{}
	domains := map[string][]Replica{}
	for _, r := range c.options.Replicas(model) {
		mine, asked := best[r.Domain]
		if !asked {
			mine = c.options.Best(unitOf(model, r.Domain))
			best[r.Domain] = mine
		}
		if mine {
			domains[r.Domain] = append(domains[r.Domain], r)
		}
	}
	return domains
}

func byDomain(replicas []Replica) map[string][]Replica {
	domains := map[string][]Replica{}
	for _, r := range replicas {
		domains[r.Domain] = append(domains[r.Domain], r)
	}
	return domains
}

// claim marks a unit busy if it needs a pass; nil when it does not.
func (c *Carrier) claim(model, domain string, version int64, replicas []Replica) *unit {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := unitOf(model, domain)
	u := c.units[key]
	if u == nil {
		u = &unit{model: model, domain: domain, verified: map[string]readBack{}, broken: map[string]bool{}}
		c.units[key] = u
	}
	if u.busy || version < 1 || !u.needs(version, replicas) {
		return nil
	}
	if u.version == version && time.Now().Before(u.again) {
		return nil
	}
	u.busy = true
	return u
}

// needs reports whether a replica is not known to be at the version, or
// reported another one since.
func (u *unit) needs(version int64, replicas []Replica) bool {
	for _, r := range replicas {
		seen := u.verified[r.ID]
		if seen.version != version {
			return true
		}
		fresh := r.ReportedAt.After(seen.at.Add(reportSlack))
		if fresh && r.ActiveVersion != 0 && r.ActiveVersion != version {
			return true
		}
	}
	return false
}

// verify notes what a replica was read back at and lets it serve again.
func (c *Carrier) verify(ctx context.Context, u *unit, r Replica, version int64) {
	c.mu.Lock()
	u.verified[r.ID] = readBack{version: version, at: time.Now()}
	wasBroken := u.broken[r.ID]
	delete(u.broken, r.ID)
	c.mu.Unlock()
	if wasBroken {
		c.logReplica(ctx, mended, u, r, version)
		c.options.Control.SetUnready(ctx, r.ID, false)
	}
}

// breakReplica takes a replica out until it is read back.
func (c *Carrier) breakReplica(ctx context.Context, u *unit, r Replica, version int64) {
	c.mu.Lock()
	wasBroken := u.broken[r.ID]
	u.broken[r.ID] = true
	delete(u.verified, r.ID)
	c.mu.Unlock()
	if !wasBroken {
		c.logReplica(ctx, broke, u, r, version)
		c.options.Control.SetUnready(ctx, r.ID, true)
	}
}

// rest ends a pass. One that left replicas over is repeated later and later.
func (c *Carrier) rest(u *unit, version int64, replicas []Replica) {
	left := len(c.left(u, version, replicas))
	c.mu.Lock()
	defer c.mu.Unlock()
	u.busy = false
	if u.version != version || left == 0 {
		u.version, u.failures = version, 0
	}
	if left > 0 {
		u.again = time.Now().Add(min(c.options.Interval<<min(u.failures, 10), maxRest))
		u.failures++
	}
}

// left names the replicas that are not read back at a version.
func (c *Carrier) left(u *unit, version int64, replicas []Replica) []string {
	var names []string
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range replicas {
		if u.verified[r.ID].version != version {
			names = append(names, r.ID)
		}
	}
	return names
}
