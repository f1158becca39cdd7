package submission

import (
	"log/slog"
	"time"
)

// phase is what an item's time is spent on. An item is in exactly one phase at a time.
type phase int

const (
	// phaseOpening: the submission is accepted, and this owner has not opened it yet.
	phaseOpening phase = iota
	// phaseWaiting: the item waits for a free slot of an engine.
	phaseWaiting
	// phaseLoading: it waits, and an engine that it could use loads weights.
	phaseLoading
	// phaseStarting: its first run has begun but has produced no event yet.
	phaseStarting
	// phaseMoving: a run was moved or broke, and the next one has produced no event yet.
	phaseMoving
	// phaseGenerating: events are generated, at the pace of the fastest engine.
	phaseGenerating
	// phaseSlower: what generation took beyond the pace of the fastest engine.
	phaseSlower
	// phaseScoring: the text is complete and its scoring call has not succeeded yet.
	phaseScoring
	// phaseWriting: the result is not confirmed by the store yet.
	phaseWriting
	// phaseReading: the result is listed and was not read yet.
	phaseReading
	phaseCount
)

var phaseNames = [phaseCount]string{"opening", "waiting", "loading", "starting", "moving", "generating", "slower", "scoring", "writing", "reading"}

func (p phase) String() string { return phaseNames[p] }

// timing is the time that an item has spent in each phase.
type timing struct {
	spent   [phaseCount]time.Duration
	current phase
	since   time.Time
	// moves is the number of runs after the first one.
	moves int
}

// newTiming returns the timing of an item that this owner opens now.
func newTiming(accepted, now time.Time) timing {
	t := timing{current: phaseOpening, since: accepted}
	t.enter(phaseWaiting, now)
	return t
}

// enter ends the present phase and begins another one.
func (t *timing) enter(next phase, now time.Time) {
	if now.After(t.since) {
		t.spent[t.current] += now.Sub(t.since)
		t.since = now
	}
	t.current = next
}

// wait notes that the item could not be placed.
func (t *timing) wait(loading bool, now time.Time) {
	if loading {
		t.enter(phaseLoading, now)
		return
	}
	t.enter(phaseWaiting, now)
}

// start notes the start of a run.
func (t *timing) start(first bool, now time.Time) {
	if first {
		t.enter(phaseStarting, now)
		return
	}
	t.moves++
	t.enter(phaseMoving, now)
}

// event notes an event of the present run; fastest is the time per event of the fastest
// engine. Up to the run's first event the time counts as starting or moving.
func (t *timing) event(fastest time.Duration, now time.Time) {
	gap := now.Sub(t.since)
	if t.current == phaseGenerating && gap > fastest {
		t.spent[phaseSlower] += gap - fastest
		t.since = t.since.Add(gap - fastest)
	}
	t.enter(phaseGenerating, now)
}

// stepTimes is where the time of a submission went.
type stepTimes struct {
	// listed is the number of listed items, and total the sum of their times.
	listed int
	total  [phaseCount]time.Duration
	// slowest is the listed item whose result was ready last, and its timing.
	slowest       *item
	slowestReady  time.Time
	slowestTiming timing
	// longest is the highest number of events of a listed text.
	longest int
}

// list adds an item whose result is now stored.
func (s *stepTimes) list(i *item, now time.Time) {
	i.timing.enter(phaseReading, now)
	s.listed++
	for p, spent := range i.timing.spent {
		s.total[p] += spent
	}
	s.longest = max(s.longest, len(i.text.events))
	if s.slowest == nil || i.readyAt.After(s.slowestReady) {
		s.slowest, s.slowestReady, s.slowestTiming = i, i.readyAt, i.timing
	}
}

// StepTimes is the time of the listed item of a submission that was ready last, by what it
// was spent on. The parts add up to Total.
type StepTimes struct {
	Total time.Duration
	Parts map[string]time.Duration
	// Bound is the time in which the fastest engine generates the longest listed text
	// alone.
	Bound time.Duration
}

// end returns the times when the submission ends; readAt is when its last result was first
// read, zero if it was not.
func (s *stepTimes) end(readAt time.Time, fastest time.Duration) StepTimes {
	slowest := s.slowestTiming
	if readAt.After(slowest.since) {
		slowest.enter(phaseReading, readAt)
	}
	times := StepTimes{Parts: make(map[string]time.Duration, phaseCount), Bound: time.Duration(s.longest) * fastest}
	for p, spent := range slowest.spent {
		times.Parts[phase(p).String()] = spent
		times.Total += spent
	}
	return times
}

// attributes returns the log fields of the times: of the slowest item, and the mean over
// all listed items of what they waited and moved.
func (s *stepTimes) attributes(times StepTimes) []slog.Attr {
	attrs := []slog.Attr{
		slog.String("slowest", s.slowest.record.GetId()), slog.Int("text_events", len(s.slowest.text.events)), slog.Int("moves", s.slowestTiming.moves),
		slog.Int64("total_ms", times.Total.Milliseconds()), slog.Int64("bound_ms", times.Bound.Milliseconds()),
	}
	for p := range phaseCount {
		attrs = append(attrs, slog.Int64(p.String()+"_ms", times.Parts[p.String()].Milliseconds()))
	}
	mean := func(phases ...phase) int64 {
		var sum time.Duration
		for _, p := range phases {
			sum += s.total[p]
		}
		return (sum / time.Duration(s.listed)).Milliseconds()
	}
	return append(attrs, slog.Int64("mean_waiting_ms", mean(phaseWaiting, phaseLoading)), slog.Int64("mean_moving_ms", mean(phaseMoving)),
		slog.Int64("mean_slower_ms", mean(phaseSlower)), slog.Int64("mean_scoring_ms", mean(phaseScoring)))
}
