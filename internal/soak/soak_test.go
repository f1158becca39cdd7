package soak

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/platform/platformtest"
)

// newPlainEnvironment returns an environment with one plain endpoint and no nodes.
func newPlainEnvironment(t *testing.T) *environment {
	t.Helper()
	env := &environment{report: &Report{}, store: platformtest.NewStore(), client: &http.Client{}, updates: map[string]int{}}
	t.Cleanup(env.close)
	env.addEndpoint("app-0", servicePlain)
	return env
}

// runDirectly sends a request straight to the endpoint, which runs it.
func runDirectly(t *testing.T, env *environment, id string) {
	t.Helper()
	request, err := env.started[0].Request(http.MethodPost, "/update/x", id)
	require.NoError(t, err)
	response, err := env.client.Do(request)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
}

// TestCheckUpdates checks that each wrong status of an update is reported as a violation, and that
// no correct status is.
func TestCheckUpdates(t *testing.T) {
	for _, test := range []struct {
		name      string
		runs      int
		status    int
		violation bool
	}{
		{"answered", 1, 200, false},
		{"refused", 0, 503, false},
		{"outcome unknown and ran", 1, 0, false},
		{"outcome unknown and did not run", 0, 504, false},
		{"ran twice", 2, 200, true},
		{"refused although it ran", 1, 503, true},
		{"answered although it did not run", 0, 200, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			env := newPlainEnvironment(t)
			for range test.runs {
				runDirectly(t, env, "u")
			}
			env.updates["u"] = test.status
			env.checkUpdates()
			require.Equal(t, test.violation, len(env.report.Violations()) > 0, env.report)
		})
	}
}

// TestCheckStep checks that each kind of error in the results of a step is reported as a violation.
func TestCheckStep(t *testing.T) {
	good := func(id string) platformtest.Result {
		return platformtest.Result{
			ID: id, State: "completed", Output: platformtest.Text(id, textEvents), Score: platformtest.Stamp("s-" + id), Versions: []int64{3},
		}
	}
	for name, corrupt := range map[string]func(*platformtest.Result){
		"abandoned":             func(r *platformtest.Result) { r.State = "abandoned" },
		"truncated text":        func(r *platformtest.Result) { r.Output = platformtest.Text(r.ID, textEvents-1) },
		"score of another item": func(r *platformtest.Result) { r.Score = platformtest.Stamp("s-b") },
		"weights too old":       func(r *platformtest.Result) { r.Versions = []int64{2, 3} },
		"no weight versions":    func(r *platformtest.Result) { r.Versions = nil },
		"duplicate item":        func(r *platformtest.Result) { *r = good("b") },
	} {
		t.Run(name, func(t *testing.T) {
			env := newPlainEnvironment(t)
			s := &step{id: "s", minVersion: 3}
			env.recordResult(s, 0, good("a"))
			env.recordResult(s, 1, good("b"))
			env.recordResult(s, 1, good("b"))
			env.checkStep(s)
			require.Empty(t, env.report.Violations())
			corrupt(&s.results[0])
			env.checkStep(s)
			require.NotEmpty(t, env.report.Violations())
		})
	}
	env := newPlainEnvironment(t)
	s := &step{id: "s", results: []platformtest.Result{good("a")}}
	env.recordResult(s, 0, good("b"))
	require.NotEmpty(t, env.report.Violations(), "the result at a position changed")
}
