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

// Sizes and pauses of a trainer.
const (
	stepItems  = 12
	readPause  = 150 * time.Millisecond
	retryPause = 150 * time.Millisecond
)

// step is one submission as its trainer sees it.
type step struct {
	id         string
	minVersion int
	// results are those read so far, by position.
	results []platformtest.Result
}

// train asks step after step, and names new weights after each. When the load
// ends, the step that is open is read to its end.
func (w *world) train(ctx context.Context, random *rand.Rand) {
	name := random.Uint32()
	for i := 0; ctx.Err() == nil; i++ {
		w.mu.Lock()
		s := &step{id: fmt.Sprintf("t%d-%d", name, i), minVersion: max(w.named-1, 1)}
		w.mu.Unlock()
		if !w.submit(ctx, random, s) {
			return
		}
		if !w.readAll(ctx, random, s) {
			w.report.breach("step %s is not whole %s after all was healed: %d of %d", s.id, healPatience, len(s.results), stepItems)
			return
		}
		w.checkStep(s)
		w.end(random, s)
		w.nameWeights()
		w.report.count("steps whole")
	}
}

// submit sends a submission until it is accepted; false when the load ended before.
func (w *world) submit(ctx context.Context, random *rand.Rand, s *step) bool {
	body := platformtest.SubmissionFrom(s.id, stepItems, s.minVersion)
	for {
		status, _ := w.send(w.any(random), http.MethodPost, "/draft/"+s.id, s.id, body)
		switch {
		case status == http.StatusAccepted:
			return true
		case status >= 400 && status < 500 && !isPromise(status):
			w.report.breach("submission %s was answered %d", s.id, status)
			return false
		}
		w.report.count("submissions sent again")
		if !wait.For(ctx, retryPause) {
			return false
		}
	}
}

// readAll reads at any node until all results are there; false when they are not
// for long after the load has ended.
func (w *world) readAll(ctx context.Context, random *rand.Rand, s *step) bool {
	var ended time.Time
	for len(s.results) < stepItems {
		w.read(random, s)
		if ctx.Err() != nil && ended.IsZero() {
			ended = time.Now()
		}
		if !ended.IsZero() && time.Since(ended) > healPatience {
			return false
		}
		wait.For(context.WithoutCancel(ctx), readPause)
	}
	return true
}

// read reads from a position that was read before, or from the first that was not.
func (w *world) read(random *rand.Rand, s *step) {
	n := w.any(random)
	after := random.IntN(len(s.results) + 1)
	if random.IntN(2) == 0 {
		after = len(s.results)
	}
	status, body := w.send(n, http.MethodGet, fmt.Sprintf("%s?after=%d", platformtest.ResultsPath(s.id), after), "", nil)
	switch status {
	case http.StatusOK:
	case http.StatusNotFound, http.StatusGone:
		w.report.breach("%s at %s: submission %s was accepted and is answered %d", time.Now().Format(time.TimeOnly), n.name, s.id, status)
		return
	default:
		w.report.count("reads put off")
		return
	}
	page, err := platformtest.DecodePage(body)
	if err != nil || page.Total != stepItems || page.Next != after+len(page.Results) {
		w.report.breach("results of %s after %d: total %d, next %d, %v", s.id, after, page.Total, page.Next, err)
		return
	}
	for i, result := range page.Results {
		w.take(s, after+i, result)
	}
}

// take compares a result with what stood at its position before.
func (w *world) take(s *step, position int, result platformtest.Result) {
	if position == len(s.results) {
		s.results = append(s.results, result)
		w.report.count("samples read")
		return
	}
	old := s.results[position]
	if old.ID != result.ID || old.Output != result.Output || old.Score != result.Score || !slices.Equal(old.Versions, result.Versions) {
		w.report.breach("position %d of %s held %s and holds %s", position, s.id, old.ID, result.ID)
	}
}

// checkStep checks that each item stands once, whole, scored, and from weights that
// are new enough.
func (w *world) checkStep(s *step) {
	seen := map[string]bool{}
	for _, result := range s.results {
		if seen[result.ID] {
			w.report.breach("item %s of %s stands twice", result.ID, s.id)
		}
		seen[result.ID] = true
		if result.State != "completed" {
			w.report.breach("item %s of %s is %s", result.ID, s.id, result.State)
			continue
		}
		if result.Output != platformtest.Text(result.ID, textEvents) || result.Score != platformtest.Stamp("s-"+result.ID) {
			w.report.breach("item %s of %s has another text or score", result.ID, s.id)
		}
		if len(result.Versions) == 0 || slices.Min(result.Versions) < int64(s.minVersion) {
			w.report.breach("item %s of %s was written by versions %v, %d was the oldest allowed", result.ID, s.id, result.Versions, s.minVersion)
		}
	}
}

// end ends a submission; whatever was listed remains.
func (w *world) end(random *rand.Rand, s *step) {
	for range 3 {
		if status, _ := w.send(w.any(random), http.MethodDelete, platformtest.ResultsPath(s.id), "", nil); status == http.StatusOK {
			return
		}
	}
	w.report.count("ends not confirmed")
}

// nameWeights names the next version of the weights.
func (w *world) nameWeights() {
	w.mu.Lock()
	w.named++
	named := w.named
	w.mu.Unlock()
	w.store.NameVersion(modelName, named)
	w.report.count("versions named")
}
