package report

import (
	"fmt"
	"testing"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/class"
	"github.com/comfreyfront/comfreyfront/internal/control"
	"github.com/comfreyfront/comfreyfront/internal/dispatch"
	"github.com/comfreyfront/comfreyfront/internal/endpoint"
	"github.com/comfreyfront/comfreyfront/internal/peer/peerpb"
	"github.com/comfreyfront/comfreyfront/internal/request"
	"github.com/comfreyfront/comfreyfront/internal/step"
	"github.com/comfreyfront/comfreyfront/internal/traffic"
	"github.com/stretchr/testify/require"
)

// TestAdviceFitsTheCause has a row for each cause of a missed target.
func TestAdviceFitsTheCause(t *testing.T) {
	late := &peerpb.ClassDigest{Answered: 10, InTime: 5}
	stale := &peerpb.ClassDigest{Answered: 10, InTime: 10, Versioned: 10, Stale: 3, MaxBehind: 4}
	refused := func(digest *peerpb.ClassDigest) *peerpb.ClassDigest {
		digest.NotRun = 10
		return digest
	}
	unchanged := func(*control.Snapshot) {}
	upToDate := func(s *control.Snapshot) {
		for _, e := range s.Endpoints["drafting"] {
			e.ActiveVersion = 8
		}
	}
	load := func(running int) func(*control.Snapshot) {
		return func(s *control.Snapshot) {
			for _, e := range s.Endpoints["drafting"] {
				e.Slots, e.Running = 8, running
			}
		}
	}
	for _, row := range []struct {
		want   string
		state  func(*control.Snapshot)
		counts *peerpb.ClassDigest
	}{
		{"queues full: add endpoints", load(8), late},
		{"loads not known: check the endpoints", load(8), &peerpb.ClassDigest{Answered: 10, Serves: []string{"register"}}},
		{"no usable endpoint: add endpoints", unchanged, refused(&peerpb.ClassDigest{NoEndpoint: 10, Serves: []string{"register"}})},
		{"not full, none slow: raise lateness", func(s *control.Snapshot) {
			load(1)(s)
			s.Endpoints["register"] = []*endpoint.Endpoint{{Slots: 1, Running: 1, Demotion: 0.5}}
		}, &peerpb.ClassDigest{Answered: 10, Serves: []string{"drafting"}}},
		{"not full, none slow: raise lateness", load(1), late},
		{"loads not known: check the endpoints", unchanged, late},
		{"replace slow endpoints (1)", func(s *control.Snapshot) { s.Endpoints["drafting"][0].Demotion = 0.5 }, late},
		{"restore the key-value service", func(s *control.Snapshot) { s.StoreReachable = false }, refused(&peerpb.ClassDigest{Unclaimed: 10})},
		{"store or an entry was down: retry them", unchanged, refused(&peerpb.ClassDigest{Unclaimed: 10})},
		{"5 of 9 replicas lag: wait or restart", unchanged, refused(&peerpb.ClassDigest{NoEndpoint: 10})},
		{"no usable endpoint: add endpoints", upToDate, refused(&peerpb.ClassDigest{NoEndpoint: 10})},
		{"queues full: add endpoints", unchanged, refused(&peerpb.ClassDigest{Full: 10})},
		{"bad requests: fix the callers", unchanged, refused(&peerpb.ClassDigest{Invalid: 10})},
		{"cause not known: see the entries' logs", unchanged, refused(&peerpb.ClassDigest{})},
		{"replace endpoints that die", unchanged, &peerpb.ClassDigest{Unknown: 1}},
		{"5 of 9 replicas lag: wait or restart", unchanged, stale},
		{"allow older weights, or fewer rollouts", upToDate, stale},
		{"", unchanged, &peerpb.ClassDigest{Answered: 10, InTime: 10, Versioned: 10, MaxBehind: 2}},
	} {
		s := testSnapshot()
		row.state(s)
		row.counts.Class = "drafts"
		r := Build(noon, s, digests(1, func(int) *peerpb.ClassDigest { return row.counts }))
		for _, c := range r.Classes {
			if c.Class.Name == "drafts" {
				require.Equal(t, row.want, c.Advice)
			}
		}
		require.Contains(t, r.Text(), row.want)
	}
}

func TestFreshnessLine(t *testing.T) {
	versions, age := class.Freshness{Versions: 2}, class.Freshness{Age: 20 * time.Minute}
	for want, f := range map[string]Freshness{
		"":                                    {Target: versions},
		"1 version behind at most (target 2)": {Target: versions, Known: 9, Worst: 1},
		"3 versions behind, 4 not known (target 2)":  {Target: versions, Known: 9, Unknown: 4, Worst: 3},
		"freshness not known (target 2 versions)":    {Target: versions, Unknown: 9},
		"0 versions behind at most (target 0)":       {Target: class.Freshness{Newest: true}, Known: 9},
		"0s outdated at most (target 20m)":           {Target: age, Known: 9, Worst: 1},
		"1h1m outdated, 600k not known (target 20m)": {Target: age, Known: 9, Unknown: 600_000, WorstAge: 61 * time.Minute},
		"21m0s outdated, 1 not known (target 20m)":   {Target: age, Unknown: 1, Stale: 1, WorstAge: 21 * time.Minute},
		"freshness not known (target 20m)":           {Target: age, Unknown: 1},
	} {
		require.Equal(t, want, f.Line())
	}
	require.Equal(t, "1m0s", Freshness{Target: age, WorstAge: 21 * time.Minute}.Missed())
	require.Equal(t, "1 version", Freshness{Target: versions, Worst: 3}.Missed())
	require.Equal(t, Freshness{Target: age, Known: 3, Unknown: 6}, freshnessOf(age, &peerpb.ClassDigest{Versioned: 5, Unversioned: 4, Aged: 3}))
	require.Empty(t, Freshness{Known: 9, Worst: 7}.Line(), "without a target there is no line")
}

func TestRecorderCountsWeightsAndCauses(t *testing.T) {
	r := NewRecorder(func() time.Time { return noon })
	record := func(rec traffic.Record) {
		rec.Class, rec.Serves = "drafts", "drafting"
		r.Record(rec)
	}
	record(traffic.Record{Outcome: request.Answered, Weights: dispatch.Weights{Used: true, Known: true, Behind: 3, Age: time.Minute}, Stale: true})
	record(traffic.Record{Outcome: request.Answered, Weights: dispatch.Weights{Used: true, Known: true, Behind: 1, Age: time.Second, AgeKnown: true}})
	record(traffic.Record{Outcome: request.Answered, Weights: dispatch.Weights{Used: true}})
	record(traffic.Record{Outcome: request.Answered})
	for cause := traffic.RefusedOther; cause <= traffic.RefusedNoEndpoint; cause++ {
		for range cause {
			record(traffic.Record{Outcome: request.NotRun, Refusal: cause})
		}
	}
	got := r.Digests(testSnapshot().Classes)[1]
	require.Equal(t, []int64{2, 1, 1, 3}, []int64{got.Versioned, got.Unversioned, got.Stale, got.MaxBehind})
	require.Equal(t, []string{"drafting"}, got.Serves)
	require.Equal(t, []int64{1, 60_000}, []int64{got.Aged, got.MaxWeightsAgeMs})
	for i := range 2 * maxServes {
		r.Observe(Observation{Class: "drafts", Serves: fmt.Sprint(i)})
	}
	require.Len(t, r.Digests(testSnapshot().Classes)[1].Serves, maxServes)
	require.Equal(t, []int64{10, 1, 2, 3, 4}, []int64{got.NotRun, got.Invalid, got.Full, got.Unclaimed, got.NoEndpoint})
}

func TestStepsAreReportedOnceAndBounded(t *testing.T) {
	var owned []step.Status
	for i := range maxStepsPerDigest + 2 {
		owned = append(owned, step.Status{Trainer: "t", Step: int64(i), Class: "drafts", Samples: 10, Left: time.Hour, Needed: time.Duration(i) * 10 * time.Minute, Estimated: true})
	}
	classDigests := []*peerpb.ClassDigest{{Class: "lookups"}, {Class: "drafts"}}
	addSteps(classDigests, owned)
	require.Empty(t, classDigests[0].Steps)
	require.Len(t, classDigests[1].Steps, maxStepsPerDigest)
	allDigests := digests(2, func(int) *peerpb.ClassDigest { return classDigests[1] })
	allDigests[0].Age = time.Minute
	r := Build(noon, testSnapshot(), allDigests[1:])
	require.Len(t, r.Steps, maxStepsPerDigest)
	require.Equal(t, 2, r.StepsOmitted)
	require.Contains(t, r.Text(), "likely late by 30m")
	previous := &peerpb.ClassDigest{Class: "drafts", Steps: []*peerpb.StepDigest{{Trainer: "t", Step: 9, Samples: 10, LeftMs: -1}}}
	both := digests(2, func(entry int) *peerpb.ClassDigest {
		return []*peerpb.ClassDigest{previous, {Class: "drafts", Steps: classDigests[1].Steps}}[entry]
	})
	both[0].Age = time.Minute
	require.Len(t, Build(noon, testSnapshot(), both).Steps, maxStepsPerDigest, "the older report of the previous owner is ignored")
}
