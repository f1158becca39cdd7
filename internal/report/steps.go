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
	// maxStepsTold bounds the steps in one digest.
	maxStepsTold = 8
	// maxStepsShown bounds the steps in the text.
	maxStepsShown = 3
	// notJudged is the time needed by a step that can't be judged yet.
	notJudged = -1
)

// StepSource tells of the steps that this entry owns; step.Service is one.
type StepSource interface {
	Statuses() []step.Status
}

// StepReport is one training step under way, as its owner last told.
type StepReport struct {
	Trainer            string
	Step               int64
	Samples, Delivered int
	// Discarded counts samples and beginnings that were too old.
	Discarded int64
	// Left is the time to the deadline; negative is past it.
	Left time.Duration
	// Spare is what is expected to remain of it; negative is late. Judged is not
	// set before a sample was finished.
	Spare  time.Duration
	Judged bool
}

// addSteps puts each step into the digest of its class, the most urgent first.
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
	if len(digest.Steps) == maxStepsTold {
		digest.StepsLeftOut++
		return
	}
	needed := int64(notJudged)
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

// steps gathers the steps of all entries. Of two entries that told of one step,
// the word that is less old holds.
func steps(digests []exchange.Digest) ([]StepReport, int) {
	type name struct {
		trainer string
		step    int64
	}
	var all []StepReport
	unseen, seen := 0, map[name]bool{}
	digests = slices.Clone(digests)
	slices.SortStableFunc(digests, func(a, b exchange.Digest) int { return cmp.Compare(a.Age, b.Age) })
	for _, d := range digests {
		unseen += int(d.News.StepsLeftOut)
		for _, told := range d.News.Steps {
			of := name{told.Trainer, told.Step}
			if !seen[of] {
				seen[of] = true
				all = append(all, stepReport(told, d.Age))
			}
		}
	}
	slices.SortFunc(all, compareSteps)
	return all, unseen
}

// stepReport brings a digest of some age up to now. The time that was needed
// passes as the time left does, so that what is to spare stays.
func stepReport(told *peerpb.StepDigest, age time.Duration) StepReport {
	return StepReport{
		Trainer:   told.Trainer,
		Step:      told.Step,
		Samples:   int(told.Samples),
		Delivered: int(told.Delivered),
		Discarded: told.Discarded,
		Left:      time.Duration(told.LeftMs)*time.Millisecond - age,
		Spare:     time.Duration(told.LeftMs-told.NeededMs) * time.Millisecond,
		Judged:    told.NeededMs >= 0,
	}
}

// compareSteps puts late steps first, then those that aren't judged.
func compareSteps(a, b StepReport) int {
	return cmp.Or(cmp.Compare(a.urgency(), b.urgency()), cmp.Compare(a.Spare, b.Spare), cmp.Compare(a.Trainer, b.Trainer), cmp.Compare(a.Step, b.Step))
}

func (s StepReport) urgency() int {
	switch {
	case s.late():
		return 0
	case !s.Judged:
		return 1
	default:
		return 2
	}
}

func (s StepReport) late() bool { return s.Left < 0 || s.Judged && s.Spare < 0 }

// Lines renders one step: what was delivered, and whether it will be in time.
func (s StepReport) Lines() []string {
	return []string{
		fmt.Sprintf("%s of %d samples: step %s/%d", s.shareText(), s.Samples, s.Trainer, s.Step),
		fmt.Sprintf("  %s too old, %s", countText(s.Discarded), s.outlook()),
	}
}

// shareText rounds down, so that only a step that is whole shows 100.0%.
func (s StepReport) shareText() string {
	const whole = 1000
	tenths := s.Delivered * whole / max(s.Samples, 1)
	return fmt.Sprintf("%d.%d%%", tenths/10, tenths%10)
}

func (s StepReport) outlook() string {
	switch {
	case s.Left < 0:
		return "overdue by " + roughly(-s.Left)
	case !s.Judged:
		return "deadline in " + roughly(s.Left) + ", not judged"
	case s.Spare < 0:
		return "likely late by " + roughly(-s.Spare)
	default:
		return "likely in time, " + roughly(s.Spare) + " spare"
	}
}

// roughly renders a time to the second or, from an hour on, to the minute.
func roughly(d time.Duration) string {
	if d >= time.Hour {
		text := d.Round(time.Minute).String()
		return text[:len(text)-len("0s")]
	}
	return d.Round(time.Second).String()
}

// StepLines renders the steps under way, the most urgent first.
func (r Report) StepLines() []string {
	var lines []string
	for i, s := range r.Steps {
		if i == maxStepsShown {
			break
		}
		lines = append(lines, s.Lines()...)
	}
	if more := max(len(r.Steps)-maxStepsShown, 0) + r.StepsUnseen; more > 0 {
		lines = append(lines, fmt.Sprintf("and %s under way", countOf(int64(more), "more step")))
	}
	return lines
}
