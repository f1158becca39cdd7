package policy

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/class"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "200")
	os.Exit(m.Run())
}

func TestPrecedence(t *testing.T) {
	lookup := class.Class{Name: "lookup", Completeness: 0.999, Lateness: time.Second}
	update := class.Class{Name: "update", Completeness: 0.999, Lateness: 3 * time.Second}
	training := class.Class{Name: "training", Completeness: 0.95, Lateness: time.Minute}
	hint := class.Class{Name: "hint", Completeness: 0.5, Lateness: time.Second}
	got := Precedence([]class.Class{hint, training, update, lookup})
	require.Equal(t, []class.Class{lookup, update, training, hint}, got)
}

func TestPriorityNumbers(t *testing.T) {
	number := func(interactive bool, deadline time.Time) int {
		return SlackPriority{}.Priority(&Work{Interactive: interactive, Deadline: deadline}, testNow)
	}
	soon, later := testNow.Add(time.Second), testNow.Add(time.Minute)
	require.Less(t, number(true, soon), number(true, later))
	require.Less(t, number(true, later), number(false, soon))
	require.Less(t, number(false, soon), number(false, later))
	require.Less(t, number(false, later), number(false, time.Time{}))
	require.Less(t, number(true, time.Time{}), number(false, soon))
}

func TestBudgetAllowsAFractionWithABurst(t *testing.T) {
	b := NewBudget(0.1, 10, 1)
	acquired := 0
	for range 10000 {
		b.RecordRequest()
		if b.Acquire() {
			acquired++
		}
	}
	require.InDelta(t, 1000, acquired, 10)
	for range 10000 {
		b.RecordRequest()
	}
	for range 10 {
		require.True(t, b.Acquire())
	}
	require.False(t, b.Acquire())
}

func TestRetriesAddAtMostATenth(t *testing.T) {
	r := NewBudgetRetrier()
	calls, requests := 0, 10000
	for range requests {
		r.RecordRequest()
		calls++
		for attempts := 1; r.Allow(&Work{}, attempts); attempts++ {
			calls++
		}
	}
	require.LessOrEqual(t, float64(calls)/float64(requests), 1.1)
}

func TestHedgesOnlyInteractiveIdempotentWorkWithinBudget(t *testing.T) {
	h := NewQuantileHedger()
	work := &Work{Class: "lookup", Interactive: true, Idempotent: true}
	_, ok := h.After(work)
	require.False(t, ok, "there are no observations yet")
	for i := range 100 {
		h.Observe(work, time.Duration(i+1)*time.Millisecond)
	}
	after, ok := h.After(work)
	require.True(t, ok)
	require.InDelta(t, float64(98*time.Millisecond), float64(after), float64(2*time.Millisecond))
	for _, other := range []*Work{{Class: "lookup", Interactive: true}, {Class: "lookup", Idempotent: true}} {
		_, ok = h.After(other)
		require.False(t, ok)
	}
	acquired := 0
	for range 1000 {
		h.After(work)
		if h.Acquire() {
			acquired++
		}
	}
	require.LessOrEqual(t, acquired, 50)
}

func TestLengthsPredictTheMeanOnceKnown(t *testing.T) {
	var l Lengths
	work := &Work{Class: "draft", Model: "drafting"}
	require.Equal(t, 512, l.Expect(work, 512))
	for i := range 100 {
		l.Observe(work, 50+i%2*100)
	}
	require.InDelta(t, 100, l.Expect(work, 512), 2)
	require.Equal(t, 80, l.Expect(work, 80))
	long, ok := l.Quantile(work, 0.9)
	require.True(t, ok)
	require.InDelta(t, 150, long, 2)
}

func TestWindowDropsOldValues(t *testing.T) {
	var w Window
	for range 2 * windowSamples {
		w.Observe(1000)
	}
	for range 2 * windowSamples {
		w.Observe(10)
	}
	value, _ := w.Quantile(0.99)
	require.InDelta(t, 10, value, 1)
}
