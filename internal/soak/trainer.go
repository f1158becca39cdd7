package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/wait"
	"github.com/comfreyfront/comfreyfront/platform/platformtest"
)

// Size of a trainer's submissions, and pauses between its requests.
const (
	stepItems  = 12
	readPause  = 150 * time.Millisecond
	retryPause = 150 * time.Millisecond
)

// step is a trainer's view of one of its submissions.
type step struct {
	id         string
	minVersion int
	// results holds the results read so far, by position.
	results []platformtest.Result
}

// runTrainer submits one step after another and publishes a new weight version after each. When ctx
// is done, it still reads all results of the current step.
func (env *environment) runTrainer(ctx context.Context, random *rand.Rand) {
	trainer := random.Uint32()
	for i := 0; ctx.Err() == nil; i++ {
		env.mu.Lock()
		s := &step{id: fmt.Sprintf("t%d-%d", trainer, i), minVersion: max(env.weightVersion-1, 1)}
		env.mu.Unlock()
		if !env.submit(ctx, random, s) {
			return
		}
		if !env.readAll(ctx, random, s) {
			env.report.recordViolation("step %s is incomplete %s after all faults ended: %d of %d results", s.id, recoveryWaitLimit, len(s.results), stepItems)
			return
		}
		env.checkStep(s)
		env.endSubmission(random, s)
		env.publishWeights()
		env.report.count("steps completed")
	}
}

// submit sends a submission until it is accepted. It returns false if the submission was rejected
// or if ctx was done first.
func (env *environment) submit(ctx context.Context, random *rand.Rand, s *step) bool {
	body := platformtest.SubmissionFrom(s.id, stepItems, s.minVersion)
	for {
		status, _ := env.send(env.randomNode(random), http.MethodPost, "/draft/"+s.id, s.id, body)
		switch {
		case status == http.StatusAccepted:
			return true
		case status >= 400 && status < 500 && !meansNotRun(status):
			env.report.recordViolation("submission %s was rejected with status %d", s.id, status)
			return false
		}
		env.report.count("submissions resent")
		if !wait.For(ctx, retryPause) {
			return false
		}
	}
}

// readAll reads results from random nodes until it has them all. It returns false if some are
// missing recoveryWaitLimit after ctx was done.
func (env *environment) readAll(ctx context.Context, random *rand.Rand, s *step) bool {
	var ended time.Time
	for len(s.results) < stepItems {
		env.readPage(random, s)
		if ctx.Err() != nil && ended.IsZero() {
			ended = time.Now()
		}
		if !ended.IsZero() && time.Since(ended) > recoveryWaitLimit {
			return false
		}
		wait.For(context.WithoutCancel(ctx), readPause)
	}
	return true
}

// readPage requests a page of results. It starts at the first unread position or, at random, at an
// earlier one, so that results are also read again.
func (env *environment) readPage(random *rand.Rand, s *step) {
	n := env.randomNode(random)
	after := random.IntN(len(s.results) + 1)
	if random.IntN(2) == 0 {
		after = len(s.results)
	}
	status, body := env.send(n, http.MethodGet, fmt.Sprintf("%s?after=%d", platformtest.ResultsPath(s.id), after), "", nil)
	switch status {
	case http.StatusOK:
	case http.StatusNotFound, http.StatusGone:
		env.report.recordViolation("%s at %s: reading the accepted submission %s got status %d", time.Now().Format(time.TimeOnly), n.name, s.id, status)
		return
	default:
		env.report.count("reads failed")
		return
	}
	page, err := platformtest.DecodePage(body)
	if err != nil || page.Total != stepItems || page.Next != after+len(page.Results) {
		env.report.recordViolation("results of %s after %d: total %d, next %d, %v", s.id, after, page.Total, page.Next, err)
		return
	}
	for i, result := range page.Results {
		env.recordResult(s, after+i, result)
	}
}

// recordResult stores the result at a new position. At a position that was read before, the result
// must equal the stored one.
func (env *environment) recordResult(s *step, position int, result platformtest.Result) {
	if position == len(s.results) {
		s.results = append(s.results, result)
		env.report.count("samples read")
		return
	}
	old := s.results[position]
	if old.ID != result.ID || old.Output != result.Output || old.Score != result.Score || !slices.Equal(old.Versions, result.Versions) {
		env.report.recordViolation("position %d of %s changed from %s to %s", position, s.id, old.ID, result.ID)
	}
}

// checkStep checks that each item occurs once and is completed, with its complete text, its own
// score and only weight versions that are not older than allowed.
func (env *environment) checkStep(s *step) {
	seen := map[string]bool{}
	for _, result := range s.results {
		if seen[result.ID] {
			env.report.recordViolation("item %s of %s occurs twice", result.ID, s.id)
		}
		seen[result.ID] = true
		if result.State != "completed" {
			env.report.recordViolation("item %s of %s has state %s", result.ID, s.id, result.State)
			continue
		}
		if result.Output != platformtest.Text(result.ID, textEvents) || result.Score != platformtest.Stamp("s-"+result.ID) {
			env.report.recordViolation("item %s of %s has a wrong text or score", result.ID, s.id)
		}
		if len(result.Versions) == 0 || slices.Min(result.Versions) < int64(s.minVersion) {
			env.report.recordViolation("item %s of %s was generated by weight versions %v, the oldest allowed is %d", result.ID, s.id, result.Versions, s.minVersion)
		}
	}
}

// endSubmission ends a submission, which keeps the results that are already listed. It tries at
// most three times.
func (env *environment) endSubmission(random *rand.Rand, s *step) {
	for range 3 {
		if status, _ := env.send(env.randomNode(random), http.MethodDelete, platformtest.ResultsPath(s.id), "", nil); status == http.StatusOK {
			return
		}
	}
	env.report.count("submission ends not confirmed")
}

// publishWeights publishes the next weight version.
func (env *environment) publishWeights() {
	env.mu.Lock()
	env.weightVersion++
	version := env.weightVersion
	env.mu.Unlock()
	env.store.NameVersion(modelName, version)
	env.report.count("weight versions published")
}
