package report

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/exchange"
	"github.com/comfreyfront/comfreyfront/internal/peer/peerpb"
	"github.com/comfreyfront/comfreyfront/internal/step"
)

const (
	// maxStepsPerDigest bounds the steps in one digest.
	maxStepsPerDigest = 8
	// maxStepsShown bounds the steps in the text.
	maxStepsShown = 3
	// notEstimated is the value of NeededMs for a step without an estimate.
	notEstimated = -1
)

// StepSource returns the status of the steps that this entry owns. step.Service
// implements it.
type StepSource interface {
	Statuses() []step.Status
}

// StepReport is the state of one training step in progress, as last reported by its owner.
type StepReport struct {
	Trainer            string
	Step               int64
	Samples, Delivered int
	// Discarded counts finished and unfinished samples that were too old.
	Discarded int64
	// Left is the time until the deadline; it is negative after the deadline.
	Left time.Duration
	// Spare is the expected part of Left that remains at completion; it is negative when
	// the step is expected to be late. Estimated reports whether there is an estimate; there
	// is none before the first sample has finished.
	Spare     time.Duration
	Estimated bool
}

// addSteps adds each step to the digest of its class, the most urgent first.
func addSteps(digests []*peerpb.ClassDigest, statuses []step.Status) {
	slices.SortFunc(statuses, func(a, b step.Status) int { return cmp.Compare(a.Left-a.Needed, b.Left-b.Needed) })
	for _, digest := range digests {
		for _, status := range statuses {
			addStep(digest, status)
		}
	}
}

func addStep(digest *peerpb.ClassDigest, status step.Status) {
	if status.Class != digest.Class {
		return
	}
	if len(digest.Steps) == maxStepsPerDigest {
		digest.StepsLeftOut++
		return
	}
	needed := int64(notEstimated)
	if status.Estimated {
		needed = status.Needed.Milliseconds()
	}
	digest.Steps = append(digest.Steps, &peerpb.StepDigest{
		Trainer:   status.Trainer,
		Step:      status.Step,
		Samples:   int32(status.Samples),
		Delivered: int32(status.Delivered),
		Discarded: status.Discarded,
		LeftMs:    status.Left.Milliseconds(),
		NeededMs:  needed,
	})
}

// steps returns the steps of all entries and the number of steps left out of their
// digests. When two entries report the same step, the more recent report is used.
func steps(digests []exchange.Digest) ([]StepReport, int) {
	type name struct {
		trainer string
		step    int64
	}
	var reports []StepReport
	omitted, seen := 0, map[name]bool{}
	digests = slices.Clone(digests)
	slices.SortStableFunc(digests, func(a, b exchange.Digest) int { return cmp.Compare(a.Age, b.Age) })
	for _, d := range digests {
		omitted += int(d.News.StepsLeftOut)
		for _, reported := range d.News.Steps {
			key := name{reported.Trainer, reported.Step}
			if !seen[key] {
				seen[key] = true
				reports = append(reports, stepReport(reported, d.Age))
			}
		}
	}
	slices.SortFunc(reports, compareSteps)
	return reports, omitted
}

// stepReport converts a digest of the given age to the current time. Both the time
// needed and the time left shrink with age, so the spare time is unchanged.
func stepReport(reported *peerpb.StepDigest, age time.Duration) StepReport {
	return StepReport{
		Trainer:   reported.Trainer,
		Step:      reported.Step,
		Samples:   int(reported.Samples),
		Delivered: int(reported.Delivered),
		Discarded: reported.Discarded,
		Left:      time.Duration(reported.LeftMs)*time.Millisecond - age,
		Spare:     time.Duration(reported.LeftMs-reported.NeededMs) * time.Millisecond,
		Estimated: reported.NeededMs >= 0,
	}
}

// compareSteps orders late steps first, then steps without an estimate.
func compareSteps(a, b StepReport) int {
	return cmp.Or(cmp.Compare(a.urgency(), b.urgency()), cmp.Compare(a.Spare, b.Spare), cmp.Compare(a.Trainer, b.Trainer), cmp.Compare(a.Step, b.Step))
}

func (s StepReport) urgency() int {
	switch {
	case s.late():
		return 0
	case !s.Estimated:
		return 1
	default:
		return 2
	}
}

func (s StepReport) late() bool { return s.Left < 0 || s.Estimated && s.Spare < 0 }

// Lines renders one step: the delivered samples, and whether it is expected in time.
func (s StepReport) Lines() []string {
	return []string{
		fmt.Sprintf("%s of %d samples: step %s/%d", s.fractionText(), s.Samples, s.Trainer, s.Step),
		fmt.Sprintf("  %s too old, %s", countText(s.Discarded), s.outlook()),
	}
}

// fractionText renders the delivered fraction, rounded down so that only a complete step
// shows 100.0%.
func (s StepReport) fractionText() string {
	const perMille = 1000
	tenths := s.Delivered * perMille / max(s.Samples, 1)
	return fmt.Sprintf("%d.%d%%", tenths/10, tenths%10)
}

func (s StepReport) outlook() string {
	switch {
	case s.Left < 0:
		return "overdue by " + roundedText(-s.Left)
	case !s.Estimated:
		return "deadline in " + roundedText(s.Left) + ", not judged"
	case s.Spare < 0:
		return "likely late by " + roundedText(-s.Spare)
	default:
		return "likely in time, " + roundedText(s.Spare) + " spare"
	}
}

// roundedText renders a duration rounded to the second or, from one hour, to the minute.
func roundedText(d time.Duration) string {
	if d >= time.Hour {
		text := d.Round(time.Minute).String()
		return text[:len(text)-len("0s")]
	}
	return d.Round(time.Second).String()
}

// StepLines renders the steps in progress, the most urgent first.
func (r Report) StepLines() []string {
	var lines []string
	for i, s := range r.Steps {
		if i == maxStepsShown {
			break
		}
		lines = append(lines, s.Lines()...)
	}
	if more := max(len(r.Steps)-maxStepsShown, 0) + r.StepsOmitted; more > 0 {
		lines = append(lines, fmt.Sprintf("and %s under way", countOf(int64(more), "more step")))
	}
	return lines
}
