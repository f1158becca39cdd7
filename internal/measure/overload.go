package measure

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/joomcode/errorx"

	"github.com/comfreyfront/comfreyfront/internal/request"
	"github.com/comfreyfront/comfreyfront/internal/wait"
)

// Parameters of the Overload workload.
const (
	// overloadFactor is the ratio of the offered load to the capacity.
	overloadFactor = 2.0
	overloadSpan   = 6 * time.Second
	// overloadRamp is the time before overloadSpan in which queues fill. Its
	// requests are not measured.
	overloadRamp = 3 * time.Second
	// callerTimeoutFactor is the timeout of a caller, as a multiple of the lateness
	// of its class.
	callerTimeoutFactor = 2
	// lookupFraction and draftFraction are the fractions of the requests in these
	// classes; the rest are hints.
	lookupFraction, draftFraction = 0.3, 0.4
	// overloadTokens is the mean length of an answer, in tokens.
	overloadTokens = 16
)

// capacity returns the throughput of the engines with all slots in use, in tokens per
// second.
func capacity() float64 {
	step := stepBase + slots*stepPerSequence
	return engineCount * slots / step.Seconds()
}

// Overload sends requests of three classes at twice the capacity of the engines.
func Overload(ctx context.Context, arm Arm, seed uint64) ([]Value, error) {
	t, err := NewTestbed(arm, longDomainDelay, classes)
	if err != nil {
		return nil, err
	}
	defer t.Close()
	random := newRandom(seed)
	wait.For(ctx, 3*pollInterval)
	perSecond := overloadFactor * capacity() / overloadTokens
	draw := func(number int) Request { return mixedRequest(random, number) }
	ramp := arrivals(random, perSecond, overloadRamp, draw)
	rampEnded := make(chan struct{})
	go func() {
		t.drive(ctx, ramp)
		close(rampEnded)
	}()
	wait.For(ctx, overloadRamp)
	requests := arrivals(random, perSecond, overloadSpan, draw)
	started := time.Now()
	replies := t.drive(ctx, requests)
	elapsed := time.Since(started)
	<-rampEnded
	return overloadValues(t, requests, replies, elapsed), nil
}

// mixedRequest draws a request of one of the three classes.
func mixedRequest(random *rand.Rand, number int) Request {
	name := classHint
	switch draw := random.Float64(); {
	case draw < lookupFraction:
		name = classLookup
	case draw < lookupFraction+draftFraction:
		name = classDraft
	}
	tokens := overloadTokens/2 + random.IntN(overloadTokens+1)
	return Request{Class: name, Prompt: prompt(random.IntN(4), number, tokens), MaxTokens: 2 * overloadTokens, TimeoutFactor: callerTimeoutFactor}
}

// overloadValues returns the goodput as a fraction of the engines' capacity, the
// fraction of requests answered in time per class, and the response time of refusals.
func overloadValues(t *Testbed, requests []arrival, replies []Reply, elapsed time.Duration) []Value {
	good, offered := map[string]float64{}, map[string]float64{}
	var goodTokens float64
	var refusals []float64
	for i, r := range replies {
		name := requests[i].completion.Class
		offered[name]++
		if r.Err == nil && r.Elapsed <= t.classes[name].Lateness+2*clientDelay {
			good[name]++
			goodTokens += float64(r.Answer.Tokens)
		}
		if errorx.IsOfType(r.Err, request.ErrRefused) {
			refusals = append(refusals, r.Elapsed.Seconds()*1000)
		}
	}
	values := []Value{{"overload_goodput", "share", goodTokens / (capacity() * elapsed.Seconds())}}
	for _, name := range []string{classLookup, classDraft, classHint} {
		values = append(values, Value{"overload_" + name + "_in_time", "share", good[name] / offered[name]})
	}
	if len(refusals) == 0 {
		return values
	}
	return append(values, Value{"overload_refusal_p50", "ms", quantile(refusals, 0.5)})
}
