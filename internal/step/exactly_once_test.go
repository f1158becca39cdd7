package step

import (
	"context"
	"encoding/json"
	"flag"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/comfreyfront/comfreyfront/internal/peer/peerpb"
	"github.com/comfreyfront/comfreyfront/internal/step/wire"
	"github.com/comfreyfront/comfreyfront/trainer"
)

// checks is the number of checks of the stateful tests, with -short too, which
// makes rapid run a fifth of what it is told.
const checks, shortFactor = 150, 5

func TestMain(m *testing.M) {
	flag.Parse()
	count := checks
	if testing.Short() {
		count *= shortFactor
	}
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": strconv.Itoa(count), "rapid.steps": "80"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	goleak.VerifyTestMain(m)
}

func TestEachSampleIsTakenExactlyOnce(t *testing.T) {
	rapid.Check(t, func(check *rapid.T) {
		inBubble(t, func() {
			restart := func(holds wire.Holdings) taker { return trainer.NewAccount(testSpec, holds, 1) }
			w := newWorld(func(s *Service) caller { return s }, restart(nil))
			w.restart = restart
			defer w.stop()
			check.Repeat(w.actions())
			complete := w.finish()
			require.Empty(check, w.broken)
			require.True(check, complete, "samples are missing")
			for g, group := range testSpec.Groups {
				for i := range group.Size {
					require.Equal(check, 1, w.taken[wire.SampleID{Group: g, Index: i}])
				}
			}
		})
	})
}

// inBubble runs one check in a bubble of its own, whose time is fake.
func inBubble(t *testing.T, check func()) {
	var failed any
	synctest.Test(t, func(*testing.T) {
		defer func() { failed = recover() }()
		check()
	})
	if failed != nil {
		panic(failed)
	}
}

// TestNaiveDeliveryBreaksPromises shows that the test above can fail: an entry
// that delivers and forgets, to a trainer that takes what comes, breaks each
// promise that it checks.
func TestNaiveDeliveryBreaksPromises(t *testing.T) {
	broken := map[string]bool{}
	rapid.Check(t, func(check *rapid.T) {
		inBubble(t, func() {
			w := newWorld(func(s *Service) caller { return naiveEntry{s} }, &naiveTaker{taken: map[wire.SampleID]bool{}})
			defer w.stop()
			w.create(w.entries[0].caller)
			check.Repeat(w.actions())
			if !w.finish() {
				broken["missing"] = true
			}
			for promise := range w.broken {
				broken[promise] = true
			}
		})
	})
	require.Subset(t, broken, map[string]bool{"twice": true, "missing": true, "changed": true, "staleness": true})
}

// naiveEntry delivers each sample once and forgets it. It neither looks at
// epochs, pull numbers and holdings nor judges staleness at delivery.
type naiveEntry struct{ *Service }

func (n naiveEntry) Call(ctx context.Context, call *peerpb.StepCall) *peerpb.StepResult {
	if !strings.HasSuffix(call.Path, "/pull") || n.find(testUnit) == nil {
		return n.Service.Call(ctx, call)
	}
	r := n.find(testUnit)
	r.mu.Lock()
	defer r.mu.Unlock()
	reply := wire.PullReply{Pull: 1, Samples: r.step.pick(replyLimits{samples: 100, bytes: 1 << 20})}
	for _, s := range reply.Samples {
		r.step.hold(r.step.groups[s.Group].first + s.Index)
	}
	body, _ := json.Marshal(reply)
	return &peerpb.StepResult{Status: http.StatusOK, Body: body}
}

// naiveTaker takes what comes.
type naiveTaker struct{ taken map[wire.SampleID]bool }

func (n *naiveTaker) Create() wire.CreateRequest { return wire.CreateRequest{Spec: testSpec} }
func (n *naiveTaker) Created(wire.CreateReply)   {}
func (n *naiveTaker) Pull(v int64) wire.PullRequest {
	return wire.PullRequest{Pull: 1, WeightVersion: v}
}
func (n *naiveTaker) Skip(int64)     {}
func (n *naiveTaker) Complete() bool { return len(n.taken) == 6 }
func (n *naiveTaker) Accept(r *wire.PullReply, _ int64, take func(wire.Sample) error) error {
	for _, s := range r.Samples {
		n.taken[wire.SampleID{Group: s.Group, Index: s.Index}] = true
		if err := take(s); err != nil {
			return err
		}
	}
	return nil
}
