package claim

import (
	"context"
	"fmt"
	"sync"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/comfreyfront/comfreyfront/internal/ownership"
)

// action is one step of a scenario.
type action int

const (
	actClaim action = iota
	actPass
	actFreeze
	actThaw
	actDown
	actUp
	actLoseWrites
	actDropWrites
	actLoseReplies
	actKill
	actRestart
	actHandOver
	actionCount
)

// endingPlan is what a claimant does with a grant.
type endingPlan int

const (
	planAnswer endingPlan = iota
	planNotRun
	planUnknown
	planVanish
	planCount
)

// step is plain data, so that scenarios shrink and run against any Claimer.
type step struct {
	Action    action
	Entry     int
	Key, Body byte
	Plan      endingPlan
	Millis    int
}

const (
	scenarioEntries = 3
	keyCount        = 4
	// callerPatience is how long a caller waits for a grant.
	callerPatience = 20 * time.Second
)

func scenarios() *rapid.Generator[[]step] {
	one := rapid.Custom(func(t *rapid.T) step {
		s := step{Entry: rapid.IntRange(0, scenarioEntries-1).Draw(t, "entry")}
		s.Action = rapid.OneOf(
			rapid.Just(actClaim), rapid.Just(actClaim), rapid.Just(actPass),
			rapid.Map(rapid.IntRange(int(actFreeze), int(actionCount)-1), func(a int) action { return action(a) }),
		).Draw(t, "action")
		s.Key = rapid.ByteRange(0, keyCount-1).Draw(t, "key")
		s.Body = byte(rapid.IntRange(0, 9).Draw(t, "body") / 9)
		s.Plan = endingPlan(rapid.IntRange(0, int(planCount)-1).Draw(t, "plan"))
		s.Millis = rapid.SampledFrom([]int{1, 50, 400, 3000, 9000}).Draw(t, "millis")
		return s
	})
	return rapid.SliceOfN(one, 10, 80)
}

// oracle is the truth about runs: it is told of each grant and each ending at
// the claimant's side.
type oracle struct {
	mu         sync.Mutex
	keys       map[byte]*keyTruth
	violations []string
	granted    int
}

type keyTruth struct {
	mayRun   bool // a grant stands that was not given back as not run
	body     byte
	bodies   map[byte]bool
	answers  map[string]bool
	anyGrant bool
}

func newOracle() *oracle { return &oracle{keys: map[byte]*keyTruth{}} }

func (o *oracle) violate(format string, args ...any) {
	o.violations = append(o.violations, fmt.Sprintf(format, args...))
}

func (o *oracle) truth(key byte) *keyTruth {
	if o.keys[key] == nil {
		o.keys[key] = &keyTruth{bodies: map[byte]bool{}, answers: map[string]bool{}}
	}
	return o.keys[key]
}

func (o *oracle) asked(s step) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.truth(s.Key).bodies[s.Body] = true
}

func (o *oracle) decided(s step, grant Grant) {
	o.mu.Lock()
	defer o.mu.Unlock()
	truth := o.truth(s.Key)
	switch grant.Verdict {
	case Granted:
		o.granted++
		if truth.mayRun {
			o.violate("key %d granted again", s.Key)
		}
		if truth.anyGrant && truth.body != s.Body {
			o.violate("key %d granted with another body", s.Key)
		}
		truth.mayRun, truth.anyGrant, truth.body = true, true, s.Body
	case Taken:
		if !truth.anyGrant && grant.Prior.State != Running {
			o.violate("key %d ended without a grant", s.Key)
		}
		if answer := grant.Prior.Answer; answer != nil && !truth.answers[string(answer.Body)] {
			o.violate("key %d: answer %q was never given", s.Key, answer.Body)
		}
		if grant.Prior.State == Answered && len(truth.answers) == 0 {
			o.violate("key %d was never answered", s.Key)
		}
	case Mismatch:
		if len(truth.bodies) < 2 {
			o.violate("key %d has one body only", s.Key)
		}
	default:
		o.violate("verdict %d", grant.Verdict)
	}
}

func (o *oracle) answered(s step, answer string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.truth(s.Key).answers[answer] = true
}

func (o *oracle) notRun(s step) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.truth(s.Key).mayRun = false
}

// attempt is one caller's request through one entry.
func (o *oracle) attempt(claimer Claimer, s step, number int) {
	ctx, cancel := context.WithTimeout(context.Background(), callerPatience)
	defer cancel()
	o.asked(s)
	grant, err := claimer.Claim(ctx, Request{
		Key: Key{0: s.Key}, Fingerprint: FingerprintOf([]byte{s.Body}), Claimant: fmt.Sprint(number),
	})
	if err != nil {
		return
	}
	o.decided(s, grant)
	if grant.Verdict != Granted {
		return
	}
	<-time.After(time.Duration(s.Millis) * time.Millisecond) // it runs
	switch s.Plan {
	case planAnswer:
		answer := fmt.Sprintf("answer %d", number)
		o.answered(s, answer)
		_ = claimer.Settle(ctx, grant, Ending{State: Answered, Answer: &Answer{Status: 200, Body: []byte(answer)}})
	case planNotRun:
		o.notRun(s)
		_ = claimer.Settle(ctx, grant, Ending{State: NotRun})
	case planUnknown:
		_ = claimer.Settle(ctx, grant, Ending{State: Unknown})
	}
}

// play runs a scenario in a synctest bubble.
func (o *oracle) play(f *fleet, scenario []step, claimer func(int) Claimer) {
	var attempts sync.WaitGroup
	for number, s := range scenario {
		switch s.Action {
		case actClaim:
			attempts.Go(func() { o.attempt(claimer(s.Entry), s, number) })
		case actPass:
			<-time.After(time.Duration(s.Millis) * time.Millisecond)
		default:
			f.disturb(s)
		}
		synctest.Wait()
	}
	f.heal()
	attempts.Wait()
	o.repeatAll(claimer, len(scenario))
}

// repeatAll sends every key again through every entry.
func (o *oracle) repeatAll(claimer func(int) Claimer, number int) {
	for entry := range scenarioEntries {
		<-time.After(2 * ownership.DefaultTTL)
		for key := range byte(keyCount) {
			number++
			o.attempt(claimer(entry), step{Entry: entry, Key: key, Plan: planUnknown}, number)
		}
	}
}

// disturb brings a fault about or ends one.
func (f *fleet) disturb(s step) {
	e := f.entries[s.Entry]
	switch s.Action {
	case actFreeze:
		e.freeze()
	case actThaw:
		e.thaw()
	case actDown:
		e.store.SetDown(true)
	case actUp:
		e.store.SetDown(false)
	case actLoseWrites:
		e.store.LoseReplies(1 + s.Millis%3)
	case actDropWrites:
		e.store.DropWrites(1 + s.Millis%3)
	case actLoseReplies:
		e.loseReplies.Store(1)
	case actKill:
		e.kill()
	case actRestart:
		f.restart(e)
	case actHandOver:
		f.handOver(e)
	}
}

func (f *fleet) restart(e *testEntry) {
	if e.dead.Load() {
		e.thaw()
		e.loops.Wait()
		e.start()
	}
}

func (f *fleet) handOver(e *testEntry) {
	if e.dead.Load() {
		return
	}
	server := e.server
	e.loops.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		e.awaitThaw()
		server.HandOver(ctx)
		e.dead.Store(true)
		e.stop()
	})
}

func (f *fleet) heal() {
	for _, e := range f.entries {
		e.thaw()
		e.store.SetDown(false)
		e.store.LoseReplies(0)
		e.store.DropWrites(0)
		e.loseReplies.Store(0)
	}
	synctest.Wait()
	for _, e := range f.entries {
		f.restart(e)
	}
}
