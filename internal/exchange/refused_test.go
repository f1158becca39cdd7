package exchange

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRefusedConnectionsTellADeathAtOnce(t *testing.T) {
	w := newWorld(3)
	a, b := w.states[0], w.states[1]
	w.swap(a, b)
	a.Refused(w.now, "entry2")
	require.Len(t, a.Live(w.now), 2, "one refusal is no proof: it may start just now")
	a.Refused(w.now, "entry2")
	require.Len(t, a.Live(w.now), 1, "nothing listens there")
	w.swap(a, b)
	require.Len(t, b.Live(w.now), 2, "another entry's word is a suspicion only")
	require.Equal(t, "entry2", b.Targets(w.now, 1, rand.New(rand.NewPCG(1, 1)))[0].ID, "it looks for itself in the next round")
	b.Refused(w.now, "entry2")
	require.Len(t, b.Live(w.now), 1)
	w.swap(w.states[2], a) // it started again
	require.Len(t, a.Live(w.now), 2)
}

func TestLastSignOfLifeDoesNotBringADeadEntryBack(t *testing.T) {
	w := newWorld(3)
	a, b := w.states[0], w.states[1]
	w.swap(a, b)
	w.states[2].Tick(w.now)
	w.swap(w.states[2], b) // b has seen it later than a
	a.Refused(w.now, "entry2")
	a.Refused(w.now, "entry2")
	w.swap(b, a)
	require.Len(t, a.Live(w.now), 1)
}
