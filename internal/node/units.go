package node

import (
	"context"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/call"
	"github.com/comfreyfront/comfreyfront/internal/cluster"
	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/fleet"
	"github.com/comfreyfront/comfreyfront/internal/intake"
	"github.com/comfreyfront/comfreyfront/internal/submission"
	"github.com/comfreyfront/comfreyfront/internal/submission/recordpb"
	"github.com/comfreyfront/comfreyfront/internal/weights"
)

// engineUnitPrefix is the prefix of unit names. There is one unit for each engine
// service. Its owner both places all texts of the service and orders the loading of
// weights, so each of the two can take the other into account.
const engineUnitPrefix = "engines/"

// scoreSlotFraction is the fraction of the plain endpoints' slots that scoring
// calls of one owner may use. The rest is reserved for callers' requests, since
// callers wait for the answers.
const scoreSlotFraction = 0.7

// unitRun is the work that runs while this node owns a unit.
type unitRun struct {
	unit    cluster.Unit
	owner   *submission.Owner
	weights *weights.Manager
	cancel  context.CancelFunc
}

// wantUnits requests ownership of the unit of each engine service and of that of the usage
// reports; the cluster decides which node becomes the owner.
func (n *Node) wantUnits() {
	configuration := n.routes.Load()
	if configuration == nil {
		return
	}
	if n.usage != nil {
		n.cluster.Want(usageUnit)
	}
	for name, service := range configuration.Services {
		if service.Engine {
			n.cluster.Want(engineUnitPrefix + name)
		}
		if n.wantsScalingUnit(service) {
			n.cluster.Want(scalingUnitPrefix + name)
		}
	}
}

// unitAcquired starts the work of a unit that this node now owns.
func (n *Node) unitAcquired(unit cluster.Unit) {
	if unit.Name == usageUnit {
		if n.usage != nil {
			n.usage.acquired(unit)
		}
		return
	}
	if plain, ok := strings.CutPrefix(unit.Name, scalingUnitPrefix); ok {
		n.startScaling(unit, plain, nil)
		return
	}
	n.engineUnitAcquired(unit, strings.TrimPrefix(unit.Name, engineUnitPrefix))
}

// heldStreamer counts the memory of streams that no caller waits for.
type heldStreamer struct {
	call.Streamer
	intake *intake.Intake
}

// Stream implements call.Streamer.
func (s heldStreamer) Stream(ctx context.Context, e *fleet.Endpoint, request *call.Request, after int, receiver call.Receiver) error {
	ctx, release := s.intake.WithHold(ctx)
	defer release()
	return s.Streamer.Stream(ctx, e, request, after, receiver)
}

// engineUnitAcquired starts the work of the new owner of an engine service.
func (n *Node) engineUnitAcquired(unit cluster.Unit, service string) {
	ctx, cancel := context.WithCancel(context.Background())
	owner := submission.NewOwner(ctx, submission.OwnerOptions{
		Unit: unit, Service: service, Zone: n.config.FailureDomain,
		Store: n.store, Directory: n.directory, Routes: n.routes,
		Streamer: heldStreamer{n.endpoints, n.intake}, Scorer: n.score, ScoreSlots: func() int { return n.scoreSlots(service) },
		Status: n.config.StatusLife, Ended: n.submissionEnded, Logger: n.logger,
	})
	manager := weights.NewManager(weights.Options{
		Service: service, Directory: n.directory, Engines: n.endpoints, Targets: n.targets,
		Models:     func() []string { return n.modelsOf(service) },
		MinVersion: owner.MinVersion,
		Demand:     owner.Demand,
		Mode:       func(model string) weights.Mode { return modeFor(owner, model) },
		Confirmed:  n.cluster.Confirmed,
		Changed:    owner.Wake,
		Holder:     n.config.Name, Epoch: unit.Epoch, Logger: n.logger,
	})
	n.mu.Lock()
	old := n.units[unit.Name]
	n.units[unit.Name] = &unitRun{unit: unit, owner: owner, weights: manager, cancel: cancel}
	n.mu.Unlock()
	if old != nil {
		old.cancel()
	}
	if unit.From != nil {
		owner.Seed(n.fetchTexts(ctx, unit))
	}
	n.submissions.StartOwner(owner)
	n.startScaling(unit, service, owner)
	go owner.Restore()
	go func() { _ = manager.Run(ctx) }() // Run returns nil when ctx ends
}

// fetchTextsTimeout bounds the call to the previous owner of a unit.
const fetchTextsTimeout = 500 * time.Millisecond

// fetchTexts requests from the leaving owner of a unit the texts of items whose
// results it has not listed. Without them these texts are generated again.
func (n *Node) fetchTexts(ctx context.Context, unit cluster.Unit) *recordpb.Texts {
	ctx, cancel := context.WithTimeout(ctx, fetchTextsTimeout)
	defer cancel()
	texts, err := n.peers.texts(ctx, *unit.From, unit.Name)
	if err != nil {
		event.TextsNotReceived.Log(ctx, n.logger, slog.String("unit", unit.Name), slog.String("from", unit.From.Name), slog.String("cause", err.Error()))
		return nil
	}
	event.TextsReceived.Log(ctx, n.logger, slog.String("unit", unit.Name), slog.String("from", unit.From.Name), slog.Int("texts", len(texts.GetTexts())))
	return texts
}

// unitLost stops the work of a unit that this node no longer owns.
func (n *Node) unitLost(unit cluster.Unit) {
	if unit.Name == usageUnit {
		if n.usage != nil {
			n.usage.lost()
		}
		return
	}
	n.scalers.replace(unit.Name, nil)
	if strings.HasPrefix(unit.Name, scalingUnitPrefix) {
		return
	}
	n.mu.Lock()
	run := n.units[unit.Name]
	delete(n.units, unit.Name)
	n.mu.Unlock()
	if run != nil {
		run.cancel()
	}
	n.submissions.StopOwner(unit.Name)
}

// modeFor returns what happens to a model's running generations while its weights
// are loaded. Texts that must come from a single version finish first; others
// continue.
func modeFor(owner *submission.Owner, model string) weights.Mode {
	if owner.SingleVersion(model) {
		return weights.Finish
	}
	return weights.Continue
}

func (n *Node) modelsOf(service string) []string {
	configuration := n.routes.Load()
	if configuration == nil {
		return nil
	}
	return configuration.Services[service].Models
}

// scoreSlots returns how many scoring calls the owner of an engine service may have
// open, given what the plain endpoints take well.
func (n *Node) scoreSlots(engines string) int {
	slots, now := 0, time.Now()
	configuration := n.routes.Load()
	if configuration == nil {
		return 0
	}
	for name := range configuration.Services {
		if name == engines {
			continue
		}
		for _, e := range n.directory.Of(name) {
			if !e.Leaving() {
				slots += min(e.Slots, e.Limit(now))
			}
		}
	}
	return int(scoreSlotFraction * float64(slots))
}

// score makes the call that scores a text, through the route that matches the call.
func (n *Node) score(ctx context.Context, reward *recordpb.Reward) (*call.Answer, int, error) {
	configuration := n.routes.Load()
	if configuration == nil {
		return nil, 1, call.ErrNoEndpoint.New("no configuration is known yet")
	}
	matched, ok := configuration.Match(reward.GetHost(), reward.GetPath())
	if !ok {
		return nil, 1, call.ErrNoEndpoint.New("no route for the scoring call")
	}
	ctx, cancel := context.WithTimeout(ctx, max(matched.Timeout, time.Second))
	defer cancel()
	deadline, _ := ctx.Deadline()
	answer, err := n.forward.Do(ctx, matched, &call.Request{
		ID: reward.GetId(), Method: http.MethodPost, URI: reward.GetPath(), Host: reward.GetHost(),
		Header: http.Header{}, Body: reward.GetBody(), Deadline: deadline, Owed: true, ReturnFailures: true, DiscardBody: true,
	})
	return answer, matched.MaxAttempts, err
}
