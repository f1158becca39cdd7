package step

import "time"

// Limits for moving stragglers.
const (
	// stragglerFactor is the factor by which an attempt must be slower than average to
	// count as a straggler.
	stragglerFactor = 3
	// minObserved is the minimum time since the first piece of an attempt before its
	// throughput is used.
	minObserved = 2 * time.Second
	// maxMoves is the maximum number of times that one sample is moved.
	maxMoves = 3
	// throughputWeight is the divisor of the newest value in the moving average.
	throughputWeight = 8
)

// throughput measures the token rate of one attempt.
type throughput struct {
	since  time.Time // when the first piece arrived
	tokens int       // received after the first piece
}

func (t *throughput) record(tokens int, now time.Time) {
	if t.since.IsZero() {
		t.since = now
		return
	}
	t.tokens += tokens
}

// tokensPerSecond returns the token rate, or false if the attempt has been observed for
// less than minObserved.
func (t *throughput) tokensPerSecond(now time.Time) (float64, bool) {
	observed := now.Sub(t.since)
	if t.since.IsZero() || observed < minObserved {
		return 0, false
	}
	return float64(t.tokens) / observed.Seconds(), true
}

// updateAverageThroughput adds the throughput of a finished sample, if known, to the
// moving average.
func (s *Step) updateAverageThroughput(t throughput, now time.Time) {
	rate, known := t.tokensPerSecond(now)
	switch {
	case !known:
	case s.averageThroughput == 0:
		s.averageThroughput = rate
	default:
		s.averageThroughput += (rate - s.averageThroughput) / throughputWeight
	}
}

// moveStragglers ends the attempts that are far slower than average, provided that no
// sample is waiting to be started. The samples are queued again and continue with
// the tokens they have, usually on another endpoint. It returns the number of
// samples moved.
func (s *Step) moveStragglers(now time.Time) int {
	if s.counts[waiting] > 0 || s.averageThroughput == 0 {
		return 0
	}
	moved := 0
	for pos := range s.slots {
		if s.isStraggler(&s.slots[pos], now) {
			s.slots[pos].moves++
			s.setState(pos, waiting)
			moved++
		}
	}
	return moved
}

func (s *Step) isStraggler(slot *slot, now time.Time) bool {
	if slot.state != running || slot.moves >= maxMoves {
		return false
	}
	rate, known := slot.throughput.tokensPerSecond(now)
	return known && rate < s.averageThroughput/stragglerFactor
}
