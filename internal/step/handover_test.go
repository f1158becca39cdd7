package step

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/step/wire"
	"github.com/comfreyfront/comfreyfront/trainer"
)

func TestGracefulReplacementKeepsGeneratedText(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(func(s *Service) caller { return s }, trainer.NewDeliveryTracker(testSpec, nil, 1))
		defer sim.stop()
		sim.create(routed{sim.entries[0].router})
		owner := sim.entry(sim.holder)
		sim.advanceJob(0, 0)
		sim.advanceJob(0, 3) // sample (0, 0) is complete
		sim.advanceJob(0, 0) // sample (0, 1) is partial
		partialText := sim.running()[0].text

		sim.replace(owner)
		require.NotEqual(t, owner.id, sim.holder)
		require.True(t, sim.entry(sim.holder).service.Owns(testUnit))
		resumed := false
		for _, j := range sim.running() {
			resumed = resumed || strings.HasPrefix(j.text, partialText)
		}
		require.True(t, resumed, "the successor continues with %q", partialText)
		sim.pull(routed{owner.router}, "")
		require.Len(t, sim.replies, 1)
		require.Len(t, sim.replies[0].Samples, 1)
		require.True(t, sim.finish())
		require.Empty(t, sim.violations)
	})
}

func TestTrainersCannotHandOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(func(s *Service) caller { return s }, trainer.NewDeliveryTracker(testSpec, nil, 1))
		defer sim.stop()
		recorder := httptest.NewRecorder()
		sim.entries[0].router.ServeHTTP(recorder, httptest.NewRequest(methodHandOver, wire.PathSteps+"/t/1", strings.NewReader("{}")))
		require.Equal(t, http.StatusBadRequest, recorder.Code)
	})
}
