package queue

import (
	"context"
	"flag"
	"os"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/comfreyfront/comfreyfront/internal/policy"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "200")
	os.Exit(m.Run())
}

// model calls a queue directly and checks after each action that no item is lost, that
// no item is both refused and started, and that the limits are respected.
type model struct {
	q       *Queue
	now     time.Time
	items   []*item
	ended   map[*item]bool
	refused int
	joined  int
}

func (m *model) join(t *rapid.T) {
	name := rapid.SampledFrom([]string{"hint", "training", "lookup", "unknown"}).Draw(t, "class")
	w := &policy.Work{
		Class:          name,
		Model:          "drafting",
		ExpectedTokens: rapid.IntRange(1, 500).Draw(t, "tokens"),
		Deadline:       m.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "due")) * time.Millisecond),
		Interactive:    name != "training",
		AllowLate:      rapid.Bool().Draw(t, "allow late"),
	}
	m.joined++
	i, err := m.q.join(w)
	if err != nil {
		require.True(t, errorx.IsOfType(err, ErrRefused))
		require.False(t, w.AllowLate)
		m.refused++
		return
	}
	m.items = append(m.items, i)
}

func (m *model) pick(t *rapid.T, keep func(*item) bool) *item {
	var candidates []*item
	for _, i := range m.items {
		if keep(i) && !m.ended[i] {
			candidates = append(candidates, i)
		}
	}
	if len(candidates) == 0 {
		t.Skip("nothing to act on")
	}
	return rapid.SampledFrom(candidates).Draw(t, "item")
}

func (m *model) leave(t *rapid.T) {
	i := m.pick(t, func(i *item) bool { return i.started })
	m.ended[i] = true
	m.q.leave(i)
}

func (m *model) abandon(t *rapid.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	i := m.pick(t, func(i *item) bool { return i.index >= 0 })
	m.ended[i] = true
	require.Error(t, m.q.abandon(ctx, i))
}

func (m *model) advance(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond)
}

func (m *model) check(t *rapid.T) {
	for _, p := range pools {
		m.checkPool(t, p)
	}
}

func (m *model) checkPool(t *rapid.T, p pool) {
	running, waiting := 0, 0
	for _, i := range m.items {
		if poolOf(i.work) != p {
			continue
		}
		switch {
		case m.ended[i]:
		case i.started:
			running++
		case i.index >= 0:
			waiting++
			require.Empty(t, i.decision)
		default:
			require.Len(t, i.decision, 1, "an item is in none of the states waiting, running and refused")
			require.False(t, i.work.AllowLate)
		}
	}
	limit := m.q.modelQueue(modelQueueKey{model: "drafting", pool: p}).limit
	require.Equal(t, limitsOf(engines(1, 4)["drafting"], 1, nil).of(p), limit)
	require.Equal(t, Depth{Waiting: waiting, Running: running, Limit: limit}, m.q.Depth("drafting", p == interactivePool))
	require.LessOrEqual(t, running, limit)
	require.True(t, waiting == 0 || running == limit, "slots are free while items wait")
	mq := m.q.modelQueue(modelQueueKey{model: "drafting", pool: p})
	for _, cq := range mq.classQueues {
		var sum time.Duration
		for _, i := range cq.items {
			sum += i.expected
		}
		require.Equal(t, sum, cq.expected)
	}
}

func TestQueueAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{now: time.Unix(0, 0), ended: map[*item]bool{}}
		m.q = &Queue{Clock: func() time.Time { return m.now }}
		m.q.Refresh(classes, engines(1, 4), 1)
		t.Repeat(map[string]func(*rapid.T){
			"join": m.join, "leave": m.leave, "abandon": m.abandon, "pass": m.advance, "": m.check,
		})
	})
}
