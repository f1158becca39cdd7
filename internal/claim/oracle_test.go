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
	actWait
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

// endingPlan is how a claimant settles a grant.
type endingPlan int

const (
	planAnswer endingPlan = iota
	planNotRun
	planUnknown
	planNoSettle
	planCount
)

// step contains only data, so that rapid can shrink scenarios and any Claimer can run them.
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
	// callerTimeout is how long a caller waits for the verdict and the ending of a claim.
	callerTimeout = 20 * time.Second
)

func scenarios() *rapid.Generator[[]step] {
	stepGenerator := rapid.Custom(func(t *rapid.T) step {
		s := step{Entry: rapid.IntRange(0, scenarioEntries-1).Draw(t, "entry")}
		s.Action = rapid.OneOf(
			rapid.Just(actClaim), rapid.Just(actClaim), rapid.Just(actWait),
			rapid.Map(rapid.IntRange(int(actFreeze), int(actionCount)-1), func(a int) action { return action(a) }),
		).Draw(t, "action")
		s.Key = rapid.ByteRange(0, keyCount-1).Draw(t, "key")
		s.Body = byte(rapid.IntRange(0, 9).Draw(t, "body") / 9)
		s.Plan = endingPlan(rapid.IntRange(0, int(planCount)-1).Draw(t, "plan"))
		s.Millis = rapid.SampledFrom([]int{1, 50, 400, 3000, 9000}).Draw(t, "millis")
		return s
	})
	return rapid.SliceOfN(stepGenerator, 10, 80)
}

// oracle records each grant and each ending at the claimant, and checks that no request can
// run twice.
type oracle struct {
	mu         sync.Mutex
	keys       map[byte]*keyHistory
	violations []string
	granted    int
}

type keyHistory struct {
	mayRun      bool // a grant exists that was not settled as not run
	body        byte
	bodies      map[byte]bool
	answers     map[string]bool
	everGranted bool
}

func newOracle() *oracle { return &oracle{keys: map[byte]*keyHistory{}} }

func (o *oracle) violate(format string, args ...any) {
	o.violations = append(o.violations, fmt.Sprintf(format, args...))
}

func (o *oracle) history(key byte) *keyHistory {
	if o.keys[key] == nil {
		o.keys[key] = &keyHistory{bodies: map[byte]bool{}, answers: map[string]bool{}}
	}
	return o.keys[key]
}

func (o *oracle) recordRequest(s step) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.history(s.Key).bodies[s.Body] = true
}

func (o *oracle) checkGrant(s step, grant Grant) {
	o.mu.Lock()
	defer o.mu.Unlock()
	history := o.history(s.Key)
	switch grant.Verdict {
	case Granted:
		o.granted++
		if history.mayRun {
			o.violate("key %d granted again", s.Key)
		}
		if history.everGranted && history.body != s.Body {
			o.violate("key %d granted for another body", s.Key)
		}
		history.mayRun, history.everGranted, history.body = true, true, s.Body
	case Taken:
		if !history.everGranted && grant.Prior.State != Running {
			o.violate("key %d has an ending but was never granted", s.Key)
		}
		if answer := grant.Prior.Answer; answer != nil && !history.answers[string(answer.Body)] {
			o.violate("key %d: no claimant settled with the answer %q", s.Key, answer.Body)
		}
		if grant.Prior.State == Answered && len(history.answers) == 0 {
			o.violate("key %d was never answered", s.Key)
		}
	case Mismatch:
		if len(history.bodies) < 2 {
			o.violate("key %d: mismatch, but all requests had the same body", s.Key)
		}
	default:
		o.violate("unknown verdict %d", grant.Verdict)
	}
}

func (o *oracle) recordAnswer(s step, answer string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.history(s.Key).answers[answer] = true
}

func (o *oracle) recordNotRun(s step) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.history(s.Key).mayRun = false
}

// attempt sends one caller's request through one entry and settles a grant by the plan.
func (o *oracle) attempt(claimer Claimer, s step, number int) {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	o.recordRequest(s)
	grant, err := claimer.Claim(ctx, Request{
		Key: Key{0: s.Key}, Fingerprint: FingerprintOf([]byte{s.Body}), Claimant: fmt.Sprint(number),
	})
	if err != nil {
		return
	}
	o.checkGrant(s, grant)
	if grant.Verdict != Granted {
		return
	}
	<-time.After(time.Duration(s.Millis) * time.Millisecond) // the request runs
	switch s.Plan {
	case planAnswer:
		answer := fmt.Sprintf("answer %d", number)
		o.recordAnswer(s, answer)
		_ = claimer.Settle(ctx, grant, Ending{State: Answered, Answer: &Answer{Status: 200, Body: []byte(answer)}})
	case planNotRun:
		o.recordNotRun(s)
		_ = claimer.Settle(ctx, grant, Ending{State: NotRun})
	case planUnknown:
		_ = claimer.Settle(ctx, grant, Ending{State: Unknown})
	}
}

// play runs a scenario inside a synctest bubble.
func (o *oracle) play(f *fleet, scenario []step, claimer func(int) Claimer) {
	var attempts sync.WaitGroup
	for number, s := range scenario {
		switch s.Action {
		case actClaim:
			attempts.Go(func() { o.attempt(claimer(s.Entry), s, number) })
		case actWait:
			<-time.After(time.Duration(s.Millis) * time.Millisecond)
		default:
			f.injectFault(s)
		}
		synctest.Wait()
	}
	f.clearFaults()
	attempts.Wait()
	o.repeatAll(claimer, len(scenario))
}

// repeatAll retries every key through every entry.
func (o *oracle) repeatAll(claimer func(int) Claimer, number int) {
	for entry := range scenarioEntries {
		<-time.After(2 * ownership.DefaultTTL)
		for key := range byte(keyCount) {
			number++
			o.attempt(claimer(entry), step{Entry: entry, Key: key, Plan: planUnknown}, number)
		}
	}
}

// injectFault starts or ends a fault.
func (f *fleet) injectFault(s step) {
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

func (f *fleet) clearFaults() {
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
