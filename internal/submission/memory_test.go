package submission

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/fleet"
	"github.com/comfreyfront/comfreyfront/internal/submission/recordpb"
)

// TestEngineIsNotSentMoreThanItsMemory checks that an engine with free slots gets no item that its
// memory cannot hold, also while items move, and that too large an item is left to the engine.
func TestEngineIsNotSentMoreThanItsMemory(t *testing.T) {
	f := newFixture(1) // one engine with four slots
	now := testNow()
	engines := newEngines(f.directory.Of("s"), fleet.NewLoadSlope(), "z", now)
	engines.memory = engineMemory{limit: 1000, used: map[string]int64{}}
	n := need{model: "m", minVersion: 1, tokens: 400}
	for range 2 {
		_, ok := engines.choose(n, 10)
		require.True(t, ok)
	}
	_, ok := engines.choose(n, 10)
	require.False(t, ok, "1,200 of 1,000 tokens")
	small := need{model: "m", minVersion: 1, tokens: 200}
	moving := reservation{endpoint: "e0", until: now.Add(reservationTime), tokens: 200}
	engines.reserve(moving, now)
	_, ok = engines.choose(small, 10)
	require.False(t, ok, "the rest is reserved")
	engines.release(moving, now)
	_, ok = engines.choose(small, 10)
	require.True(t, ok)
	engines.memory = engineMemory{limit: 1000, used: map[string]int64{}}
	_, ok = engines.choose(need{model: "m", minVersion: 1, tokens: 5000}, 10)
	require.True(t, ok, "the engine refuses it")
}

// TestMemoryOfAnItem checks that the memory set aside for an item follows the estimate of its
// length, so that requests that allow far longer texts do not leave slots empty.
func TestMemoryOfAnItem(t *testing.T) {
	for _, row := range []struct{ prompt, estimate, tokens, want int64 }{
		{276, 1500, 11_600, 3276}, {276, 9000, 11_600, 11_600}, {0, 1500, 11_600, 11_600}, {276, 0, 11_600, 11_600},
	} {
		record := &recordpb.Item{PromptTokens: row.prompt, ExpectedTokens: row.estimate, Tokens: row.tokens}
		require.Equal(t, row.want, memoryTokens(record), row)
	}
}
