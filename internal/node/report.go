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

	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/node/nodepb"
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

// serveReport responds with the report over all nodes.
func (n *Node) serveReport(w http.ResponseWriter, r *http.Request) {
	report := n.report(r.Context())
	text, kind := report.Text(), "text/plain; charset=utf-8"
	if strings.Contains(r.Header.Get("Accept"), "text/html") {
		text, kind = report.HTML(), "text/html; charset=utf-8"
	}
	w.Header().Set("Content-Type", kind)
	_, _ = io.WriteString(w, text) // the client may have disconnected
}

// report collects the figures of all nodes and builds the report.
func (n *Node) report(ctx context.Context) routereport.Report {
	ctx, cancel := context.WithTimeout(ctx, figuresTimeout)
	defer cancel()
	nodes := n.cluster.Nodes()
	figures := n.figures.Figures()
	answered := 1
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(maxParallelFigures)
	for _, node := range nodes {
		group.Go(func() error {
			peerFigures, err := n.peers.figures(ctx, node)
			if err != nil {
				event.PeerCallFailed.Log(ctx, n.logger, slog.String("peer", node.Name), slog.String("cause", err.Error()))
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			figures = append(figures, peerFigures...)
			answered++
			return nil
		})
	}
	_ = group.Wait() // the functions return no errors
	report := routereport.Build(n.routes.Load(), figures)
	report.At, report.NodesReporting, report.Nodes, report.StoreLost = time.Now(), answered, len(nodes)+1, !n.store.Connected()
	return report
}

func encodeFigures(figures []*routereport.Figure) *nodepb.FiguresReply {
	reply := &nodepb.FiguresReply{}
	for _, f := range figures {
		reply.Routes = append(reply.Routes, &nodepb.RouteFigure{Route: f.Route, Counts: f.Counts[:], InTime: f.InTime, Times: f.Times[:]})
	}
	return reply
}

// decodeFigures decodes the counters that this build knows; a node of another build
// may send more of them.
func decodeFigures(reply *nodepb.FiguresReply) []*routereport.Figure {
	var figures []*routereport.Figure
	for _, wire := range reply.GetRoutes() {
		f := &routereport.Figure{Route: wire.GetRoute(), InTime: wire.GetInTime()}
		copy(f.Counts[:], wire.GetCounts())
		copy(f.Times[:], wire.GetTimes())
		figures = append(figures, f)
	}
	return figures
}
