package claim

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/keyvalue/memstore"
	"github.com/comfreyfront/comfreyfront/internal/ownership"
	"github.com/comfreyfront/comfreyfront/internal/peer/peerpb"
)

// fleet is a group of entries that share a store and call each other over links that can
// lose responses. It runs inside a synctest bubble.
type fleet struct {
	options Options
	entries []*testEntry
}

// storeDelay is the duration of a store call, so that other events can occur while a call
// is in flight.
const storeDelay = 20 * time.Millisecond

// testEntry is one entry. A frozen entry sends no requests and handles none until it is
// thawed; then it continues in the state that it had.
type testEntry struct {
	fleet  *fleet
	id     string
	store  *memstore.Store
	server *Server
	router *Router
	stop   context.CancelFunc
	loops  sync.WaitGroup
	starts int

	mu          sync.Mutex
	thawed      chan struct{} // closed while the entry is not frozen
	dead        atomic.Bool
	loseReplies atomic.Int32
}

func newFleet(entries int, options Options) *fleet {
	f := &fleet{options: options}
	root := memstore.New(nil)
	for i := range entries {
		e := &testEntry{fleet: f, id: fmt.Sprint(i), store: root.View(), thawed: make(chan struct{})}
		close(e.thawed)
		e.store.Intercept(func(context.Context, memstore.Operation, string) error {
			<-time.After(storeDelay)
			e.awaitThaw()
			return nil
		})
		f.entries = append(f.entries, e)
		e.start()
	}
	return f
}

func (e *testEntry) start() {
	ctx, stop := context.WithCancel(context.Background())
	e.stop = stop
	e.starts++
	manager := ownership.New(e.store, fmt.Sprintf("%s.%d", e.id, e.starts), ownership.Options{}, quiet)
	options := e.fleet.options
	options.Alive = e.alive
	e.server = NewServer(e.store, &entryOwner{Manager: manager, holders: map[string]string{}}, options, quiet, nil)
	e.router = NewRouter(e.id, e.server, e.peers, e.dial, e.fleet.options, quiet)
	server := e.server
	e.loops.Go(func() { _ = manager.Run(ctx) })
	e.loops.Go(func() { _ = server.Run(ctx) })
	e.dead.Store(false)
}

// entryOwner removes the start counter from the holder's name, so that a restarted entry is
// reported under its identifier.
type entryOwner struct {
	*ownership.Manager
	mu      sync.Mutex
	holders map[string]string // holders' names with the start counter, by unit
}

func (o *entryOwner) Acquire(ctx context.Context, unit string) (ownership.Tenure, error) {
	tenure, err := o.Manager.Acquire(ctx, unit)
	if holder := ownership.HolderOf(err); holder != "" {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.holders[unit] = holder
		return tenure, ownership.HeldElsewhere(unit, holder[:1])
	}
	return tenure, err
}

func (o *entryOwner) TakeOver(ctx context.Context, unit, _ string) (ownership.Tenure, error) {
	o.mu.Lock()
	holder := o.holders[unit]
	o.mu.Unlock()
	tenure, err := o.Manager.TakeOver(ctx, unit, holder)
	if holder := ownership.HolderOf(err); holder != "" {
		return tenure, ownership.HeldElsewhere(unit, holder[:1])
	}
	return tenure, err
}

// alive reports frozen entries as dead, so that partitions of live owners are taken over.
func (e *testEntry) alive(id string) bool {
	return slices.ContainsFunc(e.peers(), func(peer Peer) bool { return peer.ID == id })
}

// kill stops the entry without a handover; its state in memory is lost.
func (e *testEntry) kill() {
	e.thaw()
	e.dead.Store(true)
	e.stop()
}

func (e *testEntry) freeze() {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.thawed:
		e.thawed = make(chan struct{})
	default:
	}
}

func (e *testEntry) thaw() {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.thawed:
	default:
		close(e.thawed)
	}
}

func (e *testEntry) awaitThaw() {
	e.mu.Lock()
	thawed := e.thawed
	e.mu.Unlock()
	<-thawed
}

func (e *testEntry) isFrozen() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.thawed:
		return false
	default:
		return true
	}
}

// peers returns the entries that the entry believes to be live. Frozen ones are excluded,
// because they do not respond.
func (e *testEntry) peers() []Peer {
	var live []Peer
	for _, other := range e.fleet.entries {
		if !other.dead.Load() && (other == e || !other.isFrozen()) {
			live = append(live, Peer{ID: other.id})
		}
	}
	return live
}

// close stops all entries, so that no goroutine is left in the bubble.
func (f *fleet) close() {
	for _, e := range f.entries {
		e.thaw()
		e.stop()
	}
	for _, e := range f.entries {
		e.loops.Wait()
	}
}

func (f *fleet) claimer(entry int) Claimer { return f.entries[entry].router }

// link is the connection from any entry to one other entry.
type link struct{ to *testEntry }

func (e *testEntry) dial(to Peer) Owner {
	for _, other := range e.fleet.entries {
		if other.id == to.ID {
			return link{to: other}
		}
	}
	return link{to: e}
}

func (l link) Claim(ctx context.Context, request *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
	return call(ctx, l.to, func(ctx context.Context) (*peerpb.ClaimReply, error) { return l.to.server.Claim(ctx, request) })
}

func (l link) Settle(ctx context.Context, request *peerpb.SettleRequest) (*peerpb.SettleReply, error) {
	return call(ctx, l.to, func(ctx context.Context) (*peerpb.SettleReply, error) { return l.to.server.Settle(ctx, request) })
}

// call delivers a request even if its sender has stopped waiting, like a request that is
// still in the buffers of a connection.
func call[T any](ctx context.Context, to *testEntry, handle func(context.Context) (*T, error)) (*T, error) {
	if to.dead.Load() {
		return nil, &net.OpError{Op: "dial", Err: errors.New("connection refused")}
	}
	type result struct {
		reply *T
		err   error
	}
	done := make(chan result, 1)
	to.loops.Go(func() {
		to.awaitThaw()
		handling, cancel := context.WithTimeout(context.Background(), to.server.options.CallTimeout)
		defer cancel()
		reply, err := handle(handling)
		to.awaitThaw()
		done <- result{reply, err}
	})
	select {
	case got := <-done:
		if to.loseReplies.Add(-1) >= 0 {
			return nil, errors.New("connection reset")
		}
		return got.reply, got.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
