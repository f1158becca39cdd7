package step

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/step/wire"
	"github.com/comfreyfront/comfreyfront/trainer"
)

const (
	tokenTime  = 20 * time.Millisecond
	slowFactor = 10
	pieceSize  = 16 // tokens
)

// unevenEngines simulates nine engines, two of which are slow. Each attempt runs on an
// engine chosen at random.
type unevenEngines struct {
	mu     sync.Mutex
	random *rand.Rand
}

func (u *unevenEngines) draw() float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.random.Float64()
}

// sampleLength derives a sample's length in tokens from its seed. The distribution is
// heavy-tailed, and a sample has the same length on each engine.
func sampleLength(seed int64, limit int) int {
	x := rand.New(rand.NewPCG(uint64(seed), 1)).Float64()
	return min(limit, int(64/math.Pow(1-x, 0.7)))
}

func (u *unevenEngines) Generate(ctx context.Context, req GenerateRequest) (Generation, error) {
	perToken := tokenTime
	if u.draw() < 2.0/9 {
		perToken *= slowFactor
	}
	tokens, spans := req.Resume.Tokens, append([]wire.Span(nil), req.Resume.Spans...)
	for length := sampleLength(req.Seed, req.MaxTokens); tokens < length; {
		n := min(pieceSize, length-tokens)
		select {
		case <-time.After(time.Duration(n) * perToken):
		case <-ctx.Done():
			return Generation{}, ctx.Err()
		}
		tokens += n
		spans = AppendSpan(spans, 1, n)
		req.Progress(Piece{Tokens: n, WeightVersion: 1})
	}
	return Generation{FinishReason: "stop", Spans: spans}, nil
}

// stepTime returns the duration of a step of 256 samples, in fake time.
func stepTime(t *testing.T, seed uint64, move bool) time.Duration {
	var elapsed time.Duration
	synctest.Test(t, func(t *testing.T) {
		spec := wire.Spec{Trainer: "t", Step: int64(seed), Model: "m", Class: "c", WeightVersion: 1}
		for range 32 {
			spec.Groups = append(spec.Groups, wire.Group{Size: 8, MaxTokens: 4096})
		}
		service := NewService(Options{Owner: alwaysOwner{}, Generator: &unevenEngines{random: rand.New(rand.NewPCG(seed, 2))}, Concurrency: 64})
		startTime := time.Now()
		_, err := service.Create(t.Context(), &wire.CreateRequest{Spec: spec})
		require.NoError(t, err)
		r := service.find(UnitOf("t", int64(seed)))
		if !move {
			r.mu.Lock()
			for pos := range r.step.slots {
				r.step.slots[pos].moves = maxMoves
			}
			r.mu.Unlock()
		}
		account := trainer.NewDeliveryTracker(spec, nil, 1)
		for !account.Complete() {
			req := account.Pull(1)
			req.WaitMillis = 1000
			body, err := service.Pull(t.Context(), r.unit, &req)
			require.NoError(t, err)
			var reply wire.PullReply
			require.NoError(t, decode(body, &reply))
			require.NoError(t, account.Accept(&reply, 1, func(wire.Sample) error { return nil }))
		}
		elapsed = time.Since(startTime)
		require.NoError(t, service.Drain(t.Context()))
	})
	return elapsed
}

func TestMovingStragglersShortensTheStep(t *testing.T) {
	for seed := range uint64(5) {
		stay, move := stepTime(t, seed, false), stepTime(t, seed, true)
		t.Logf("seed %d: stay %v, move %v, ratio %.2f", seed, stay, move, move.Seconds()/stay.Seconds())
		require.Less(t, move, stay)
	}
}
