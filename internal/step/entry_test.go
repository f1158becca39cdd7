package step

import (
	"context"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/control"
	"github.com/comfreyfront/comfreyfront/internal/ownership"
	"github.com/comfreyfront/comfreyfront/internal/peer/peerpb"
)

// fakeEntry simulates an entry's process. It implements ownership.Owner and Generator.
type fakeEntry struct {
	simulation   *simulation
	id           string
	incarnation  int
	service      *Service
	caller       caller
	router       *Router
	cachedTenure ownership.Tenure
	reportedDead bool // other entries consider this one dead
}

func (e *fakeEntry) start() {
	e.incarnation++
	e.service = NewService(Options{Owner: e, Generator: e, Alive: e.simulation.alive, Concurrency: 4, IdleAfter: 1000 * time.Hour, AbandonAfter: 2000 * time.Hour})
	e.caller = e.simulation.wrap(e.service)
	e.cachedTenure = ownership.Tenure{}
	e.router = NewRouter(RouterOptions{
		Service: e.service, Self: e.id, Peers: e.simulation.peers, Rank: ownership.Rank,
		Dial: func(p control.Peer) peerpb.Peer { return localPeer{caller: e.simulation.entry(p.ID).caller} },
	})
}

// Acquire implements ownership.Owner. The cached tenure stays valid after the lease
// expires, until the test clears it.
func (e *fakeEntry) Acquire(context.Context, string) (ownership.Tenure, error) {
	sim := e.simulation
	switch {
	case sim.storeOutage:
		return ownership.Tenure{}, ownership.ErrUnavailable.New("outage")
	case sim.holder != "" && sim.holder != e.id:
		return ownership.Tenure{}, ownership.HeldElsewhere(testUnit, sim.holder)
	case sim.holder == "":
		sim.epoch++
		sim.holder = e.id
	}
	e.cachedTenure = ownership.Tenure{Unit: testUnit, Epoch: sim.epoch}
	return e.cachedTenure, nil
}

func (e *fakeEntry) Valid(tenure ownership.Tenure) bool {
	return tenure.Epoch > 0 && tenure == e.cachedTenure
}

func (e *fakeEntry) Release(context.Context, string) error {
	if e.simulation.holder == e.id && e.cachedTenure.Epoch == e.simulation.epoch {
		e.simulation.holder = ""
	}
	e.cachedTenure = ownership.Tenure{}
	return nil
}

// Generate implements Generator. The test controls the engine's output, and the text
// contains the weight version of each token.
func (e *fakeEntry) Generate(ctx context.Context, req GenerateRequest) (Generation, error) {
	j := e.simulation.startJob(e.id, req)
	defer e.simulation.endJob(j)
	for {
		select {
		case <-ctx.Done():
			return Generation{}, ctx.Err()
		case piece := <-j.pieces:
			j.text += piece.Text
			j.spans = AppendSpan(j.spans, piece.WeightVersion, piece.Tokens)
			req.Progress(piece)
		case err := <-j.outcome:
			return Generation{Text: j.text, FinishReason: "stop", Spans: j.spans}, err
		}
	}
}
