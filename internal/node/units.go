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
	"github.com/comfreyfront/comfreyfront/internal/submission"
	"github.com/comfreyfront/comfreyfront/internal/submission/recordpb"
	"github.com/comfreyfront/comfreyfront/internal/weights"
)

// unitEngines starts the names of units: one for each service of engines. Its
// owner places all texts of the service and orders its weights, so that both
// know of each other.
const unitEngines = "engines/"

// scoreShare is the share of the plain endpoints' slots that scoring calls of
// one owner may take: callers who wait have the rest.
const scoreShare = 0.7

// unitRun is what runs while this node owns a unit.
type unitRun struct {
	unit    cluster.Unit
	owner   *submission.Owner
	weights *weights.Manager
	cancel  context.CancelFunc
}

// wantUnits asks for an owner of each service of engines.
func (n *Node) wantUnits() {
	configuration := n.routes.Load()
	if configuration == nil {
		return
	}
	for name, service := range configuration.Services {
		if service.Engine {
			n.cluster.Want(unitEngines + name)
		}
	}
}

// gained starts the work of a unit.
func (n *Node) gained(unit cluster.Unit) {
	service := strings.TrimPrefix(unit.Name, unitEngines)
	ctx, cancel := context.WithCancel(context.Background())
	owner := submission.NewOwner(ctx, submission.OwnerOptions{
		Unit: unit, Service: service, Zone: n.chosen.FailureDomain,
		Store: n.store, Directory: n.directory, Routes: n.routes,
		Streamer: n.endpoints, Scorer: n.score, ScoreSlots: func() int { return n.scoreSlots(service) },
		Status: n.chosen.StatusLife, Ended: n.stepEnded, Logger: n.logger,
	})
	manager := weights.NewManager(weights.Options{
		Service: service, Directory: n.directory, Engines: n.endpoints, Targets: n.targets,
		Models:    func() []string { return n.modelsOf(service) },
		Mode:      func(model string) weights.Mode { return modeFor(owner, model) },
		Confirmed: n.cluster.Confirmed,
		Changed:   owner.Poke,
		Holder:    n.chosen.Name, Epoch: unit.Epoch, Logger: n.logger,
	})
	n.mu.Lock()
	old := n.running[unit.Name]
	n.running[unit.Name] = &unitRun{unit: unit, owner: owner, weights: manager, cancel: cancel}
	n.mu.Unlock()
	if old != nil {
		old.cancel()
	}
	if unit.From != nil {
		owner.Seed(n.takeTexts(ctx, unit))
	}
	n.submissions.StartOwner(owner)
	go owner.Restore()
	go func() { _ = manager.Run(ctx) }() // it ends with its context, without an error
}

// takeTextsTimeout bounds the asking of a leaving owner.
const takeTextsTimeout = 500 * time.Millisecond

// takeTexts asks the leaving owner of a unit for the texts that it has not listed;
// without them they are generated again.
func (n *Node) takeTexts(ctx context.Context, unit cluster.Unit) *recordpb.Texts {
	ctx, cancel := context.WithTimeout(ctx, takeTextsTimeout)
	defer cancel()
	texts, err := n.peers.texts(ctx, *unit.From, unit.Name)
	if err != nil {
		event.TextsNotTaken.Log(ctx, n.logger, slog.String("unit", unit.Name), slog.String("from", unit.From.Name), slog.String("cause", err.Error()))
		return nil
	}
	event.TextsTaken.Log(ctx, n.logger, slog.String("unit", unit.Name), slog.String("from", unit.From.Name), slog.Int("texts", len(texts.GetTexts())))
	return texts
}

// lost stops the work of a unit.
func (n *Node) lost(unit cluster.Unit) {
	n.mu.Lock()
	run := n.running[unit.Name]
	delete(n.running, unit.Name)
	n.mu.Unlock()
	if run != nil {
		run.cancel()
	}
	n.submissions.StopOwner(unit.Name)
}

// modeFor says what becomes of a model's runs while its weights are loaded:
// texts of one version must end first, others go on.
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

// scoreSlots returns how many scoring calls an owner may have open.
func (n *Node) scoreSlots(engines string) int {
	slots := 0
	configuration := n.routes.Load()
	if configuration == nil {
		return 0
	}
	for name := range configuration.Services {
		if name == engines {
			continue
		}
		for _, e := range n.directory.Of(name) {
			slots += e.Slots
		}
	}
	return int(scoreShare * float64(slots))
}

// score makes the call that scores a text, through the route of its own.
func (n *Node) score(ctx context.Context, reward *recordpb.Reward) (*call.Answer, int, error) {
	configuration := n.routes.Load()
	matched, ok := configuration.Match(reward.GetHost(), reward.GetPath())
	if !ok {
		return nil, 1, call.ErrNoEndpoint.New("no route for the scoring call")
	}
	ctx, cancel := context.WithTimeout(ctx, max(matched.Timeout, time.Second))
	defer cancel()
	until, _ := ctx.Deadline()
	answer, err := n.forward.Do(ctx, matched, &call.Request{
		ID: reward.GetId(), Method: http.MethodPost, URI: reward.GetPath(), Host: reward.GetHost(),
		Header: http.Header{}, Body: reward.GetBody(), Deadline: until, FailureCounts: true,
	})
	return answer, matched.MaxAttempts, err
}
