package step

import (
	"context"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/control"
	"github.com/comfreyfront/comfreyfront/internal/ownership"
	"github.com/comfreyfront/comfreyfront/internal/peer/peerpb"
)

// fakeEntry is one entry's process; it implements ownership.Owner.
type fakeEntry struct {
	world       *world
	id          string
	incarnation int
	service     *Service
	caller      caller
	router      *Router
	believed    ownership.Tenure
	unseen      bool // others take the entry for dead
}

func (e *fakeEntry) start() {
	e.incarnation++
	e.service = NewService(Options{Owner: e, Generator: e, Alive: e.world.alive, Concurrency: 4, IdleAfter: 1000 * time.Hour, AbandonAfter: 2000 * time.Hour})
	e.caller = e.world.wrap(e.service)
	e.believed = ownership.Tenure{}
	e.router = NewRouter(RouterOptions{
		Service: e.service, Self: e.id, Peers: e.world.peers, Rank: ownership.Rank,
		Dial: func(p control.Peer) peerpb.Peer { return forwarded{caller: e.world.entry(p.ID).caller} },
	})
}

// Acquire implements ownership.Owner. An entry that believes in a lapsed lease
// goes on believing until the test tells it.
func (e *fakeEntry) Acquire(context.Context, string) (ownership.Tenure, error) {
	w := e.world
	switch {
	case w.outage:
		return ownership.Tenure{}, ownership.ErrUnavailable.New("outage")
	case w.holder != "" && w.holder != e.id:
		return ownership.Tenure{}, ownership.HeldElsewhere(testUnit, w.holder)
	case w.holder == "":
		w.epoch++
		w.holder = e.id
	}
	e.believed = ownership.Tenure{Unit: testUnit, Epoch: w.epoch}
	return e.believed, nil
}

func (e *fakeEntry) Valid(tenure ownership.Tenure) bool {
	return tenure.Epoch > 0 && tenure == e.believed
}

func (e *fakeEntry) Release(context.Context, string) error {
	if e.world.holder == e.id && e.believed.Epoch == e.world.epoch {
		e.world.holder = ""
	}
	e.believed = ownership.Tenure{}
	return nil
}

// Generate implements Generator: the engine does what the test orders, and its
// text tells the version of each token.
func (e *fakeEntry) Generate(ctx context.Context, req GenerateRequest) (Generation, error) {
	j := e.world.begin(e.id, req)
	defer e.world.end(j)
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
