package report

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/comfreyfront/comfreyfront/internal/class"
	"github.com/comfreyfront/comfreyfront/internal/control"
	"github.com/comfreyfront/comfreyfront/internal/endpoint"
	"github.com/comfreyfront/comfreyfront/internal/exchange"
	"github.com/comfreyfront/comfreyfront/internal/peer/peerpb"
	"github.com/comfreyfront/comfreyfront/internal/request"
	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "write the golden files")

var noon = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

func testSnapshot() *control.Snapshot {
	d := &class.Document{Revision: 12, Classes: []class.Class{
		{Name: "lookups", Lateness: 800 * time.Millisecond, Completeness: 0.995},
		{Name: "drafts", Lateness: 28 * time.Minute, Freshness: class.Freshness{Versions: 2}, Completeness: 0.95},
		{Name: "updates", Lateness: 2 * time.Second, Completeness: 0.999},
	}}
	s := &control.Snapshot{Classes: d, ConfirmedAt: noon, StoreReachable: true, Versions: map[string]control.Versions{"drafting": {Newest: 8}}, Endpoints: map[string][]*endpoint.Endpoint{}}
	for i := range 6 {
		s.Peers = append(s.Peers, control.Peer{ID: fmt.Sprint("entry", i)})
	}
	for i := range 9 {
		s.Endpoints["drafting"] = append(s.Endpoints["drafting"], &endpoint.Endpoint{ActiveVersion: int64(7 + i%2), Unready: i == 0})
	}
	return s
}

func digests(entries int, digestOf func(entry int) *peerpb.ClassDigest) []exchange.Digest {
	var result []exchange.Digest
	for i := range entries {
		digest := digestOf(i)
		digest.Entry = fmt.Sprint("entry", i)
		result = append(result, exchange.Digest{News: digest, Age: time.Second})
	}
	return result
}

func lookups(inTime int64) func(int) *peerpb.ClassDigest {
	return func(entry int) *peerpb.ClassDigest {
		return &peerpb.ClassDigest{Class: "lookups", Answered: 1000, InTime: inTime, Retries: 2, Hedges: 30, P50Ms: 60, P99Ms: 200 + int64(entry)}
	}
}

func noWork(name string) func(int) *peerpb.ClassDigest {
	return func(int) *peerpb.ClassDigest { return &peerpb.ClassDigest{Class: name} }
}

// rollout returns a digest with drafts that are in time but stale, and with two steps.
func rollout(entry int) *peerpb.ClassDigest {
	digest := &peerpb.ClassDigest{Class: "drafts", Answered: 50, InTime: 50, Versioned: 49, Unversioned: 1, Stale: 2, MaxBehind: 3, P99Ms: 9000}
	if entry == 0 {
		digest.Steps = []*peerpb.StepDigest{
			{Trainer: "hydrometra", Step: 12, Samples: 4096, Delivered: 2500, Discarded: 7, LeftMs: 600_000, NeededMs: 420_000},
			{Trainer: "hydrometra", Step: 13, Samples: 4096, LeftMs: 1_600_000, NeededMs: notEstimated},
		}
		digest.StepsLeftOut = 1
	}
	return digest
}

func scenarios() map[string]Report {
	calm := append(append(digests(6, lookups(1000)), digests(6, noWork("updates"))...), digests(6, noWork("drafts"))...)
	overload := append(digests(6, lookups(990)), digests(6, func(int) *peerpb.ClassDigest {
		return &peerpb.ClassDigest{Class: "drafts", Answered: 80, InTime: 80, NotRun: 20, Full: 20, P99Ms: 100000}
	})...)
	overload = append(overload, digests(6, func(int) *peerpb.ClassDigest {
		return &peerpb.ClassDigest{Class: "updates", Answered: 90, InTime: 90, Unknown: 2, P99Ms: 40}
	})...)
	disconnected := testSnapshot()
	disconnected.StoreReachable, disconnected.ConfirmedAt = false, noon.Add(-time.Hour)
	disconnected.Endpoints["drafting"][3].Demotion = 0.5
	many := testSnapshot()
	many.Classes.Classes = nil
	var manyDigests []exchange.Digest
	for i := range class.MaxClasses {
		name := fmt.Sprintf("class-with-quite-a-long-name-%02d", i)
		many.Classes.Classes = append(many.Classes.Classes, class.Class{Name: name, Lateness: 1500 * time.Millisecond, Completeness: 0.999})
		manyDigests = append(manyDigests, digests(6, func(int) *peerpb.ClassDigest {
			return &peerpb.ClassDigest{Class: name, Answered: 1234567, InTime: 1, NotRun: 1234, Unknown: 5, Retries: 99999, Hedges: 77777, P99Ms: 123456}
		})...)
	}
	for i := range 9 {
		many.Endpoints[fmt.Sprintf("a-model-with-quite-a-long-name-%d", i)] = many.Endpoints["drafting"]
	}
	training := testSnapshot()
	for _, e := range training.Endpoints["drafting"] {
		e.Slots, e.Running = 8, 8
	}
	training.Classes.Classes[0].Completeness = 0.95
	training.Classes.Classes = append(training.Classes.Classes, class.Class{Name: "tagging", Lateness: time.Second, Freshness: class.Freshness{Age: 20 * time.Minute}, Completeness: 0.9})
	busy := append(digests(6, lookups(940)), digests(6, rollout)...)
	busy = append(busy, digests(6, func(int) *peerpb.ClassDigest {
		return &peerpb.ClassDigest{Class: "tagging", Answered: 10, InTime: 10, Versioned: 10, MaxBehind: 1, Stale: 1, Aged: 8, MaxWeightsAgeMs: 1_260_000}
	})...)
	for i := range maxStepsShown + 2 {
		many.Classes.Classes[i].Freshness.Newest = true
		manyDigests[6*i].News.Steps = append(manyDigests[6*i].News.Steps, &peerpb.StepDigest{Trainer: strings.Repeat("t", 64), Step: int64(i), Samples: 4096, Delivered: 4095, Discarded: 1234567, LeftMs: 1, NeededMs: 3600_000_000})
	}
	empty := &control.Snapshot{Classes: &class.Document{}}
	return map[string]Report{
		"calm":     Build(noon, testSnapshot(), calm),
		"overload": Build(noon, testSnapshot(), overload),
		"cut":      Build(noon, disconnected, digests(2, lookups(1000))),
		"many":     Build(noon, many, manyDigests),
		"training": Build(noon, training, busy),
		"empty":    Build(noon, empty, nil),
	}
}

func TestReportsMatchGoldenFilesAndFitAPhone(t *testing.T) {
	for name, r := range scenarios() {
		for ending, content := range map[string]string{"txt": r.Text(), "html": r.HTML()} {
			path := filepath.Join("testdata", name+"."+ending)
			if *update {
				require.NoError(t, os.WriteFile(path, []byte(content), 0o644))
			}
			want, err := os.ReadFile(path)
			require.NoError(t, err)
			require.Equal(t, string(want), content, path)
		}
		lines := strings.Split(strings.TrimSuffix(r.Text(), "\n"), "\n")
		require.Less(t, len(lines), 25, name)
		for _, line := range lines {
			require.LessOrEqual(t, utf8.RuneCountInString(line), 45, line)
		}
	}
}

func TestReportShowsWhatIsUnknown(t *testing.T) {
	report := scenarios()["cut"]
	require.Equal(t, 2, report.EntriesReporting)
	require.Contains(t, report.Text(), "4 entries not heard")
	require.Contains(t, report.Text(), "store unreachable")
	require.Contains(t, report.Text(), "unconfirmed")
	require.Contains(t, report.Text(), "not known: drafts")
	stale := digests(6, lookups(1000))
	for i := range stale {
		stale[i].Age = maxDigestAge + time.Second
	}
	require.Equal(t, NotKnown, Build(noon, testSnapshot(), stale).Classes[0].Status)
}

func TestPageEscapesNames(t *testing.T) {
	s := testSnapshot()
	s.Endpoints["<script>"] = s.Endpoints["drafting"]
	require.NotContains(t, Build(noon, s, nil).HTML(), "<script>")
}

func TestRecorderWindow(t *testing.T) {
	now := noon
	r := NewRecorder(func() time.Time { return now })
	d := testSnapshot().Classes
	for i := range 100 {
		r.Observe(Observation{Class: "lookups", Outcome: request.Answered, Took: time.Duration(i+1) * time.Millisecond, InTime: i < 90, Retries: i % 2})
	}
	r.Observe(Observation{Class: "lookups", Outcome: request.NotRun})
	r.Observe(Observation{Class: "lookups", Outcome: request.Unknown, Hedges: 1})
	now = now.Add(30 * time.Second)
	r.Observe(Observation{Class: "lookups", Outcome: request.Answered, Took: 48 * time.Hour})
	got := r.Digests(d)[0]
	require.EqualValues(t, 101, got.Answered)
	require.EqualValues(t, 90, got.InTime)
	require.EqualValues(t, 1, got.NotRun)
	require.EqualValues(t, 1, got.Unknown)
	require.EqualValues(t, 50, got.Retries)
	require.EqualValues(t, 1, got.Hedges)
	require.InDelta(t, 51, got.P50Ms, 1)
	now = now.Add(31 * time.Second)
	require.EqualValues(t, 1, r.Digests(d)[0].Answered, "the first slot left the window")
	now = now.Add(Window)
	require.Zero(t, r.Digests(d)[0].Answered)
	require.Len(t, r.Digests(d), 3, "classes without work are reported too")
}

func TestRecorderIsBounded(t *testing.T) {
	r := NewRecorder(nil)
	for i := range 10 * class.MaxClasses {
		r.Observe(Observation{Class: fmt.Sprint(i)})
	}
	require.Len(t, r.classes, class.MaxClasses)
}
