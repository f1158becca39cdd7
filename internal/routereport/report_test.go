package routereport

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/route"
)

func newTestRecorder() (*Recorder, *time.Time) {
	now := time.Unix(1_000_000, 0)
	return &Recorder{Now: func() time.Time { return now }}, &now
}

func TestFiguresCoverTheWindow(t *testing.T) {
	r, now := newTestRecorder()
	r.Ended("a", Answered, 10*time.Millisecond, 20*time.Millisecond)
	r.Ended("a", Answered, 30*time.Millisecond, 20*time.Millisecond)
	r.Ended("a", Refused, 0, 0)
	*now = now.Add(Window - slotTime)
	r.Ended("b", Answered, time.Hour, 0)
	figures := r.Figures()
	require.Len(t, figures, 2)
	require.Equal(t, [OutcomeCount]int64{Answered: 2, Refused: 1}, figures[0].Counts)
	require.EqualValues(t, 1, figures[0].InTime)
	require.EqualValues(t, 1, figures[1].InTime, "without a target each answer is in time")
	*now = now.Add(slotTime)
	figures = r.Figures()
	require.Len(t, figures, 1)
	require.Equal(t, "b", figures[0].Route)
	*now = now.Add(time.Hour)
	require.Empty(t, r.Figures())
}

func TestRoutesAreBounded(t *testing.T) {
	r, _ := newTestRecorder()
	for i := range 2 * maxRoutes {
		r.Ended(fmt.Sprint(i), Answered, 0, 0)
	}
	require.Len(t, r.Figures(), maxRoutes)
}

func TestOutcomes(t *testing.T) {
	for status, want := range map[int]Outcome{
		200: Answered, 500: Answered, 400: Rejected, 404: Rejected, 413: Rejected, 431: Rejected,
		408: Refused, 421: Refused, 429: Refused, 503: Refused, 502: Unknown, 504: Unknown,
	} {
		require.Equal(t, want, OutcomeOf(status, nil), status)
	}
	broken := errors.New("connection broken")
	require.Equal(t, Unknown, OutcomeOf(0, broken), "a stream that was interrupted")
	require.Equal(t, Unknown, OutcomeOf(200, broken), "an answer that was not written completely")
	require.Equal(t, Refused, OutcomeOf(503, broken), "a refusal means that nothing ran, even if its answer failed")
	require.Equal(t, Rejected, OutcomeOf(404, broken))
}

func configuration(routes ...*route.Route) *route.Configuration {
	return route.New(7, routes, nil, route.Limits{})
}

func testRoute(name string) *route.Route {
	return &route.Route{
		Name: name, Kind: route.Idempotent, Target: 400 * time.Millisecond, Services: []route.Target{{Service: "app", Weight: 1}},
	}
}

// fill records requests that ended in time, late, refused and unknown.
func fill(r *Recorder, name string, inTime, late, refused, unknown int) {
	for range inTime {
		r.Ended(name, Answered, 90*time.Millisecond, 400*time.Millisecond)
	}
	for range late {
		r.Ended(name, Answered, 900*time.Millisecond, 400*time.Millisecond)
	}
	for range refused {
		r.Ended(name, Refused, 0, 0)
	}
	for range unknown {
		r.Ended(name, Unknown, 0, 0)
	}
}

func TestWorstRouteIsFirstWithItsLargestCause(t *testing.T) {
	r, _ := newTestRecorder()
	fill(r, "good", 99, 1, 0, 0)
	fill(r, "late", 80, 20, 1, 1)
	fill(r, "refused", 50, 10, 40, 0)
	fill(r, "unknown", 97, 1, 0, 2)
	report := Build(configuration(testRoute("idle"), testRoute("good"), testRoute("late"), testRoute("refused"), testRoute("unknown")), r.Figures())
	report.NodesReporting, report.Nodes = 2, 3
	require.Equal(t, `00:00:00 UTC, configuration 7
last 1m0s, 2 of 3 nodes heard
! figures partial: nodes not heard
refused: MISSED, 50.0% of 100 in time
  10 late, 40 refused, 0 unknown; p99 1s
  do: more endpoints for app
  or a longer timeout of the route
late: MISSED, 78.4% of 102 in time
  20 late, 1 refused, 1 unknown; p99 1s
  do: more endpoints for app
  or a longer target of the route
unknown: MISSED, 97.0% of 100 in time
  1 late, 0 refused, 2 unknown; p99 1s
  do: check the endpoints of app
  that died (explain ID, event 8014)
good: met, 99.0% of 100 in time
idle: not known, no requests ended
`, report.Text())
}

func TestStepsAreLateAfterTheirDeadline(t *testing.T) {
	r, _ := newTestRecorder()
	steps := &route.Route{Name: "steps", Kind: route.Batch, RunDeadline: 9 * time.Second, Services: []route.Target{{Service: "lm", Weight: 1}}}
	r.Ended("steps", Answered, 8*time.Second, TargetOf(steps))
	r.Ended("steps", Answered, 10*time.Second, TargetOf(steps))
	text := Build(configuration(steps), r.Figures()).Text()
	require.Contains(t, text, "steps: MISSED, 50.0% of 2 in time\n  1 late, 0 refused, 0 unknown\n  do: more engines for lm")
}

// TestReportFitsAPhone checks the size limits for many missed routes with long names.
func TestReportFitsAPhone(t *testing.T) {
	for _, count := range []int{0, 1, 5, 6, 30} {
		r, _ := newTestRecorder()
		var routes []*route.Route
		for i := range count {
			name := fmt.Sprintf("a-very-long-name-of-a-route-<&>-%d", i)
			routes = append(routes, testRoute(name))
			fill(r, name, 1, 1_000, 0, 0)
		}
		report := Build(configuration(routes...), r.Figures())
		report.Nodes, report.StoreLost = 1, true
		lines := strings.Split(strings.TrimSuffix(report.Text(), "\n"), "\n")
		require.LessOrEqual(t, len(lines), 24)
		for _, line := range lines {
			require.LessOrEqual(t, utf8.RuneCountInString(line), 45)
		}
		require.NotContains(t, report.HTML(), "<&>")
	}
}

func TestReportWithoutConfiguration(t *testing.T) {
	require.Contains(t, Build(nil, nil).Text(), "no configuration yet")
}
