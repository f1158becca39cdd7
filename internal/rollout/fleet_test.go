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

// fleet simulates the engines of one model, the leases and the control plane.
type fleet struct {
	store   *memstore.Store
	mu      sync.Mutex
	newest  int64
	floor   int64
	engines map[string]*fakeEngine
	holder  map[string]string // holder of the lease, by unit
	epoch   int64
	expired map[int64]struct{} // epochs whose lease expired
	unready map[string]bool
	// busy is the number of engines under an order, by domain; maxBusy is its maximum.
	busy, maxBusy map[string]int
	// violations describes each violation of a guarantee that the tests check.
	violations []string
}

// fakeEngine simulates one engine. Orders arrive after delay, even if their sender has
// timed out, and run concurrently. An engine that checks fencing numbers ignores
// deadlines, as if its clock were wrong.
type fakeEngine struct {
	fleet       *fleet
	domain      string
	checksFence bool
	state       engine.WeightState
	delay       time.Duration // of each order
	extraDelay  time.Duration // additional delay of the next order
	extraWork   time.Duration // additional duration of the next order
	// extraSwapDelay and extraSwapWork are the same for the next activation.
	extraSwapDelay, extraSwapWork time.Duration
	everStaged                    map[int64]bool // versions that were staged
	repliesToLose                 int            // number of replies to lose
	swapsToFail                   int            // number of swaps to fail partway
	work                          time.Duration
	swapWork                      time.Duration // duration of activations, if not zero
	changed                       time.Time
}

func newFleet(domains, perDomain int, work time.Duration) *fleet {
	f := &fleet{
		store: memstore.New(nil), newest: 1, engines: map[string]*fakeEngine{}, holder: map[string]string{}, expired: map[int64]struct{}{},
		unready: map[string]bool{}, busy: map[string]int{}, maxBusy: map[string]int{},
	}
	for d := range domains {
		for i := range perDomain {
			id := fmt.Sprintf("d%d-%d", d, i)
			f.engines[id] = &fakeEngine{fleet: f, domain: fmt.Sprintf("d%d", d), checksFence: i%2 == 0, everStaged: map[int64]bool{}, work: work, state: engine.WeightState{Active: 1}}
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
		f.violations = append(f.violations, id+" was marked ready while broken")
	}
}

func (f *fleet) version() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.newest
}

// accept accepts the next version.
func (f *fleet) accept() {
	acceptor := Acceptor{Store: f.store.View(), Control: f, Logger: slog.New(slog.DiscardHandler)}
	if _, err := acceptor.Accept(context.Background(), Record{Model: "m", Version: f.version() + 1}); err != nil {
		panic(err) // the view has no faults
	}
}

func (f *fleet) replicas(string) []Replica {
	f.mu.Lock()
	defer f.mu.Unlock()
	var replicas []Replica
	for id, e := range f.engines {
		replicas = append(replicas, Replica{ID: id, Address: id, Domain: e.domain, ChecksFence: e.checksFence, ActiveVersion: e.state.Active, ReportedAt: time.Now()})
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
	e.extraDelay, e.extraWork = e.extraDelay+e.extraSwapDelay, e.extraWork+e.extraSwapWork
	e.extraSwapDelay, e.extraSwapWork = 0, 0
	if e.swapWork > 0 {
		e.extraWork += e.swapWork - e.work
	}
	f.mu.Unlock()
	return f.send(ctx, address, order, (*fakeEngine).finishSwap)
}

func (f *fleet) State(_ context.Context, address string) (engine.WeightState, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.engines[address].state, nil
}

// answer is an engine's response to an order.
type answer struct {
	state engine.WeightState
	err   error
}

// send delivers and runs an order, even if the sender's ctx ends first.
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

// checkHolder records a violation if an order was sent after its sender lost the lease.
func (f *fleet) checkHolder(order engine.WeightOrder) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.expired[order.Fence]; ok {
		f.violations = append(f.violations, fmt.Sprintf("order sent in epoch %d after the lease expired", order.Fence))
	}
}

func (e *fakeEngine) receive(order engine.WeightOrder, finish func(*fakeEngine, engine.WeightOrder) error) answer {
	e.fleet.mu.Lock()
	delay, work := e.delay+e.extraDelay, e.work+e.extraWork
	e.extraDelay, e.extraWork = 0, 0
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
	if err == nil && e.repliesToLose > 0 {
		e.repliesToLose--
		err = engine.ErrOrderFailed.New("the response was lost")
	}
	return answer{state: e.state, err: err}
}

func (e *fakeEngine) begin(order engine.WeightOrder) error {
	f := e.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if e.checksFence && order.Fence < e.state.Fence {
		return engine.ErrFenced.New("fence %d is below %d", order.Fence, e.state.Fence)
	}
	if !e.checksFence && time.Now().After(order.Deadline) {
		return engine.ErrOrderFailed.New("the deadline has passed")
	}
	if e.checksFence {
		e.state.Fence = order.Fence
	}
	f.busy[e.domain]++
	f.maxBusy[e.domain] = max(f.maxBusy[e.domain], f.busy[e.domain])
	return nil
}

func (e *fakeEngine) finishStage(order engine.WeightOrder) error {
	e.state.Staged = order.Version
	e.everStaged[order.Version] = true
	return nil
}

func (e *fakeEngine) finishSwap(order engine.WeightOrder) error {
	if !e.everStaged[order.Version] && e.state.Active != order.Version {
		return engine.ErrOrderFailed.New("not staged")
	}
	if e.swapsToFail > 0 {
		e.swapsToFail--
		e.state.Broken = true
		return engine.ErrOrderFailed.New("the swap failed partway")
	}
	if order.Version < e.state.Active {
		e.fleet.violations = append(e.fleet.violations, fmt.Sprintf("rolled back from %d to %d", e.state.Active, order.Version))
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

// entry simulates one entry and its tenures. It implements ownership.Owner.
type entry struct {
	fleet *fleet
	id    string
	// noUpdates is true if the entry receives no updates; knownVersion is the newest
	// version that it has received.
	noUpdates    bool
	knownVersion int64
	// tenures holds the tenures that the entry considers valid, by unit.
	tenures map[string]ownership.Tenure
}

func newEntry(f *fleet, id string) *entry {
	return &entry{fleet: f, id: id, tenures: map[string]ownership.Tenure{}}
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
		e.tenures[unit] = ownership.Tenure{Unit: unit, Epoch: f.epoch}
	}
	return e.tenures[unit], nil
}

func (e *entry) Valid(tenure ownership.Tenure) bool {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	return e.tenures[tenure.Unit] == tenure
}

func (e *entry) Release(_ context.Context, unit string) error {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	if e.fleet.holder[unit] == e.id {
		e.fleet.holder[unit] = ""
	}
	delete(e.tenures, unit)
	return nil
}

// expireLease ends the lease of a unit. Its holder notices immediately, but an order
// that it has sent may still arrive.
func (f *fleet) expireLease(unit string, entries []*entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.holder[unit] = ""
	for _, e := range entries {
		if tenure, ok := e.tenures[unit]; ok {
			f.expired[tenure.Epoch] = struct{}{}
		}
		delete(e.tenures, unit)
	}
}

// versions returns the newest version that the entry has received, by model.
func (e *entry) versions() map[string]int64 {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	if !e.noUpdates {
		e.knownVersion = e.fleet.newest
	}
	return map[string]int64{"m": e.knownVersion}
}

func (e *entry) options() Options {
	return Options{
		Store: e.fleet.store.View(), Owner: e, Orders: e.fleet, Control: e.fleet,
		Newest: e.versions, Replicas: e.fleet.replicas,
		Best: func(string) bool { return true },
		// Entries have different intervals, so that the order of events is
		// deterministic.
		Interval: time.Second + time.Duration(e.id[0]-'a')*70*time.Millisecond,
	}
}
