package usage

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/duty"
	"github.com/comfreyfront/comfreyfront/internal/metastore"
	"github.com/comfreyfront/comfreyfront/internal/metastore/memory"
)

const (
	testLength   = 5 * time.Second
	testDue      = 10 * time.Second
	testLease    = 3 * time.Second
	takeoverTime = 2 * time.Second
	roundTrip    = 10 * time.Millisecond
	runTime      = 20 * time.Millisecond
	unitKey      = "unit"
	usageSeeds   = 25
)

// faults are the probabilities of failures, each one in so many; zero means never.
type faults struct {
	push, answer, store int
	kills               time.Duration // a node is killed once in this time
	outage              bool          // the store is down for some time
}

// begun is a request that began to run.
type begun struct {
	at      time.Duration
	account string
	process Process
}

// installation is a number of nodes, the metadata store and the management interface.
type installation struct {
	t      *testing.T
	faults faults
	store  *memory.Store
	began  time.Time

	mu      sync.Mutex
	random  *rand.Rand
	nodes   []*instance
	holder  *instance
	epoch   int64
	truth   []begun
	killed  map[Process]time.Duration
	reports map[Window]Counts
	// arrived is when the first report of each window came, and order the windows of all
	// calls.
	arrived map[Window]time.Duration
	order   []Window
	errors  []string
}

// instance is one process.
type instance struct {
	process   Process
	counter   *Counter
	collector *Collector
	sender    *Sender
	reporter  *Reporter
	ctx       context.Context
	kill      context.CancelFunc
	holding   context.CancelFunc
}

func (s *installation) now() time.Duration { return time.Duration(time.Now().UnixNano()) }

func (s *installation) chance(one int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return one > 0 && s.random.IntN(one) == 0
}

func (s *installation) upTo(limit time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.random.Int64N(int64(limit)))
}

func (s *installation) start(name string, incarnation int64) *instance {
	n := &instance{process: Process{name, incarnation}, counter: NewCounter(testLength, s.now), collector: NewCollector(testLength, s.now)}
	n.ctx, n.kill = context.WithCancel(context.Background())
	n.sender = NewSender(SenderOptions{
		Self: n.process, Counter: n.counter, Collector: n.collector, Processes: func() int { return 3 }, Logger: slog.New(slog.DiscardHandler),
		Receivers: func() []Receiver { return s.receivers(n) },
	})
	go n.sender.Run(n.ctx)
	return n
}

// receivers returns the holder and the instance that takes over from it.
func (s *installation) receivers(from *instance) []Receiver {
	s.mu.Lock()
	defer s.mu.Unlock()
	var receivers []Receiver
	for _, to := range s.nodes {
		if to != s.holder && to != s.successor() {
			continue
		}
		receivers = append(receivers, Receiver{Process: to.process, Send: func(_ context.Context, batches []Batch) error {
			if to == from {
				to.collector.Merge(batches)
				return nil
			}
			time.Sleep(roundTrip)
			if to.ctx.Err() != nil || from.ctx.Err() != nil {
				return errors.New("killed")
			}
			lost := s.chance(s.faults.push)
			if !lost || s.chance(2) {
				to.collector.Merge(batches)
			}
			if lost {
				return errors.New("lost")
			}
			return nil
		}})
	}
	return receivers
}

// successor is the first instance that is not the holder. The caller holds s.mu.
func (s *installation) successor() *instance {
	for _, n := range s.nodes {
		if n != s.holder {
			return n
		}
	}
	return nil
}

// hold makes an instance the holder.
func (s *installation) hold(n *instance) {
	epoch := s.store.Write(unitKey, []byte(n.process.Node))
	condition := metastore.Condition{Key: unitKey, Revision: epoch}
	tenure := duty.Begin(duty.Options{
		Credentials: duty.Credentials{Holder: n.process.Node, Generation: epoch}, HolderChange: testLease,
		Confirm: func(ctx context.Context) error {
			_, err := s.store.Commit(ctx, metastore.Txn{Conditions: []metastore.Condition{condition}})
			return err
		},
		Pace: duty.NewPace(50, func() time.Duration { return time.Since(s.began) }), Now: func() time.Duration { return time.Since(s.began) },
	})
	n.reporter = NewReporter(ReporterOptions{
		Length: testLength, Due: testDue, Now: s.now, Store: s.store, Tenure: tenure, Holding: condition, Collector: n.collector,
		First: WindowAt(s.now(), testLength), Report: s.report, Logger: slog.New(slog.DiscardHandler),
	})
	var ctx context.Context
	ctx, n.holding = context.WithCancel(n.ctx)
	s.mu.Lock()
	s.holder, s.epoch = n, epoch
	s.mu.Unlock()
	go n.reporter.Run(ctx)
}

// report is the management interface.
func (s *installation) report(ctx context.Context, credentials duty.Credentials, record *Record) error {
	time.Sleep(roundTrip)
	if ctx.Err() != nil {
		return duty.ErrUnknown.Wrap(ctx.Err(), "given up")
	}
	s.mu.Lock()
	first, exists := s.reports[record.Window]
	if exists && !maps.Equal(first, record.Counts) {
		s.errors = append(s.errors, fmt.Sprintf("window %d has two reports: %v and %v", record.Window, first, record.Counts))
	}
	if !exists {
		s.reports[record.Window], s.arrived[record.Window] = maps.Clone(record.Counts), s.now()
	}
	if len(s.order) > 0 && s.order[len(s.order)-1] > record.Window {
		s.errors = append(s.errors, fmt.Sprintf("window %d after a later one", record.Window))
	}
	s.order = append(s.order, record.Window)
	s.mu.Unlock()
	if s.chance(s.faults.answer) {
		return duty.ErrUnknown.New("the answer was lost")
	}
	return nil
}

// request begins to run a request at a random instance; its node learns of it when the answer
// arrives.
func (s *installation) request(account string) {
	s.mu.Lock()
	n := s.nodes[s.random.IntN(len(s.nodes))]
	s.truth = append(s.truth, begun{s.now(), account, n.process})
	s.mu.Unlock()
	time.Sleep(runTime)
	if n.ctx.Err() == nil {
		n.counter.Count(account, runTime)
	}
}

// killOne kills a random instance and starts another one in its place.
func (s *installation) killOne(incarnation int64) {
	s.mu.Lock()
	i := s.random.IntN(len(s.nodes))
	n := s.nodes[i]
	s.killed[n.process] = s.now()
	n.kill()
	s.mu.Unlock()
	replacement := s.start(n.process.Node, incarnation)
	s.mu.Lock()
	s.nodes[i] = replacement
	held := s.holder == n
	if held {
		s.holder = nil
	}
	heir := s.successor()
	if heir == replacement {
		heir = s.nodes[(i+1)%len(s.nodes)]
	}
	s.mu.Unlock()
	if held {
		time.Sleep(takeoverTime)
		s.hold(heir)
	}
}

// run plays load and faults for some windows and stops when all of them must be reported.
func (s *installation) run(windows int) {
	s.began = time.Now()
	for i := range 3 {
		s.nodes = append(s.nodes, s.start(fmt.Sprintf("n%d", i), 1))
	}
	s.hold(s.nodes[0])
	end := time.Duration(windows) * testLength
	var group sync.WaitGroup
	for a := range 6 {
		group.Go(func() {
			for time.Since(s.began) < end {
				time.Sleep(s.upTo(120 * time.Millisecond))
				s.request(fmt.Sprintf("account-%d", a))
			}
		})
	}
	if s.faults.kills > 0 {
		group.Go(func() {
			for i := int64(2); time.Since(s.began) < end; i++ {
				time.Sleep(s.faults.kills/2 + s.upTo(s.faults.kills))
				s.killOne(i)
			}
		})
	}
	if s.faults.outage {
		time.Sleep(23 * time.Second)
		s.store.SetFaults(memory.Faults{Down: true})
		time.Sleep(14 * time.Second)
		s.store.SetFaults(memory.Faults{})
	}
	for time.Since(s.began) < end {
		s.store.SetFaults(memory.Faults{LoseResponses: s.chance(s.faults.store), Down: s.chance(s.faults.store)})
		time.Sleep(100 * time.Millisecond)
	}
	s.store.SetFaults(memory.Faults{})
	group.Wait()
	time.Sleep(4 * testDue)
	for _, n := range s.nodes {
		n.kill()
	}
	time.Sleep(testDue) // calls that are being made end
}

// atRisk is for how long before its end a killed process may hold counts that nobody else
// has: the request's run, the rest of a send that began just before the count, the pause after
// it and the next send. Where sends get lost, two more may fail in a row.
func (s *installation) atRisk() time.Duration {
	sends := 1
	if s.faults.push > 0 {
		sends += 2
	}
	return runTime + roundTrip + time.Duration(sends)*(minSendInterval+roundTrip)
}

// verify compares the reports with what began to run. Only requests of killed processes may
// be missing, and of these only the last ones.
func (s *installation) verify(windows int) {
	s.t.Helper()
	require.Empty(s.t, s.errors)
	most, least := map[Window]Counts{}, map[Window]Counts{}
	first := WindowAt(time.Duration(s.began.UnixNano()), testLength)
	for w := first; w < first+Window(windows); w++ {
		most[w], least[w] = Counts{}, Counts{}
	}
	for _, b := range s.truth {
		w := WindowAt(b.at, testLength)
		if most[w] == nil {
			continue
		}
		most[w][b.account]++
		if killed, ended := s.killed[b.process]; !ended || killed-b.at > s.atRisk() {
			least[w][b.account]++
		}
	}
	for w := range most {
		require.Contains(s.t, s.reports, w)
		for account, n := range most[w] {
			require.LessOrEqual(s.t, s.reports[w][account], n, "window %d, %s", w, account)
			require.GreaterOrEqual(s.t, s.reports[w][account], least[w][account], "window %d, %s, killed %v", w, account, s.killed)
		}
	}
}

func playInstallation(t *testing.T, seed uint64, f faults, windows int) *installation {
	t.Helper()
	s := &installation{
		t: t, faults: f, store: memory.New(nil), random: rand.New(rand.NewPCG(seed, 2)),
		killed: map[Process]time.Duration{}, reports: map[Window]Counts{}, arrived: map[Window]time.Duration{},
	}
	synctest.Test(t, func(*testing.T) {
		s.run(windows)
		synctest.Wait()
	})
	s.verify(windows)
	return s
}

func TestReportsAreExactWithoutKills(t *testing.T) {
	for seed := range uint64(usageSeeds) {
		for _, f := range []faults{{}, {push: 4, answer: 4, store: 5}, {outage: true, answer: 4}} {
			s := playInstallation(t, seed, f, 12)
			for w, at := range s.arrived {
				if !f.outage {
					require.Less(t, at-w.End(testLength), testDue, "seed %d: window %d", seed, w)
				}
			}
		}
	}
}

func TestKillsLoseOnlyTheLastRequests(t *testing.T) {
	for seed := range uint64(usageSeeds) {
		s := playInstallation(t, seed, faults{kills: 12 * time.Second}, 12)
		for w, at := range s.arrived {
			require.Less(t, at-w.End(testLength), testDue, "seed %d: window %d", seed, w)
		}
		playInstallation(t, seed, faults{kills: 15 * time.Second, push: 10, answer: 4, store: 8, outage: seed%2 == 0}, 12)
	}
}
