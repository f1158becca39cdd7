package measure

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/joomcode/errorx"

	"github.com/comfreyfront/comfreyfront/internal/request"
	"github.com/comfreyfront/comfreyfront/internal/wait"
)

// Sizes of the work in Overload.
const (
	// overloadFactor is the offered work over the capacity.
	overloadFactor = 2.0
	overloadSpan   = 6 * time.Second
	// overloadRamp comes before it and is not counted: queues fill.
	overloadRamp = 3 * time.Second
	// hangUp is how many times its lateness a caller waits.
	hangUp = 2
	// shares of the classes in the offered requests.
	lookupShare, draftShare = 0.3, 0.4
	overloadTokens          = 16
)

// capacity of the engines, in tokens a second, when all slots are full.
func capacity() float64 {
	step := stepBase + slots*stepPerSequence
	return engineCount * slots / step.Seconds()
}

// Overload offers three classes at twice the capacity of the engines.
func Overload(ctx context.Context, arm Arm, seed uint64) ([]Value, error) {
	w, err := NewWorld(arm, hydrometraDelay, classes)
	if err != nil {
		return nil, err
	}
	defer w.Close()
	random := newRandom(seed)
	wait.For(ctx, 3*pollInterval)
	perSecond := overloadFactor * capacity() / overloadTokens
	draw := func(number int) Ask { return mixed(random, number) }
	ramp := arrivals(random, perSecond, overloadRamp, draw)
	rampEnded := make(chan struct{})
	go func() {
		w.drive(ctx, ramp)
		close(rampEnded)
	}()
	wait.For(ctx, overloadRamp)
	all := arrivals(random, perSecond, overloadSpan, draw)
	started := time.Now()
	replies := w.drive(ctx, all)
	took := time.Since(started)
	<-rampEnded
	return overloadValues(w, all, replies, took), nil
}

func mixed(random *rand.Rand, number int) Ask {
	name := classHint
	switch draw := random.Float64(); {
	case draw < lookupShare:
		name = classLookup
	case draw < lookupShare+draftShare:
		name = classDraft
	}
	tokens := overloadTokens/2 + random.IntN(overloadTokens+1)
	return Ask{Class: name, Prompt: prompt(random.IntN(4), number, tokens), MaxTokens: 2 * overloadTokens, HangUp: hangUp}
}

// overloadValues sets what was answered in time against what the engines could
// make while the work ran.
func overloadValues(w *World, all []arrival, replies []Reply, took time.Duration) []Value {
	good, offered := map[string]float64{}, map[string]float64{}
	var goodTokens float64
	var refusals []float64
	for i, r := range replies {
		name := all[i].ask.Class
		offered[name]++
		if r.Err == nil && r.Took <= w.classes[name].Lateness+2*clientDelay {
			good[name]++
			goodTokens += float64(r.Answer.Tokens)
		}
		if errorx.IsOfType(r.Err, request.ErrRefused) {
			refusals = append(refusals, r.Took.Seconds()*1000)
		}
	}
	values := []Value{{"overload_goodput", "share", goodTokens / (capacity() * took.Seconds())}}
	for _, name := range []string{classLookup, classDraft, classHint} {
		values = append(values, Value{"overload_" + name + "_in_time", "share", good[name] / offered[name]})
	}
	if len(refusals) == 0 {
		return values
	}
	return append(values, Value{"overload_refusal_p50", "ms", quantile(refusals, 0.5)})
}
