package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/class"
	"github.com/comfreyfront/comfreyfront/internal/control"
	"github.com/comfreyfront/comfreyfront/internal/engine"
)

func TestWeightsDescribeTheOldestTokens(t *testing.T) {
	snapshots := &control.Snapshots{}
	d := &Dispatcher{options: Options{Snapshots: snapshots, Clock: time.Now}}
	answer := &Progress{Spans: []engine.Span{{WeightVersion: 7, Tokens: 1}, {WeightVersion: 5, Tokens: 1}, {WeightVersion: 8, Tokens: 1}}}
	require.Equal(t, Weights{Used: true}, d.weightsOf("m", answer), "no newest version is known")
	snapshots.Publish(&control.Snapshot{Versions: map[string]control.Versions{"m": {Newest: 8}}})
	require.Equal(t, Weights{Used: true}, d.weightsOf("m", &Progress{}), "the engine reported no version")
	found := d.weightsOf("m", answer)
	require.Equal(t, Weights{Used: true, Known: true, Behind: 3}, found)
	require.True(t, found.Exceeds(class.Freshness{Versions: 2}))
	require.True(t, found.Exceeds(class.Freshness{Newest: true}))
	require.False(t, found.Exceeds(class.Freshness{Versions: 3}))
	require.False(t, found.Exceeds(class.Freshness{Age: time.Second}), "the age is not known")
	newest := d.weightsOf("m", &Progress{Spans: answer.Spans[2:]})
	require.Equal(t, Weights{Used: true, Known: true, AgeKnown: true}, newest)
	found.Age = time.Second
	require.False(t, found.Exceeds(class.Freshness{Age: time.Second}))
	require.True(t, found.Exceeds(class.Freshness{Age: time.Millisecond}), "the age is a lower bound")
	require.False(t, found.Exceeds(class.Freshness{}))
}
