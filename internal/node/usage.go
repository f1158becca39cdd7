package node

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"github.com/comfreyfront/comfreyfront/internal/boottime"
	"github.com/comfreyfront/comfreyfront/internal/call"
	"github.com/comfreyfront/comfreyfront/internal/cluster"
	"github.com/comfreyfront/comfreyfront/internal/duty"
	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/node/nodepb"
	"github.com/comfreyfront/comfreyfront/internal/usage"
	"github.com/comfreyfront/comfreyfront/platform"
)

// usageUnit is the unit whose owner reports the usage of accounts.
const usageUnit = "usage"

// Limits of the time for which a stopping node passes its last counts on: an absolute one,
// and a fraction of the time until its lease must have ended.
const (
	usageFlushTimeout  = 250 * time.Millisecond
	usageFlushFraction = 0.5
)

// usageReports counts the requests of accounts at this node and, while the node owns
// usageUnit, reports the counts of all nodes.
type usageReports struct {
	node       *Node
	management *platform.Management
	clock      *usage.Clock
	counter    *usage.Counter
	collector  *usage.Collector
	sender     *usage.Sender
	metrics    *usageMetrics
	first      usage.Window

	mu      sync.Mutex
	holding *usageHolding // nil while this node does not own the unit
}

// usageHolding is the work that runs while this node owns usageUnit.
type usageHolding struct {
	unit     cluster.Unit
	tenure   *duty.Held
	reporter *usage.Reporter
	cancel   context.CancelFunc
}

// newUsageReports returns nil if the settings ask for no reports.
func newUsageReports(n *Node, registerer prometheus.Registerer) *usageReports {
	if n.config.UsageWindow <= 0 || n.config.ManagementAddress == "" {
		return nil
	}
	u := &usageReports{node: n, management: platform.NewManagement(n.config.ManagementAddress), clock: usage.NewClock(time.Now, boottime.Now)}
	u.counter = usage.NewCounter(n.config.UsageWindow, u.clock.Now)
	u.collector = usage.NewCollector(n.config.UsageWindow, u.clock.Now)
	u.first = usage.WindowAt(u.clock.Now(), n.config.UsageWindow)
	u.sender = usage.NewSender(usage.SenderOptions{
		Self: processOf(n.cluster.Self()), Counter: u.counter, Collector: u.collector, Receivers: u.receivers,
		Processes: func() int { return len(n.cluster.Nodes()) + 1 }, Logger: n.logger,
	})
	u.metrics = newUsageMetrics(registerer, u.reported)
	return u
}

// processOf returns the process that a node's record describes.
func processOf(node cluster.Node) usage.Process {
	return usage.Process{Node: node.Name, Incarnation: node.Incarnation}
}

// began counts a request that began to run. Requests that the service itself owes, such as
// scoring calls, do not count.
func (u *usageReports) began(request *call.Request, ago time.Duration) {
	if request.Account == "" || request.Owed {
		return
	}
	u.counter.Count(request.Account, ago)
	u.metrics.counted(request.Account)
}

// run passes counts on until ctx ends.
func (u *usageReports) run(ctx context.Context) error {
	var group errgroup.Group
	group.Go(func() error { u.clock.Run(ctx); return nil })
	group.Go(func() error { u.sender.Run(ctx); return nil })
	return group.Wait()
}

// receivers returns the owner of the unit and the node that would take over from it.
func (u *usageReports) receivers() []usage.Receiver {
	var receivers []usage.Receiver
	if owner, _, known := u.node.cluster.Owner(usageUnit); known {
		receivers = append(receivers, u.receiver(owner))
	}
	if successor, known := u.node.cluster.Successor(usageUnit); known {
		receivers = append(receivers, u.receiver(successor))
	}
	return receivers
}

// receiver returns a node as a receiver of counts; this node merges them directly.
func (u *usageReports) receiver(node cluster.Node) usage.Receiver {
	self := u.node.cluster.Self()
	return usage.Receiver{Process: processOf(node), Send: func(ctx context.Context, batches []usage.Batch) (usage.Window, error) {
		if node.Name == self.Name {
			u.collector.Merge(batches)
			return u.collector.Unreported(), nil
		}
		return u.node.peers.passUsage(ctx, node, batches)
	}}
}

// acquired starts the reports of this node.
func (u *usageReports) acquired(unit cluster.Unit) {
	n := u.node
	ctx, cancel := context.WithCancel(context.Background())
	tenure := n.beginTenure(unit)
	reporter := usage.NewReporter(usage.ReporterOptions{
		Length: n.config.UsageWindow, Due: n.config.UsageDue, Now: u.clock.Now, Store: n.store,
		Tenure: tenure, Holding: unit.Condition(), Collector: u.collector, First: u.first,
		Report: u.report, Outcome: u.metrics.called, Logger: n.logger,
	})
	u.lost()
	u.mu.Lock()
	u.holding = &usageHolding{unit: unit, tenure: tenure, reporter: reporter, cancel: cancel}
	u.mu.Unlock()
	event.DutyAcquired.Log(ctx, n.logger, dutyAttrs(unit, tenure)...)
	go reporter.Run(ctx)
}

// lost ends the reports of this node, if it makes them.
func (u *usageReports) lost() {
	u.mu.Lock()
	holding := u.holding
	u.holding = nil
	u.mu.Unlock()
	if holding != nil {
		holding.cancel()
		holding.tenure.End()
	}
}

// holds reports whether this node owns the unit. u may be nil.
func (u *usageReports) holds() bool {
	if u == nil {
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.holding != nil
}

// stop passes on the last counts of a node that stops, and ends its reports.
func (u *usageReports) stop(ctx context.Context) {
	timeout := usageFlushTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Duration(usageFlushFraction*float64(time.Until(deadline))))
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	u.sender.Flush(ctx)
	u.lost()
}

// report sends the report of a window to the management interface.
func (u *usageReports) report(ctx context.Context, credentials duty.Credentials, record *usage.Record) error {
	return u.management.ReportUsage(ctx, credentials, platform.UsageReport{Window: int64(record.Window), Counts: record.Counts})
}

// reported returns the last report of this node and its age, or nil.
func (u *usageReports) reported() (*usage.Record, time.Duration) {
	u.mu.Lock()
	holding := u.holding
	u.mu.Unlock()
	if holding == nil {
		return nil, 0
	}
	return holding.reporter.Reported()
}

// passUsage passes counts to another node. It returns the oldest window whose report is not
// fixed yet as far as that node knows.
func (p *peers) passUsage(ctx context.Context, node cluster.Node, batches []usage.Batch) (usage.Window, error) {
	request := &nodepb.UsageRequest{}
	for _, batch := range batches {
		encoded := &nodepb.UsageBatch{Node: batch.Process.Node, Incarnation: batch.Process.Incarnation}
		for w, counts := range batch.Windows {
			encoded.Windows = append(encoded.Windows, &nodepb.UsageWindow{Number: int64(w), Counts: counts})
		}
		request.Batches = append(request.Batches, encoded)
	}
	reply, err := p.clientFor(node.Address).Usage(ctx, request)
	if err != nil {
		return 0, ErrPeer.Wrap(err, "counts of usage to %s", node.Name)
	}
	return usage.Window(reply.GetUnreported()), nil
}

// Usage implements nodepb.Node.
func (s *peerServer) Usage(_ context.Context, request *nodepb.UsageRequest) (*nodepb.UsageReply, error) {
	if s.node.usage == nil {
		return nil, ErrPeer.New("this node counts no usage")
	}
	batches := make([]usage.Batch, 0, len(request.GetBatches()))
	for _, encoded := range request.GetBatches() {
		batch := usage.Batch{Process: usage.Process{Node: encoded.GetNode(), Incarnation: encoded.GetIncarnation()}, Windows: map[usage.Window]usage.Counts{}}
		for _, window := range encoded.GetWindows() {
			batch.Windows[usage.Window(window.GetNumber())] = window.GetCounts()
		}
		batches = append(batches, batch)
	}
	s.node.usage.collector.Merge(batches)
	return &nodepb.UsageReply{Unreported: int64(s.node.usage.collector.Unreported())}, nil
}
