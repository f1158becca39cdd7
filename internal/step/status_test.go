package step

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/ownership"
	"github.com/comfreyfront/comfreyfront/internal/step/wire"
)

func TestStatusEstimatesTheTimeNeeded(t *testing.T) {
	aggregate, err := New(testSpec, nil, Options{}.withDefaults().Order, nil)
	require.NoError(t, err)
	r := newRun(testUnit, aggregate, ownership.Tenure{}, &wire.CreateRequest{Spec: testSpec}, &Options{}, nil)
	defer r.stop()
	now := r.created.Add(time.Minute)
	r.deadline = r.created.Add(3 * time.Minute)
	got := r.status(now)
	require.Equal(t, Status{Trainer: testTrainer, Step: 1, Class: "c", Samples: 6, Left: 2 * time.Minute}, got)
	r.step.counts = [held + 1]int{waiting: 2, running: 1, ready: 1, held: 2}
	r.step.discarded = 4
	got = r.status(now)
	require.True(t, got.Estimated)
	require.Equal(t, 2, got.Delivered)
	require.EqualValues(t, 4, got.Discarded)
	require.Equal(t, time.Minute, got.Needed)
}
