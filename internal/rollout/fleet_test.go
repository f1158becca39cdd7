package rollout

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/engine"
	"github.com/comfreyfront/comfreyfront/internal/keyvalue/memstore"
	"github.com/comfreyfront/comfreyfront/internal/ownership"
	"github.com/comfreyfront/comfreyfront/internal/wait"
)

// fleet is the engines of one model, the leases and the control side.
type fleet struct {
	store   *memstore.Store
	mu      sync.Mutex
	newest  int64
	floor   int64
	engines map[string]*fakeEngine
	holder  map[string]string // of the lease of each unit
	epoch   int64
	lapsed  map[int64]struct{} // epochs that ended under their holder
	unready map[string]bool
	// busy counts the engines under an order, by domain; most is its maximum.
	busy, most map[string]int
	// broken collects what went wrong.
	broken []string
}

// fakeEngine is one engine. Orders reach it after delay, also when their
// sender has given up, and run side by side. An engine that checks fencing
// numbers has a clock too wrong for deadlines.
type fakeEngine struct {
	fleet  *fleet
	domain string
	checks bool
	state  engine.WeightState
	delay  time.Duration // of each order
	held   time.Duration // of the next order, besides
	slow   time.Duration // that the next order takes besides work
	// heldSwap and slowSwap are the same for the next activation.
	heldSwap, slowSwap time.Duration
	kept               map[int64]bool // versions once staged
	loseReply          int            // replies to lose
	failSwap           int            // swaps to fail partway
	work               time.Duration
	swapWork           time.Duration // of activations, if set
	changed            time.Time
}

func newFleet(domains, perDomain int, work time.Duration) *fleet {
	f := &fleet{
		store: memstore.New(nil), newest: 1, engines: map[string]*fakeEngine{}, holder: map[string]string{}, lapsed: map[int64]struct{}{},
		unready: map[string]bool{}, busy: map[string]int{}, most: map[string]int{},
	}
	for d := range domains {
		for i := range perDomain {
			id := fmt.Sprintf("d%d-%d", d, i)
			f.engines[id] = &fakeEngine{fleet: f, domain: fmt.Sprintf("d%d", d), checks: i%2 == 0, kept: map[int64]bool{}, work: work, state: engine.WeightState{Active: 1}}
		}
	}
	return f
}

// SetVersions implements Control.
func (f *fleet) SetVersions(_ context.Context, _ string, newest, floor int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.newest, f.floor = max(f.newest, newest), max(f.floor, floor)
}

// SetUnready implements Control.
func (f *fleet) SetUnready(_ context.Context, id string, unready bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unready[id] = unready
	if state := f.engines[id].state; !unready && state.Broken {
		f.broken = append(f.broken, id+" was let serve while broken")
	}
}

func (f *fleet) version() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.newest
}

// accept takes the next version in.
func (f *fleet) accept() {
	desk := Desk{Store: f.store.View(), Control: f, Logger: slog.New(slog.DiscardHandler)}
	if _, err := desk.Accept(context.Background(), Record{Model: "m", Version: f.version() + 1}); err != nil {
		panic(err) // the view has no faults
	}
}

func (f *fleet) replicas(string) []Replica {
	f.mu.Lock()
	defer f.mu.Unlock()
	var replicas []Replica
	for id, e := range f.engines {
		replicas = append(replicas, Replica{ID: id, Address: id, Domain: e.domain, ChecksFence: e.checks, ActiveVersion: e.state.Active, ReportedAt: time.Now()})
	}
	slices.SortFunc(replicas, func(a, b Replica) int { return strings.Compare(a.ID, b.ID) })
	return replicas
}

func (f *fleet) Stage(ctx context.Context, address string, order engine.WeightOrder) (engine.WeightState, error) {
	return f.send(ctx, address, order, (*fakeEngine).finishStage)
}

func (f *fleet) Activate(ctx context.Context, address string, order engine.WeightOrder) (engine.WeightState, error) {
	f.mu.Lock()
	e := f.engines[address]
	e.held, e.slow = e.held+e.heldSwap, e.slow+e.slowSwap
	e.heldSwap, e.slowSwap = 0, 0
	if e.swapWork > 0 {
		e.slow += e.swapWork - e.work
	}
	f.mu.Unlock()
	return f.send(ctx, address, order, (*fakeEngine).finishSwap)
}

func (f *fleet) State(_ context.Context, address string) (engine.WeightState, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.engines[address].state, nil
}

type answer struct {
	state engine.WeightState
	err   error
}

// send lets an order travel and run, whatever becomes of its sender.
func (f *fleet) send(ctx context.Context, address string, order engine.WeightOrder, finish func(*fakeEngine, engine.WeightOrder) error) (engine.WeightState, error) {
	f.checkHolder(order)
	answers := make(chan answer, 1)
	go func() { answers <- f.engines[address].receive(order, finish) }()
	select {
	case a := <-answers:
		return a.state, a.err
	case <-ctx.Done():
		return engine.WeightState{}, ctx.Err()
	}
}

// checkHolder notes an order that was given after its sender lost the lease.
func (f *fleet) checkHolder(order engine.WeightOrder) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, standing := f.lapsed[order.Fence]; standing {
		f.broken = append(f.broken, fmt.Sprintf("order in epoch %d after its end", order.Fence))
	}
}

func (e *fakeEngine) receive(order engine.WeightOrder, finish func(*fakeEngine, engine.WeightOrder) error) answer {
	e.fleet.mu.Lock()
	delay, work := e.delay+e.held, e.work+e.slow
	e.held, e.slow = 0, 0
	e.fleet.mu.Unlock()
	wait.For(context.Background(), delay)
	if err := e.begin(order); err != nil {
		return answer{err: err}
	}
	wait.For(context.Background(), work)
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	e.fleet.busy[e.domain]--
	err := finish(e, order)
	if err == nil && e.loseReply > 0 {
		e.loseReply--
		err = engine.ErrOrderFailed.New("the answer was lost")
	}
	return answer{state: e.state, err: err}
}

func (e *fakeEngine) begin(order engine.WeightOrder) error {
	f := e.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if e.checks && order.Fence < e.state.Fence {
		return engine.ErrFenced.New("fence %d is below %d", order.Fence, e.state.Fence)
	}
	if !e.checks && time.Now().After(order.Deadline) {
		return engine.ErrOrderFailed.New("too late")
	}
	if e.checks {
		e.state.Fence = order.Fence
	}
	f.busy[e.domain]++
	f.most[e.domain] = max(f.most[e.domain], f.busy[e.domain])
	return nil
}

func (e *fakeEngine) finishStage(order engine.WeightOrder) error {
	e.state.Staged = order.Version
	e.kept[order.Version] = true
	return nil
}

func (e *fakeEngine) finishSwap(order engine.WeightOrder) error {
	if !e.kept[order.Version] && e.state.Active != order.Version {
		return engine.ErrOrderFailed.New("not staged")
	}
	if e.failSwap > 0 {
		e.failSwap--
		e.state.Broken = true
		return engine.ErrOrderFailed.New("the swap failed partway")
	}
	if order.Version < e.state.Active {
		e.fleet.broken = append(e.fleet.broken, fmt.Sprintf("rolled back from %d to %d", e.state.Active, order.Version))
	}
	e.state.Active, e.state.Broken, e.changed = order.Version, false, time.Now()
	return nil
}

// settled reports whether all engines serve the newest version.
func (f *fleet) settled() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, e := range f.engines {
		if e.state.Active != f.newest || e.state.Broken || f.unready[id] {
			return false
		}
	}
	return true
}

// entry is one entry's view of the leases; it implements ownership.Owner.
type entry struct {
	fleet *fleet
	id    string
	// deaf entries hear of no newer version than heard.
	deaf  bool
	heard int64
	// believed holds the tenures that the entry takes to stand.
	believed map[string]ownership.Tenure
}

func newEntry(f *fleet, id string) *entry {
	return &entry{fleet: f, id: id, believed: map[string]ownership.Tenure{}}
}

func (e *entry) Acquire(_ context.Context, unit string) (ownership.Tenure, error) {
	f := e.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if holder := f.holder[unit]; holder != "" && holder != e.id {
		return ownership.Tenure{}, ownership.HeldElsewhere(unit, holder)
	}
	if f.holder[unit] == "" {
		f.epoch++
		f.holder[unit] = e.id
		e.believed[unit] = ownership.Tenure{Unit: unit, Epoch: f.epoch}
	}
	return e.believed[unit], nil
}

func (e *entry) Valid(tenure ownership.Tenure) bool {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	return e.believed[tenure.Unit] == tenure
}

func (e *entry) Release(_ context.Context, unit string) error {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	if e.fleet.holder[unit] == e.id {
		e.fleet.holder[unit] = ""
	}
	delete(e.believed, unit)
	return nil
}

// lapse ends the lease of a unit. Its holder learns that at once: an order of
// it that is on its way may still arrive.
func (f *fleet) lapse(unit string, entries []*entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.holder[unit] = ""
	for _, e := range entries {
		if tenure, held := e.believed[unit]; held {
			f.lapsed[tenure.Epoch] = struct{}{}
		}
		delete(e.believed, unit)
	}
}

// versions is what the entry has heard of newest versions.
func (e *entry) versions() map[string]int64 {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	if !e.deaf {
		e.heard = e.fleet.newest
	}
	return map[string]int64{"m": e.heard}
}

func (e *entry) options() Options {
	return Options{
		Store: e.fleet.store.View(), Owner: e, Orders: e.fleet, Control: e.fleet,
		Newest: e.versions, Replicas: e.fleet.replicas,
		Best: func(string) bool { return true },
		// Entries look at different times, so that the order of events is fixed.
		Interval: time.Second + time.Duration(e.id[0]-'a')*70*time.Millisecond,
	}
}
