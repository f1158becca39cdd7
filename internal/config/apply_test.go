package config

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/class"
	"github.com/comfreyfront/comfreyfront/internal/keyvalue"
	"github.com/comfreyfront/comfreyfront/internal/keyvalue/memstore"
	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "100")
	goleak.VerifyTestMain(m)
}

func discardLogger() *slog.Logger { return slog.New(slog.DiscardHandler) }

func documentOf(name string, lateness time.Duration) *class.Document {
	return &class.Document{Classes: []class.Class{{Name: name, Lateness: lateness, Completeness: 0.99}}}
}

func TestApplyAndHistory(t *testing.T) {
	store := NewStore(memstore.New(nil), Options{}, discardLogger())
	first, err := store.Apply(t.Context(), Change{ID: "a", Who: "eleni", Document: documentOf("lookups", time.Second)})
	require.NoError(t, err)
	require.EqualValues(t, 1, first.Entry.Revision)
	_, err = store.Apply(t.Context(), Change{ID: "b", Who: "nils", Expect: 1, Document: documentOf("lookups", 2*time.Second)})
	require.NoError(t, err)
	again, err := store.Apply(t.Context(), Change{ID: "a", Who: "eleni", Document: documentOf("lookups", time.Second)})
	require.NoError(t, err)
	require.True(t, again.Repeated)
	record, err := store.Load(t.Context())
	require.NoError(t, err)
	require.EqualValues(t, 2, record.Document.Revision)
	require.Len(t, record.History, 2)
	require.Equal(t, "lookups: lateness 1s -> 2s", record.History[1].Changes[0].String())
}

func TestRacingOperatorsSeeBothChanges(t *testing.T) {
	store := NewStore(memstore.New(nil), Options{}, discardLogger())
	_, err := store.Apply(t.Context(), Change{ID: "a", Who: "eleni", Document: documentOf("lookups", time.Second)})
	require.NoError(t, err)
	_, err = store.Apply(t.Context(), Change{ID: "b", Who: "nils", Expect: 1, Document: documentOf("lookups", 2*time.Second)})
	require.NoError(t, err)
	_, err = store.Apply(t.Context(), Change{ID: "c", Who: "eleni", Expect: 1, Document: documentOf("lookups", 3*time.Second)})
	require.True(t, errorx.IsOfType(err, ErrConflict))
	conflict, ok := ConflictOf(err)
	require.True(t, ok)
	require.Equal(t, "lookups: lateness 2s -> 3s", conflict.Yours[0].String())
	require.Equal(t, "nils", conflict.AcceptedSince[0].Who)
	require.Equal(t, "lookups: lateness 1s -> 2s", conflict.AcceptedSince[0].Changes[0].String())
}

func TestApplyResolvesLostResponse(t *testing.T) {
	for name, fault := range map[string]func(*memstore.Store){
		"one response lost":  func(s *memstore.Store) { s.LoseReplies(1) },
		"one write lost":     func(s *memstore.Store) { s.DropWrites(1) },
		"three writes lost":  func(s *memstore.Store) { s.DropWrites(3) },
		"two responses lost": func(s *memstore.Store) { s.LoseReplies(2) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				memory := memstore.New(nil)
				fault(memory)
				store := NewStore(memory, Options{}, discardLogger())
				result, err := store.Apply(t.Context(), Change{ID: "a", Document: documentOf("lookups", time.Second)})
				require.NoError(t, err)
				require.EqualValues(t, 1, result.Entry.Revision)
				record, err := store.Load(t.Context())
				require.NoError(t, err)
				require.Len(t, record.History, 1)
			})
		})
	}
}

func TestLostResponseThenOutageReportsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := memstore.New(nil)
		memory.LoseReplies(1)
		memory.Intercept(func(_ context.Context, op memstore.Operation, _ string) error {
			if op == memstore.OpCompareAndSwap {
				time.AfterFunc(time.Millisecond, func() { memory.SetDown(true) })
			}
			return nil
		})
		store := NewStore(memory, Options{}, discardLogger())
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		change := Change{ID: "a", Document: documentOf("lookups", time.Second)}
		_, err := store.Apply(ctx, change)
		require.True(t, errorx.IsOfType(err, ErrUnknown), "%v", err)
		memory.SetDown(false)
		result, err := store.Apply(t.Context(), change)
		require.NoError(t, err)
		require.True(t, result.Repeated)
	})
}

func TestApplyDuringOutageIsUnavailable(t *testing.T) {
	memory := memstore.New(nil)
	memory.SetDown(true)
	_, err := NewStore(memory, Options{}, discardLogger()).Apply(t.Context(), Change{ID: "a", Document: documentOf("lookups", time.Second)})
	require.True(t, errorx.IsOfType(err, ErrUnavailable), "%v", err)
}

func TestChangeIDReusedForAnotherDocument(t *testing.T) {
	store := NewStore(memstore.New(nil), Options{}, discardLogger())
	_, err := store.Apply(t.Context(), Change{ID: "a", Document: documentOf("lookups", time.Second)})
	require.NoError(t, err)
	_, err = store.Apply(t.Context(), Change{ID: "a", Document: documentOf("lookups", time.Minute)})
	require.True(t, errorx.IsOfType(err, ErrInvalid), "%v", err)
}

// faultyStore drops writes, delays writes and loses responses according to plan.
type faultyStore struct {
	keyvalue.Store
	mu      sync.Mutex
	plan    []int
	delayed []func()
}

func (f *faultyStore) next() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.plan) == 0 {
		return 0
	}
	fault := f.plan[0]
	f.plan = f.plan[1:]
	return fault
}

func (f *faultyStore) CompareAndSwap(ctx context.Context, key string, expect int64, data []byte, lease keyvalue.LeaseID) (keyvalue.Value, error) {
	write := func() (keyvalue.Value, error) {
		return f.Store.CompareAndSwap(context.Background(), key, expect, data, lease)
	}
	switch f.next() {
	case 1: // the response is lost
		_, _ = write()
		return keyvalue.Value{}, keyvalue.ErrOutcomeUnknown.New("lost")
	case 2: // the write is lost
		return keyvalue.Value{}, keyvalue.ErrOutcomeUnknown.New("dropped")
	case 3: // the write is delayed
		f.mu.Lock()
		defer f.mu.Unlock()
		f.delayed = append(f.delayed, func() { _, _ = write() })
		return keyvalue.Value{}, keyvalue.ErrOutcomeUnknown.New("delayed")
	case 4:
		return keyvalue.Value{}, keyvalue.ErrUnavailable.New("down")
	}
	return write()
}

// TestApplyAgainstOracle runs concurrent operators whose writes are dropped or
// delayed or lose their responses, and compares the outcomes that Apply reports
// with the sequence of records that the store accepted.
func TestApplyAgainstOracle(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		memory := memstore.New(nil)
		faulty := &faultyStore{Store: memory, plan: rapid.SliceOfN(rapid.IntRange(0, 4), 0, 24).Draw(rt, "plan")}
		operators := rapid.IntRange(1, 4).Draw(rt, "operators")
		expects := rapid.SliceOfN(rapid.Int64Range(-1, 2), operators, operators).Draw(rt, "expects")
		outcomes := make([]error, operators)
		var group sync.WaitGroup
		for i := range operators {
			group.Go(func() {
				store := NewStore(faulty, Options{BackoffMin: time.Microsecond, BackoffMax: 10 * time.Microsecond}, discardLogger())
				change := Change{ID: ChangeID(fmt.Sprint("c", i)), Expect: expects[i], Document: documentOf("lookups", time.Duration(i+1)*time.Second)}
				_, outcomes[i] = store.Apply(context.Background(), change)
			})
		}
		group.Wait()
		for _, write := range faulty.delayed {
			write()
		}
		checkOutcomes(rt, memory, outcomes)
	})
}

func checkOutcomes(t *rapid.T, memory *memstore.Store, outcomes []error) {
	changes, _, err := memory.Watch(context.Background(), Key, 0, 0)
	require.NoError(t, err)
	accepted := map[ChangeID]int{}
	for i, change := range changes {
		record, err := Decode(change.Value.Data)
		require.NoError(t, err)
		require.EqualValues(t, i+1, record.Document.Revision, "each revision is one above the previous one")
		accepted[record.History[len(record.History)-1].ChangeID]++
	}
	for i, outcome := range outcomes {
		times := accepted[ChangeID(fmt.Sprint("c", i))]
		switch {
		case outcome == nil:
			require.Equal(t, 1, times)
		case errorx.IsOfType(outcome, ErrUnknown):
			require.LessOrEqual(t, times, 1)
		default:
			require.Zero(t, times, "%v", outcome)
		}
	}
}

func TestWatchSurvivesAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := memstore.New(nil)
		view := memory.View()
		store := NewStore(memory, Options{}, discardLogger())
		observations := make(chan Observation, 1000)
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		group.Go(func() { store.Watch(ctx, nil, func(o Observation) { observations <- o }) })
		first := <-observations
		require.True(t, first.Reachable)
		require.Zero(t, first.Record.Document.Revision)
		memory.SetDown(true)
		require.False(t, (<-observations).Reachable)
		_, err := NewStore(view, Options{}, discardLogger()).Apply(ctx, Change{ID: "a", Document: documentOf("lookups", time.Second)})
		require.NoError(t, err)
		time.AfterFunc(time.Minute, func() { memory.SetDown(false) })
		for o := range observations {
			if o.Reachable {
				require.EqualValues(t, 1, o.Record.Document.Revision)
				break
			}
		}
		cancel()
		group.Wait()
	})
}

func FuzzDecode(f *testing.F) {
	record := (&Record{Document: &class.Document{}}).withChange(Change{ID: "a", Document: documentOf("lookups", time.Second)}, time.Unix(0, 0))
	f.Add(Encode(record))
	for _, seed := range []string{"", "{}", "null", `{"revision":-1}`, `{"revision":1,"classes":"classes: ["}`, `{"history":[{"at":"x"}]}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		record, err := Decode(data)
		if err != nil {
			require.True(t, errorx.IsOfType(err, ErrCorrupt))
			return
		}
		again, err := Decode(Encode(record))
		require.NoError(t, err)
		require.Equal(t, record.Document, again.Document)
	})
}
