package duty

import (
	"math/rand/v2"
	"sync"
	"time"
)

// holderDivisor divides the rate of all nodes to give the part that one node uses. More nodes
// than this seldom hold duties at the same time.
const holderDivisor = 10

// Limits of the pause after calls that were refused because of the rate limit.
const (
	minRefusalPause = 200 * time.Millisecond
	maxRefusalPause = 3200 * time.Millisecond
)

// Pace spaces the calls of one node, over all of its duties. It is safe for concurrent use.
type Pace struct {
	spacing time.Duration
	now     func() time.Duration

	mu    sync.Mutex
	next  time.Duration // when the next call may begin
	pause time.Duration // the pause after the last refusal; zero after an accepted call
}

// NewPace returns the pace of a node, where perSecond is the rate that the management
// interface accepts from all nodes together and now is a clock that never jumps.
func NewPace(perSecond float64, now func() time.Duration) *Pace {
	return &Pace{spacing: time.Duration(holderDivisor * float64(time.Second) / perSecond), now: now}
}

// reserve returns how long the caller must wait before its call.
func (p *Pace) reserve() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	begin := max(now, p.next)
	p.next = begin + p.spacing
	return begin - now
}

// refused delays the following calls after a refusal because of the rate limit.
func (p *Pace) refused() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pause = min(max(2*p.pause, minRefusalPause), maxRefusalPause)
	jittered := p.pause/2 + rand.N(p.pause)
	p.next = max(p.next, p.now()+jittered)
}

// accepted ends the growth of the pause after refusals.
func (p *Pace) accepted() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pause = 0
}
