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
	"github.com/comfreyfront/comfreyfront/platform"
)

// Bounds of the question to all nodes.
const (
	figuresTimeout = time.Second
	figuresAtOnce  = 32
)

// countEnd counts the end of a caller's request. Submissions count when their
// steps end, not when they are taken.
func (n *Node) countEnd(end platform.End) {
	outcome := routereport.OutcomeOf(end.Status, end.Err)
	n.metrics.ended(end.Route(), outcome, end.Status, end.Took)
	r := end.Matched
	if r == nil || r.Kind == route.Batch && outcome == routereport.Answered {
		return
	}
	n.figures.Ended(r.Name, outcome, end.Took, routereport.TargetOf(r))
}

// stepEnded counts the end of a submission.
func (n *Node) stepEnded(host, path string, age time.Duration) {
	configuration := n.routes.Load()
	if configuration == nil {
		return
	}
	if r, ok := configuration.Match(host, path); ok {
		n.figures.Ended(r.Name, routereport.Answered, age, routereport.TargetOf(r))
	}
}

// serveReport answers with the report over all nodes.
func (n *Node) serveReport(w http.ResponseWriter, r *http.Request) {
	report := n.report(r.Context())
	text, kind := report.Text(), "text/plain; charset=utf-8"
	if strings.Contains(r.Header.Get("Accept"), "text/html") {
		text, kind = report.HTML(), "text/html; charset=utf-8"
	}
	w.Header().Set("Content-Type", kind)
	_, _ = io.WriteString(w, text) // the reader may be gone
}

// report asks all nodes for their figures.
func (n *Node) report(ctx context.Context) routereport.Report {
	ctx, cancel := context.WithTimeout(ctx, figuresTimeout)
	defer cancel()
	nodes := n.cluster.Nodes()
	figures := n.figures.Figures()
	heard := 1
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(figuresAtOnce)
	for _, node := range nodes {
		group.Go(func() error {
			told, err := n.peers.figures(ctx, node)
			if err != nil {
				event.PeerCallFailed.Log(ctx, n.logger, slog.String("peer", node.Name), slog.String("cause", err.Error()))
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			figures = append(figures, told...)
			heard++
			return nil
		})
	}
	_ = group.Wait() // the calls give no error
	report := routereport.Build(n.routes.Load(), figures)
	report.At, report.Heard, report.Nodes, report.StoreLost = time.Now(), heard, len(nodes)+1, !n.store.Connected()
	return report
}

func encodeFigures(figures []*routereport.Figure) *nodepb.FiguresReply {
	reply := &nodepb.FiguresReply{}
	for _, f := range figures {
		reply.Routes = append(reply.Routes, &nodepb.RouteFigure{Route: f.Route, Counts: f.Counts[:], InTime: f.InTime, Times: f.Times[:]})
	}
	return reply
}

// decodeFigures takes what it knows; a node of another build may count more.
func decodeFigures(reply *nodepb.FiguresReply) []*routereport.Figure {
	var figures []*routereport.Figure
	for _, told := range reply.GetRoutes() {
		f := &routereport.Figure{Route: told.GetRoute(), InTime: told.GetInTime()}
		copy(f.Counts[:], told.GetCounts())
		copy(f.Times[:], told.GetTimes())
		figures = append(figures, f)
	}
	return figures
}
