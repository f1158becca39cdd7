package share

import "time"

// Limits of the observation of a pace.
const (
	// paceWindow is the time over which a pace is averaged.
	paceWindow = 2 * time.Second
	// minPaceTime is how long work must have been waiting until the pace is known.
	minPaceTime = 50 * time.Millisecond
)

// pace measures the service rate of a queue during a busy period: since its queue was last
// empty.
type pace struct {
	since  time.Time
	served float64
}

// begin starts a busy period.
func (p *pace) begin(now time.Time) { *p = pace{since: now} }

// count records one piece of work that was served.
func (p *pace) count(now time.Time) {
	p.served++
	if now.Sub(p.since) > paceWindow {
		p.since, p.served = now.Add(-paceWindow/2), p.served/2
	}
}

// timeFor estimates how long it takes to serve more work; zero means that it is not known.
func (p *pace) timeFor(work float64, now time.Time) time.Duration {
	elapsed := now.Sub(p.since)
	if elapsed < minPaceTime {
		return 0
	}
	return time.Duration(work / (p.served + 1) * float64(elapsed))
}
