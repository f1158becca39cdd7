package soak

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/platform/platformtest"
)

// plainWorld is a world of one endpoint without a node.
func plainWorld(t *testing.T) *world {
	t.Helper()
	w := &world{report: &Report{}, store: platformtest.NewStore(), client: &http.Client{}, updates: map[string]int{}}
	t.Cleanup(w.close)
	w.addEndpoint("app-0", servicePlain)
	return w
}

// run makes a request run at an endpoint itself.
func run(t *testing.T, w *world, id string) {
	t.Helper()
	request, err := w.all[0].Request(http.MethodPost, "/update/x", id)
	require.NoError(t, err)
	response, err := w.client.Do(request)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
}

// TestChecksOfUpdates: each false answer about a request that may run once at most
// is found, and nothing else.
func TestChecksOfUpdates(t *testing.T) {
	for _, row := range []struct {
		name   string
		runs   int
		status int
		broken bool
	}{
		{"answered", 1, 200, false},
		{"refused", 0, 503, false},
		{"unknown and ran", 1, 0, false},
		{"unknown and did not run", 0, 504, false},
		{"ran twice", 2, 200, true},
		{"refused though it ran", 1, 503, true},
		{"answered though it did not run", 0, 200, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			w := plainWorld(t)
			for range row.runs {
				run(t, w, "u")
			}
			w.updates["u"] = row.status
			w.checkUpdates()
			require.Equal(t, row.broken, len(w.report.Violations()) > 0, w.report)
		})
	}
}

// TestChecksOfSteps: each fault of a step's results is found.
func TestChecksOfSteps(t *testing.T) {
	good := func(id string) platformtest.Result {
		return platformtest.Result{
			ID: id, State: "completed", Output: platformtest.Text(id, textEvents), Score: platformtest.Stamp("s-" + id), Versions: []int64{3},
		}
	}
	for name, spoil := range map[string]func(*platformtest.Result){
		"given up":          func(r *platformtest.Result) { r.State = "abandoned" },
		"short text":        func(r *platformtest.Result) { r.Output = platformtest.Text(r.ID, textEvents-1) },
		"another's score":   func(r *platformtest.Result) { r.Score = platformtest.Stamp("s-b") },
		"old weights":       func(r *platformtest.Result) { r.Versions = []int64{2, 3} },
		"no word of weight": func(r *platformtest.Result) { r.Versions = nil },
		"twice":             func(r *platformtest.Result) { *r = good("b") },
	} {
		t.Run(name, func(t *testing.T) {
			w := plainWorld(t)
			s := &step{id: "s", minVersion: 3}
			w.take(s, 0, good("a"))
			w.take(s, 1, good("b"))
			w.take(s, 1, good("b"))
			w.checkStep(s)
			require.Empty(t, w.report.Violations())
			spoil(&s.results[0])
			w.checkStep(s)
			require.NotEmpty(t, w.report.Violations())
		})
	}
	w := plainWorld(t)
	s := &step{id: "s", results: []platformtest.Result{good("a")}}
	w.take(s, 0, good("b"))
	require.NotEmpty(t, w.report.Violations(), "a position holds another result than before")
}
