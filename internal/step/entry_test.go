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
	world        *world
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
	e.service = NewService(Options{Owner: e, Generator: e, Alive: e.world.alive, Concurrency: 4, IdleAfter: 1000 * time.Hour, AbandonAfter: 2000 * time.Hour})
	e.caller = e.world.wrap(e.service)
	e.cachedTenure = ownership.Tenure{}
	e.router = NewRouter(RouterOptions{
		Service: e.service, Self: e.id, Peers: e.world.peers, Rank: ownership.Rank,
		Dial: func(p control.Peer) peerpb.Peer { return localPeer{caller: e.world.entry(p.ID).caller} },
	})
}

// Acquire implements ownership.Owner. The cached tenure stays valid after the lease
// expires, until the test clears it.
func (e *fakeEntry) Acquire(context.Context, string) (ownership.Tenure, error) {
	w := e.world
	switch {
	case w.storeOutage:
		return ownership.Tenure{}, ownership.ErrUnavailable.New("outage")
	case w.holder != "" && w.holder != e.id:
		return ownership.Tenure{}, ownership.HeldElsewhere(testUnit, w.holder)
	case w.holder == "":
		w.epoch++
		w.holder = e.id
	}
	e.cachedTenure = ownership.Tenure{Unit: testUnit, Epoch: w.epoch}
	return e.cachedTenure, nil
}

func (e *fakeEntry) Valid(tenure ownership.Tenure) bool {
	return tenure.Epoch > 0 && tenure == e.cachedTenure
}

func (e *fakeEntry) Release(context.Context, string) error {
	if e.world.holder == e.id && e.cachedTenure.Epoch == e.world.epoch {
		e.world.holder = ""
	}
	e.cachedTenure = ownership.Tenure{}
	return nil
}

// Generate implements Generator. The test controls the engine's output, and the text
// contains the weight version of each token.
func (e *fakeEntry) Generate(ctx context.Context, req GenerateRequest) (Generation, error) {
	j := e.world.startJob(e.id, req)
	defer e.world.endJob(j)
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
