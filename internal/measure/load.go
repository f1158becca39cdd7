package measure

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/wait"
)

// Shapes of the work.
const (
	// shortTokens is the mean length of an interactive answer.
	shortTokens = 12
	// medianTokens and lengthSpread shape the lengths of samples: log-normal.
	medianTokens = 24
	lengthSpread = 0.5
	// longShare of the samples run longFactor times longer.
	longShare  = 0.04
	longFactor = 5
	maxTokens  = 240
	// prefixChars is the length of a prefix that prompts share.
	prefixChars = 300
)

func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0x5eed)) }

// heavyLength draws the length of a sample, in tokens.
func heavyLength(random *rand.Rand) int {
	length := medianTokens * math.Exp(lengthSpread*random.NormFloat64())
	if random.Float64() < longShare {
		length *= longFactor
	}
	return min(max(int(length), 1), maxTokens)
}

// shortLength draws the length of an interactive answer, in tokens.
func shortLength(random *rand.Rand) int {
	return shortTokens/2 + random.IntN(shortTokens+1)
}

// prompt writes a prompt with a shared prefix and the length of its answer.
func prompt(prefix, number, tokens int) string {
	shared := fmt.Sprintf("prefix %d ", prefix)
	shared += strings.Repeat("x", prefixChars-len(shared))
	return fmt.Sprintf("%s number %d #tokens=%d", shared, number, tokens)
}

// arrival is one request of an open workload.
type arrival struct {
	after time.Duration
	ask   Ask
}

// arrivals draws requests of a Poisson process.
func arrivals(random *rand.Rand, perSecond float64, span time.Duration, draw func(number int) Ask) []arrival {
	var all []arrival
	at := time.Duration(0)
	for {
		at += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
		if at > span {
			return all
		}
		all = append(all, arrival{after: at, ask: draw(len(all))})
	}
}

// drive sends all arrivals at their times, through the entries in turn, and
// returns the replies in the order of the arrivals.
func (w *World) drive(ctx context.Context, all []arrival) []Reply {
	replies := make([]Reply, len(all))
	started := time.Now()
	var open sync.WaitGroup
	for i, a := range all {
		wait.For(ctx, a.after-time.Since(started))
		e := w.balance()
		open.Go(func() { replies[i] = w.ask(ctx, e, a.ask) })
	}
	open.Wait()
	return replies
}
