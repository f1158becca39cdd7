package ownership

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/comfreyfront/comfreyfront/internal/keyvalue/memstore"
)

// fleet runs several entries against one store and checks these invariants: a unit is
// never valid at two entries at once, the epochs of a unit increase with each new
// tenure, and a tenure that was found invalid stays invalid.
type fleet struct {
	clock    *clock
	stores   []*memstore.Store
	managers []*Manager
	seen     []seenTenure
	highest  map[string]int64
}

type seenTenure struct {
	holder  int
	tenure  Tenure
	invalid bool
}

func newFleet(entries int) *fleet {
	f := &fleet{clock: newClock(), highest: map[string]int64{}}
	root := memstore.New(f.clock.Now)
	for i := range entries {
		store := root.View()
		f.stores = append(f.stores, store)
		f.managers = append(f.managers, newManager(store, string(rune('a'+i)), f.clock))
	}
	return f
}

func (f *fleet) acquire(t *rapid.T) {
	i, unit := f.entry(t), f.unit(t)
	tenure, err := f.managers[i].Acquire(context.Background(), unit)
	if err != nil {
		return
	}
	for _, other := range f.seen {
		if other.tenure == tenure {
			require.Equal(t, i, other.holder, "two entries have the same epoch")
			return
		}
	}
	require.Greater(t, tenure.Epoch, f.highest[unit])
	f.highest[unit] = tenure.Epoch
	f.seen = append(f.seen, seenTenure{holder: i, tenure: tenure})
}

func (f *fleet) check(t *rapid.T) {
	validBy := map[string]int{}
	for i := range f.seen {
		s := &f.seen[i]
		if !f.managers[s.holder].Valid(s.tenure) {
			s.invalid = true
			continue
		}
		require.False(t, s.invalid, "tenure %v became valid again", s.tenure)
		other, duplicate := validBy[s.tenure.Unit]
		require.False(t, duplicate, "unit %s valid at %d and %d", s.tenure.Unit, s.holder, other)
		validBy[s.tenure.Unit] = s.holder
	}
}

func (f *fleet) entry(t *rapid.T) int {
	return rapid.IntRange(0, len(f.managers)-1).Draw(t, "entry")
}

func (f *fleet) unit(t *rapid.T) string {
	return rapid.SampledFrom([]string{"u", "v"}).Draw(t, "unit")
}

func TestOwnershipAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx, f := context.Background(), newFleet(3)
		t.Repeat(map[string]func(*rapid.T){
			"":     f.check,
			"hold": f.acquire,
			"release": func(t *rapid.T) {
				_ = f.managers[f.entry(t)].Release(ctx, f.unit(t))
			},
			"releaseAll": func(t *rapid.T) { _ = f.managers[f.entry(t)].ReleaseAll(ctx) },
			// An entry whose tick is not called while time passes models a paused process.
			"tick": func(t *rapid.T) { f.managers[f.entry(t)].tick(ctx) },
			"pass": func(t *rapid.T) {
				f.clock.advance(time.Duration(rapid.IntRange(1, 7000).Draw(t, "ms")) * time.Millisecond)
			},
			"down": func(t *rapid.T) { f.stores[f.entry(t)].SetDown(rapid.Bool().Draw(t, "down")) },
			"lose": func(t *rapid.T) { f.stores[f.entry(t)].LoseReplies(1) },
			"drop": func(t *rapid.T) { f.stores[f.entry(t)].DropWrites(1) },
		})
	})
}
