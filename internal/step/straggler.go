package step

import "time"

// Rules for moving a straggler.
const (
	// stragglerFactor is how much slower than usual a straggler is.
	stragglerFactor = 3
	// minObserved is how long a sample's pace is watched before it is judged.
	minObserved = 2 * time.Second
	// maxMoves bounds how often one sample is moved.
	maxMoves = 3
	// paceWeight is the divisor of the newest pace in the moving average.
	paceWeight = 8
)

// pace is how fast one attempt generates.
type pace struct {
	since  time.Time // the first piece
	tokens int       // after the first piece
}

func (p *pace) note(tokens int, now time.Time) {
	if p.since.IsZero() {
		p.since = now
		return
	}
	p.tokens += tokens
}

// perSecond returns tokens a second, and false before there is enough to tell.
func (p *pace) perSecond(now time.Time) (float64, bool) {
	watched := now.Sub(p.since)
	if p.since.IsZero() || watched < minObserved {
		return 0, false
	}
	return float64(p.tokens) / watched.Seconds(), true
}

// notePace learns from a sample that was finished.
func (s *Step) notePace(p pace, now time.Time) {
	rate, known := p.perSecond(now)
	switch {
	case !known:
	case s.usualPace == 0:
		s.usualPace = rate
	default:
		s.usualPace += (rate - s.usualPace) / paceWeight
	}
}

// relocate ends the attempts at samples that are generated far slower than
// usual, once none waits to be started: they go on elsewhere with the tokens
// they have. It returns how many.
func (s *Step) relocate(now time.Time) int {
	if s.counts[waiting] > 0 || s.usualPace == 0 {
		return 0
	}
	moved := 0
	for at := range s.slots {
		if s.straggles(&s.slots[at], now) {
			s.slots[at].moves++
			s.move(at, waiting)
			moved++
		}
	}
	return moved
}

func (s *Step) straggles(slot *slot, now time.Time) bool {
	if slot.state != running || slot.moves >= maxMoves {
		return false
	}
	rate, known := slot.pace.perSecond(now)
	return known && rate < s.usualPace/stragglerFactor
}
