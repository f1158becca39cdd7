package control

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/class"
	"github.com/comfreyfront/comfreyfront/internal/config"
	"github.com/comfreyfront/comfreyfront/internal/engine"
	"github.com/comfreyfront/comfreyfront/internal/exchange"
	"github.com/comfreyfront/comfreyfront/internal/keyvalue"
	"github.com/comfreyfront/comfreyfront/internal/keyvalue/memstore"
	"github.com/comfreyfront/comfreyfront/internal/peer/peerpb"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// fleet runs several entries in one process, with fakes for the store, the instance
// list and the endpoints.
type fleet struct {
	t      *testing.T
	memory *memstore.Store

	mu           sync.Mutex
	managers     map[string]*Manager // by address
	stops        map[string]context.CancelFunc
	cut          map[string]bool // unreachable addresses, and broken links as "a-b"
	instances    []keyvalue.Instance
	listErr      error
	reports      map[string]engine.LoadReport // by address
	unresponsive map[string]bool              // by address
	group        sync.WaitGroup
}

func newFleet(t *testing.T) *fleet {
	return &fleet{
		t: t, memory: memstore.New(nil), managers: map[string]*Manager{}, stops: map[string]context.CancelFunc{}, cut: map[string]bool{},
		reports: map[string]engine.LoadReport{}, unresponsive: map[string]bool{},
	}
}

// with runs change under the fleet's lock.
func (f *fleet) with(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fleet) Instances(context.Context) ([]keyvalue.Instance, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]keyvalue.Instance(nil), f.instances...), f.listErr
}

func (f *fleet) Load(_ context.Context, address string) (engine.LoadReport, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unresponsive[address] {
		return engine.LoadReport{}, ErrLoad.New("unresponsive")
	}
	return f.reports[address], nil
}

// caller calls the peers of one entry.
type caller struct {
	fleet *fleet
	from  string
}

func (c caller) Exchange(ctx context.Context, address string, news *peerpb.News) (*peerpb.News, error) {
	c.fleet.mu.Lock()
	to, known := c.fleet.managers[address]
	cut := !known || c.fleet.cut[address] || c.fleet.cut[c.from] || c.fleet.cut[c.from+"-"+address] || c.fleet.cut[address+"-"+c.from]
	c.fleet.mu.Unlock()
	if cut {
		return nil, exchange.ErrUnreachable.New("%s", address)
	}
	reply, err := to.Exchange(ctx, proto.Clone(news).(*peerpb.News))
	if err != nil {
		return nil, err
	}
	return proto.Clone(reply).(*peerpb.News), nil
}

func (f *fleet) options(id string, store keyvalue.Store) Options {
	return Options{
		ID: id, Address: id, FailureDomain: "larissa", Region: "greece",
		Config: config.NewStore(store, config.Options{}, slog.New(slog.DiscardHandler)),
		List:   f, Loads: f, Peers: caller{fleet: f, from: id}, Snapshots: &Snapshots{},
	}
}

// start runs an entry with the default test options.
func (f *fleet) start(id string, store keyvalue.Store) *Manager {
	return f.run(New(f.options(id, store), slog.New(slog.DiscardHandler), nil))
}

// run runs an entry and adds it to the list.
func (f *fleet) run(m *Manager) *Manager {
	id := m.options.ID
	ctx, cancel := context.WithCancel(f.t.Context())
	f.mu.Lock()
	f.managers[id], f.stops[id] = m, cancel
	f.instances = append(f.instances, keyvalue.Instance{ID: id, Kind: keyvalue.KindEntry, Address: id})
	f.mu.Unlock()
	f.group.Go(func() { _ = m.Run(ctx) })
	return m
}

func (f *fleet) stop() {
	for _, cancel := range f.stops {
		cancel()
	}
	f.group.Wait()
}

func (f *fleet) startEntries(n int) []*Manager {
	var managers []*Manager
	for i := range n {
		managers = append(managers, f.start(fmt.Sprint("entry", i), f.memory))
	}
	return managers
}

func change(id string, expect int64, lateness time.Duration) config.Change {
	d := &class.Document{Classes: []class.Class{{Name: "lookups", Lateness: lateness, Completeness: 0.99}}}
	return config.Change{ID: config.ChangeID(id), Who: "eleni", Expect: expect, Document: d}
}

// elapse waits for d on the fake clock.
func elapse(d time.Duration) {
	<-time.After(d)
}

// inForce is the time within which an accepted change is in force on all entries.
const inForce = 5 * time.Second

func requireRevision(t *testing.T, revision int64, managers ...*Manager) {
	t.Helper()
	for _, m := range managers {
		require.Equal(t, revision, m.Snapshots().Load().Classes.Revision, m.options.ID)
	}
}

func TestChangeIsInForceWithinFiveSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		managers := f.startEntries(6)
		elapse(3 * time.Second)
		require.Len(t, managers[0].Snapshots().Load().Peers, 6)
		_, err := managers[2].Apply(t.Context(), change("a", 0, time.Second))
		require.NoError(t, err)
		elapse(inForce)
		requireRevision(t, 1, managers...)
	})
}
