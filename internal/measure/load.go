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

// Parameters of the generated requests.
const (
	// shortTokens is the mean length of an interactive answer, in tokens.
	shortTokens = 12
	// medianTokens and lengthSpread are the median and the sigma of the log-normal
	// distribution of sample lengths.
	medianTokens = 24
	lengthSpread = 0.5
	// longFraction is the fraction of samples that are longFactor times longer.
	longFraction = 0.04
	longFactor   = 5
	maxTokens    = 240
	// prefixChars is the length of the prefix that prompts share, in characters.
	prefixChars = 300
)

func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0x5eed)) }

// sampleLength draws the length of a sample, in tokens, from a heavy-tailed
// distribution.
func sampleLength(random *rand.Rand) int {
	length := medianTokens * math.Exp(lengthSpread*random.NormFloat64())
	if random.Float64() < longFraction {
		length *= longFactor
	}
	return min(max(int(length), 1), maxTokens)
}

// shortLength draws the length of an interactive answer, in tokens.
func shortLength(random *rand.Rand) int {
	return shortTokens/2 + random.IntN(shortTokens+1)
}

// prompt returns a prompt with the given shared prefix and a marker for the number of
// tokens in the answer.
func prompt(prefix, number, tokens int) string {
	shared := fmt.Sprintf("prefix %d ", prefix)
	shared += strings.Repeat("x", prefixChars-len(shared))
	return fmt.Sprintf("%s number %d #tokens=%d", shared, number, tokens)
}

// arrival is one request of an open-loop workload.
type arrival struct {
	// after is the time from the start of the workload.
	after      time.Duration
	completion Request
}

// arrivals draws the requests of a Poisson process over the given time span.
func arrivals(random *rand.Rand, perSecond float64, span time.Duration, draw func(number int) Request) []arrival {
	var drawn []arrival
	offset := time.Duration(0)
	for {
		offset += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
		if offset > span {
			return drawn
		}
		drawn = append(drawn, arrival{after: offset, completion: draw(len(drawn))})
	}
}

// drive sends all requests at their arrival times, through the entries in round-robin
// order, and returns the replies in the order of arrival.
func (t *Testbed) drive(ctx context.Context, requests []arrival) []Reply {
	replies := make([]Reply, len(requests))
	started := time.Now()
	var pending sync.WaitGroup
	for i, a := range requests {
		wait.For(ctx, a.after-time.Since(started))
		e := t.pickEntry()
		pending.Go(func() { replies[i] = t.complete(ctx, e, a.completion) })
	}
	pending.Wait()
	return replies
}
