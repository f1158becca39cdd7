package forward

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/comfreyfront/comfreyfront/internal/call"
	"github.com/comfreyfront/comfreyfront/internal/route"
)

// counted returns how often the service reported that a request began to run.
func counted(service *Service) *int {
	n := new(int)
	service.Began = func(*call.Request, time.Duration) { *n++ }
	return n
}

// TestRequestsThatRanCountOnce plays random failures: a request is counted once if an attempt
// may have run, and never otherwise.
func TestRequestsThatRanCountOnce(t *testing.T) {
	responses := []response{
		{err: call.ErrFull.New("full")}, {err: call.ErrNotSent.New("refused")}, {err: call.ErrMisdirected.New("other")},
		{err: call.ErrBroken.New("reset")}, {err: call.ErrForeign.New("foreign")}, {status: 500}, {status: 200}, {status: 404},
	}
	rapid.Check(t, func(t *rapid.T) {
		f := &fakeCaller{script: rapid.SliceOfN(rapid.SampledFrom(responses), 0, 12).Draw(t, "script")}
		service := serviceOf(f, 3)
		n := counted(service)
		kind := rapid.SampledFrom([]route.Kind{route.Idempotent, route.NonIdempotent}).Draw(t, "kind")
		_, _ = service.Do(context.Background(), routeOf(kind, rapid.IntRange(1, 4).Draw(t, "attempts")), &call.Request{ID: "x", URI: "/"})
		if want := min(f.ran, 1); *n != want {
			t.Fatalf("counted %d times, %d runs", *n, f.ran)
		}
	})
}

func TestRequestThatBeganCountsFromItsFirstSend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeCaller{script: []response{{stalls: true}, {err: call.ErrFull.New("full")}, {status: 200}}}
		service := serviceOf(f, 3)
		var began time.Duration
		service.Began = func(_ *call.Request, ago time.Duration) { began = ago }
		r := routeOf(route.Idempotent, 3)
		r.Target = time.Second
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		_, err := service.Do(ctx, r, &call.Request{ID: "x", URI: "/"})
		require.Error(t, err, "a hedge that is refused does not end the request")
		require.Equal(t, 3*time.Second, began, "the stalled attempt had begun")
	})
}

func TestStreamCountsAtItsFirstEvent(t *testing.T) {
	receiver := call.Receiver{Start: func(call.Start) error { return nil }, Event: func(call.Event) error { return nil }}
	r := routeOf(route.Stream, 3)
	r.Resumable = true
	for name, c := range map[string]struct {
		script []response
		after  int
		want   int
	}{
		"resumed inside":        {[]response{{err: call.ErrBroken.New("reset")}, {status: 200}}, 0, 1},
		"resumed by the caller": {[]response{{status: 200}}, 1, 0},
		"refused":               {[]response{{err: call.ErrRejected.New("never")}, {err: call.ErrRejected.New("never")}, {err: call.ErrRejected.New("never")}}, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			service := serviceOf(&fakeCaller{script: c.script}, 3)
			n := counted(service)
			_, _ = service.Stream(t.Context(), r, &call.Request{ID: "x", URI: "/"}, c.after, receiver)
			require.Equal(t, c.want, *n)
		})
	}
}
