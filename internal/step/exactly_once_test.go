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

// checks is the number of checks of the stateful tests, with and without -short. With
// -short, rapid divides the configured number by shortFactor.
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

func TestEachSampleIsAcceptedExactlyOnce(t *testing.T) {
	rapid.Check(t, func(check *rapid.T) {
		inBubble(t, func() {
			restart := func(holds wire.Holdings) trainerAccount { return trainer.NewDeliveryTracker(testSpec, holds, 1) }
			sim := newSimulation(func(s *Service) caller { return s }, restart(nil))
			sim.restart = restart
			defer sim.stop()
			check.Repeat(sim.actions())
			complete := sim.finish()
			require.Empty(check, sim.violations)
			require.True(check, complete, "the step did not complete")
			for g, group := range testSpec.Groups {
				for i := range group.Size {
					require.Equal(check, 1, sim.accepted[wire.SampleID{Group: g, Index: i}])
				}
			}
		})
	})
}

// inBubble runs one check in its own synctest bubble, which has a fake clock. A panic
// is passed on outside the bubble, where rapid expects it.
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

// TestNaiveDeliveryViolatesGuarantees shows that TestEachSampleIsAcceptedExactlyOnce can
// fail. With an entry that deletes samples once they are sent and a trainer that accepts
// every sample, each guarantee that the test checks is violated.
func TestNaiveDeliveryViolatesGuarantees(t *testing.T) {
	violations := map[string]bool{}
	rapid.Check(t, func(check *rapid.T) {
		inBubble(t, func() {
			sim := newSimulation(func(s *Service) caller { return naiveEntry{s} }, &naiveTrainer{accepted: map[wire.SampleID]bool{}})
			defer sim.stop()
			sim.create(sim.entries[0].caller)
			check.Repeat(sim.actions())
			if !sim.finish() {
				violations["missing"] = true
			}
			for guarantee := range sim.violations {
				violations[guarantee] = true
			}
		})
	})
	require.Subset(t, violations, map[string]bool{"twice": true, "missing": true, "changed": true, "staleness": true})
}

// naiveEntry sends each sample once and deletes it. It ignores epochs, pull numbers
// and holdings, and does not check staleness at delivery.
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
		r.step.markHeld(r.step.groups[s.Group].first + s.Index)
	}
	body, _ := json.Marshal(reply)
	return &peerpb.StepResult{Status: http.StatusOK, Body: body}
}

// naiveTrainer accepts every sample, including duplicates.
type naiveTrainer struct{ accepted map[wire.SampleID]bool }

func (n *naiveTrainer) Create() wire.CreateRequest { return wire.CreateRequest{Spec: testSpec} }
func (n *naiveTrainer) Created(wire.CreateReply)   {}
func (n *naiveTrainer) Pull(v int64) wire.PullRequest {
	return wire.PullRequest{Pull: 1, WeightVersion: v}
}
func (n *naiveTrainer) Skip(int64)     {}
func (n *naiveTrainer) Complete() bool { return len(n.accepted) == 6 }
func (n *naiveTrainer) Accept(r *wire.PullReply, _ int64, handle func(wire.Sample) error) error {
	for _, s := range r.Samples {
		n.accepted[wire.SampleID{Group: s.Group, Index: s.Index}] = true
		if err := handle(s); err != nil {
			return err
		}
	}
	return nil
}
