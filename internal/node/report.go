package node

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/comfreyfront/comfreyfront/internal/account"
	"github.com/comfreyfront/comfreyfront/internal/accountreport"
	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/node/nodepb"
	"github.com/comfreyfront/comfreyfront/internal/operator"
	"github.com/comfreyfront/comfreyfront/internal/phone"
	"github.com/comfreyfront/comfreyfront/internal/route"
	"github.com/comfreyfront/comfreyfront/internal/routereport"
	"github.com/comfreyfront/comfreyfront/internal/submission"
	"github.com/comfreyfront/comfreyfront/platform"
)

// Limits of the calls that collect figures from all nodes.
const (
	figuresTimeout     = time.Second
	maxParallelFigures = 32
)

// countEnd counts the end of a caller's request. Submissions are counted when their
// steps end, not when they are accepted.
func (n *Node) countEnd(end platform.End) {
	outcome := routereport.OutcomeOf(end.Status, end.Err)
	n.metrics.ended(end.Route(), outcome, end.Status, end.Duration)
	if end.Caller.Checked {
		n.accountFigures.Ended(end.Caller.Name(), outcome, end.Duration, end.Err)
	}
	r := end.Matched
	if r == nil || r.Kind == route.Batch && outcome == routereport.Answered {
		return
	}
	n.figures.Ended(r.Name, outcome, end.Duration, routereport.TargetOf(r))
}

// submissionEnded counts the end of a submission and where the time of its slowest item
// went.
func (n *Node) submissionEnded(host, path string, age time.Duration, times submission.StepTimes) {
	configuration := n.routes.Load()
	if configuration == nil {
		return
	}
	if r, ok := configuration.Match(host, path); ok {
		n.figures.Ended(r.Name, routereport.Answered, age, routereport.TargetOf(r))
		n.metrics.stepTimed(r.Name, times)
	}
}

// figures are the counts of requests that ended within the window of the report: by route,
// those of one account, and those that were refused for their key.
type figures struct {
	routes      []*routereport.Figure
	account     accountreport.Figure
	keyRefusals [account.RefusalCount]int64
}

// add adds the figures of another node.
func (f *figures) add(other figures) {
	f.routes = append(f.routes, other.routes...)
	f.account.Add(other.account)
	for reason, n := range other.keyRefusals {
		f.keyRefusals[reason] += n
	}
}

// localFigures returns the figures of this node, with those of the given account.
func (n *Node) localFigures(accountName string) figures {
	return figures{routes: n.figures.Figures(), account: n.accountFigures.Figure(accountName), keyRefusals: n.accountFigures.Refusals()}
}

// page is a report that can be shown on a phone.
type page interface{ Text() string }

// serveReport responds with the report over all nodes, or with that on one account.
func (n *Node) serveReport(w http.ResponseWriter, r *http.Request) {
	var report page
	if name := r.URL.Query().Get(operator.QueryAccount); name != "" {
		report = n.accountReport(r.Context(), name)
	} else {
		report = n.report(r.Context())
	}
	text, kind := report.Text(), "text/plain; charset=utf-8"
	if strings.Contains(r.Header.Get("Accept"), "text/html") {
		text, kind = phone.Page("comfreyfront report", text), "text/html; charset=utf-8"
	}
	w.Header().Set("Content-Type", kind)
	_, _ = io.WriteString(w, text) // the client may have disconnected
}

// report collects the figures of all nodes and builds the report.
func (n *Node) report(ctx context.Context) routereport.Report {
	sum, answered, nodes := n.collectFigures(ctx, accountreport.NoAccount)
	report := routereport.Build(n.routes.Load(), sum.routes)
	report.At, report.NodesReporting, report.Nodes, report.StoreLost = time.Now(), answered, nodes, !n.store.Connected()
	for _, refused := range sum.keyRefusals {
		report.KeyRefusals += refused
	}
	return report
}

// accountReport collects the figures of all nodes and builds the report on an account.
func (n *Node) accountReport(ctx context.Context, name string) accountreport.Report {
	sum, answered, nodes := n.collectFigures(ctx, name)
	report := accountreport.Report{
		At: time.Now(), NodesReporting: answered, Nodes: nodes, Account: name, Figure: sum.account, KeyRefusals: sum.keyRefusals,
	}
	if configuration := n.routes.Load(); configuration != nil {
		report.Version = configuration.Version
		_, report.Found = configuration.Accounts.Find(name)
	}
	if n.usage != nil {
		report.Usage = n.usage.usageOf(ctx, name)
	}
	return report
}

// collectFigures returns the sum of the figures of all nodes, how many nodes returned
// theirs, and how many nodes there are.
func (n *Node) collectFigures(ctx context.Context, accountName string) (sum figures, answered, all int) {
	ctx, cancel := context.WithTimeout(ctx, figuresTimeout)
	defer cancel()
	nodes := n.cluster.Nodes()
	sum, answered = n.localFigures(accountName), 1
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(maxParallelFigures)
	for _, node := range nodes {
		group.Go(func() error {
			peerFigures, err := n.peers.figures(ctx, node, accountName)
			if err != nil {
				event.PeerCallFailed.Log(ctx, n.logger, slog.String("peer", node.Name), slog.String("cause", err.Error()))
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			sum.add(peerFigures)
			answered++
			return nil
		})
	}
	_ = group.Wait() // the functions return no errors
	return sum, answered, len(nodes) + 1
}

func encodeFigures(f figures) *nodepb.FiguresReply {
	reply := &nodepb.FiguresReply{
		Account:     &nodepb.AccountFigure{Counts: f.account.Outcomes[:], Refusals: f.account.Refusals[:], Shares: f.account.Shares[:]},
		KeyRefusals: f.keyRefusals[:],
	}
	for _, r := range f.routes {
		reply.Routes = append(reply.Routes, &nodepb.RouteFigure{Route: r.Route, Counts: r.Counts[:], InTime: r.InTime, Times: r.Times[:]})
	}
	return reply
}

// decodeFigures decodes the counters that this build knows; a node of another build
// may send more of them.
func decodeFigures(reply *nodepb.FiguresReply) figures {
	var f figures
	for _, wire := range reply.GetRoutes() {
		r := &routereport.Figure{Route: wire.GetRoute(), InTime: wire.GetInTime()}
		copy(r.Counts[:], wire.GetCounts())
		copy(r.Times[:], wire.GetTimes())
		f.routes = append(f.routes, r)
	}
	copy(f.account.Outcomes[:], reply.GetAccount().GetCounts())
	copy(f.account.Refusals[:], reply.GetAccount().GetRefusals())
	copy(f.account.Shares[:], reply.GetAccount().GetShares())
	copy(f.keyRefusals[:], reply.GetKeyRefusals())
	return f
}
