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
		w := newWorld(func(s *Service) caller { return s }, trainer.NewDeliveryTracker(testSpec, nil, 1))
		defer w.stop()
		w.create(routed{w.entries[0].router})
		owner := w.entry(w.holder)
		w.advanceJob(0, 0)
		w.advanceJob(0, 3) // sample (0, 0) is complete
		w.advanceJob(0, 0) // sample (0, 1) is partial
		partialText := w.running()[0].text

		w.replace(owner)
		require.NotEqual(t, owner.id, w.holder)
		require.True(t, w.entry(w.holder).service.Owns(testUnit))
		resumed := false
		for _, j := range w.running() {
			resumed = resumed || strings.HasPrefix(j.text, partialText)
		}
		require.True(t, resumed, "the successor continues with %q", partialText)
		w.pull(routed{owner.router}, "")
		require.Len(t, w.replies, 1)
		require.Len(t, w.replies[0].Samples, 1)
		require.True(t, w.finish())
		require.Empty(t, w.violations)
	})
}

func TestTrainersCannotHandOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(func(s *Service) caller { return s }, trainer.NewDeliveryTracker(testSpec, nil, 1))
		defer w.stop()
		recorder := httptest.NewRecorder()
		w.entries[0].router.ServeHTTP(recorder, httptest.NewRequest(methodHandOver, wire.PathSteps+"/t/1", strings.NewReader("{}")))
		require.Equal(t, http.StatusBadRequest, recorder.Code)
	})
}
