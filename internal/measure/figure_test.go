package measure

import (
	"bytes"
	"math"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var figures = []Figure{
	{Name: "idle", Unit: "share", Naive: 0.5, Ours: 0.25, Seed: 1},
	{Name: "p99", Unit: "ms", Naive: 100, Ours: 90, Seed: 1},
	{Name: "idle", Unit: "share", Naive: 0.6, Ours: 0.2, Seed: 2},
	{Name: "p99", Unit: "ms", Naive: 95, Ours: 110, Seed: 2},
}

func TestFiguresArePrintedOnePerLine(t *testing.T) {
	var out bytes.Buffer
	Print(&out, figures[:1])
	require.Equal(t, "measure idle unit=share naive=0.5 ours=0.25 ratio=0.5 seed=1\n", out.String())
}

func TestOverlappingRangesShowNoDifference(t *testing.T) {
	spreads := Spreads(figures)
	require.Len(t, spreads, 2)
	require.Equal(t, "ours-lower", spreads[0].Verdict())
	require.Equal(t, "no-difference", spreads[1].Verdict())
}

func TestPageContainsOnePlotPerFigure(t *testing.T) {
	path := filepath.Join(t.TempDir(), "out", "page.html")
	unknown := Figure{Name: "none", Unit: "ms", Naive: math.NaN()}
	require.NoError(t, WritePage(path, Spreads(append(slices.Clone(figures), unknown))))
	page, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, 3, bytes.Count(page, []byte("<svg")))
	require.Contains(t, string(page), "width=device-width")
}

func TestWorkIsTheSameForTheSameSeed(t *testing.T) {
	require.Equal(t, shortWork(newRandom(7), 50, time.Second), shortWork(newRandom(7), 50, time.Second))
	require.NotEqual(t, shortWork(newRandom(7), 50, time.Second), shortWork(newRandom(8), 50, time.Second))
}

func TestMinStepTime(t *testing.T) {
	require.Equal(t, 100*(stepBase+stepPerSequence), minStepTime([]int{100, 1}), "a step takes at least as long as its longest sample alone")
	many := make([]int, 10000)
	for i := range many {
		many[i] = 10
	}
	require.Greater(t, minStepTime(many), minStepTime(many[:5000]), "the time of a step grows with its work when the capacity is the limit")
}
