package node

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/account"
	"github.com/comfreyfront/comfreyfront/internal/call"
	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/intake"
	"github.com/comfreyfront/comfreyfront/internal/panics"
	"github.com/comfreyfront/comfreyfront/internal/route"
	"github.com/comfreyfront/comfreyfront/internal/share"
	"github.com/comfreyfront/comfreyfront/internal/submission"
	"github.com/comfreyfront/comfreyfront/internal/submission/recordpb"
	"github.com/comfreyfront/comfreyfront/internal/wait"
	"github.com/comfreyfront/comfreyfront/platform"
)

// Limits that apply until the first configuration is known.
const (
	defaultHeaderBytes   = 16 << 10
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
)

// Delays sent to callers in Retry-After.
const (
	retryAfterNotRun      = 100 * time.Millisecond
	retryAfterStoreOutage = 300 * time.Millisecond
)

// front serves callers. A new connection is served under the limits that are in
// force when it is accepted.
type front struct {
	node *Node
	// requests is the context of all requests; endRequests ends it.
	requests    context.Context
	endRequests context.CancelFunc

	mu      sync.Mutex
	servers []*frontServer
	limits  route.Limits
	closing bool
	done    chan struct{}
}

// frontServer is an HTTP server with fixed limits. It accepts the connections that
// are delivered to its connListener.
type frontServer struct {
	server *http.Server
	conns  *connListener
}

func newFront(n *Node) *front {
	f := &front{node: n, done: make(chan struct{})}
	f.requests, f.endRequests = context.WithCancel(context.Background())
	f.apply(route.Limits{HeaderBytes: defaultHeaderBytes, HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout})
	n.routes.OnChange(func(c *route.Configuration) { f.apply(c.Limits) })
	return f
}

// apply starts a server for new connections if the limits have changed.
func (f *front) apply(limits route.Limits) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closing || len(f.servers) > 0 && f.limits == limits {
		return
	}
	f.limits = limits
	server := &http.Server{
		Handler:           panics.Logged(&platform.Ingress{Front: f.node}, f.node.logger),
		ReadHeaderTimeout: orDefault(limits.HeaderTimeout, defaultHeaderTimeout),
		IdleTimeout:       orDefault(limits.IdleTimeout, defaultIdleTimeout),
		MaxHeaderBytes:    max(limits.HeaderBytes, 4<<10),
		ErrorLog:          discardLogger(),
		ConnState:         trackConnState,
		BaseContext:       func(net.Listener) context.Context { return f.requests },
	}
	intake.Track(server, intakeConn)
	s := &frontServer{server: server, conns: &connListener{conns: make(chan net.Conn), done: f.done}}
	f.servers = append(f.servers, s)
	go func() { _ = server.Serve(s.conns) }() // Serve returns when the front closes
}

func orDefault(value, fallback time.Duration) time.Duration {
	if value > 0 {
		return value
	}
	return fallback
}

// Serve accepts connections and delivers each to the newest server, until the
// listener closes.
func (f *front) Serve(listener net.Listener) error {
	go func() {
		<-f.done
		_ = listener.Close() // ends the Accept loop
	}()
	for {
		conn, err := listener.Accept()
		if err != nil {
			select {
			case <-f.done:
				return http.ErrServerClosed
			default:
				return err
			}
		}
		admitted, ok := f.node.intake.Admit(conn)
		if !ok {
			continue
		}
		f.mu.Lock()
		s := f.servers[len(f.servers)-1]
		f.mu.Unlock()
		s.conns.deliver(newHeadConn(admitted))
	}
}

// drainDelay is how long new connections are still accepted after the readiness
// check starts to fail. The load balancer checks once a second and stops sending
// connections after the second failure.
const drainDelay = 2500 * time.Millisecond

// connsInterval is how often a stopping front checks whether callers are still connected.
const connsInterval = 20 * time.Millisecond

// Shutdown stops accepting connections once the load balancer has noticed the
// failing readiness check, and closes open connections after their current
// response. From then on, requests that might not be answered when finish ends are refused.
// Requests that are still open then are answered with an error, for which there is time until
// answer ends.
func (f *front) Shutdown(finish, answer context.Context) error {
	f.mu.Lock()
	f.closing = true
	servers := f.servers
	f.mu.Unlock()
	for _, s := range servers {
		s.server.SetKeepAlivesEnabled(false)
	}
	wait.For(finish, drainDelay)
	f.node.refuseLate(finish)
	close(f.done)
	stop := context.AfterFunc(finish, f.endRequests)
	defer stop()
	f.awaitCallers(answer)
	for _, s := range servers {
		if err := s.server.Shutdown(answer); err != nil {
			return err
		}
	}
	return nil
}

// awaitCallers waits until no caller is connected, or ctx ends. A server that is shut down closes
// connections whose next request it has read already, without an answer.
func (f *front) awaitCallers(ctx context.Context) {
	for f.node.intake.Connections() > 0 && wait.For(ctx, connsInterval) {
	}
}

// connListener is a net.Listener that returns the connections passed to deliver.
type connListener struct {
	conns chan net.Conn
	done  chan struct{}
}

func (l *connListener) deliver(conn net.Conn) {
	select {
	case l.conns <- conn:
	case <-l.done:
		_ = conn.Close() // the front is closing
	}
}

// Accept implements net.Listener.
func (l *connListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *connListener) Close() error { return nil }

// Addr implements net.Listener.
func (l *connListener) Addr() net.Addr { return &net.TCPAddr{} }

var _ platform.Front = (*Node)(nil)

// startupWait is how long after the start of the node callers may wait for the first
// configuration. The configuration arrives within a tenth of that, so waiting is
// quicker than a refusal and a retry.
const startupWait = time.Second

// Configuration implements platform.Front.
func (n *Node) Configuration(ctx context.Context) *route.Configuration {
	if configuration := n.routes.Load(); configuration != nil {
		return configuration
	}
	ctx, cancel := context.WithDeadline(ctx, n.started.Add(startupWait))
	defer cancel()
	return n.routes.Await(ctx)
}

// Do implements platform.Front.
func (n *Node) Do(ctx context.Context, r *route.Route, request *call.Request) (*call.Answer, error) {
	if err := n.checkLate(request); err != nil {
		return nil, err
	}
	gate, err := n.admit(ctx, r, request)
	if err != nil {
		return nil, err
	}
	defer gate.leave()
	return n.forward.Do(ctx, r, request)
}

// Stream implements platform.Front.
func (n *Node) Stream(ctx context.Context, r *route.Route, request *call.Request, after int, receiver call.Receiver) (bool, error) {
	if err := n.checkLate(request); err != nil {
		return false, err
	}
	return n.forward.Stream(ctx, r, request, after, receiver)
}

// Accept implements platform.Front.
func (n *Node) Accept(ctx context.Context, r *route.Route, record *recordpb.Submission) error {
	service := r.ServiceFor(record.GetId())
	if service == "" {
		return call.ErrNoEndpoint.New("the route has no service")
	}
	return n.submissions.Accept(ctx, engineUnitPrefix+service, record)
}

// Read implements platform.Front.
func (n *Node) Read(ctx context.Context, caller account.Caller, id string, after int, waitLimit time.Duration) (int, []*recordpb.Result, error) {
	if err := n.submissions.Authorize(ctx, caller, id); err != nil {
		return 0, nil, err
	}
	return n.submissions.Read(ctx, id, after, waitLimit)
}

// Body implements platform.Front.
func (n *Node) Body(ctx context.Context, caller account.Caller, id, itemID string) ([]byte, error) {
	if err := n.submissions.Authorize(ctx, caller, id); err != nil {
		return nil, err
	}
	return n.submissions.Body(ctx, id, itemID)
}

// End implements platform.Front.
func (n *Node) End(ctx context.Context, caller account.Caller, id string) error {
	if err := n.submissions.Authorize(ctx, caller, id); err != nil {
		return err
	}
	return n.submissions.End(ctx, id)
}

// Refusal implements platform.Front. Status 503 guarantees that the request did not
// run; 502 and 504 guarantee nothing.
func (n *Node) Refusal(err error) (int, time.Duration) {
	if status, after, ok := refusalOfKey(err); ok {
		return status, after
	}
	if after, ok := share.RetryAfter(err); ok {
		return http.StatusServiceUnavailable, after
	}
	switch {
	case call.Is(err, call.ErrLeaving):
		return http.StatusServiceUnavailable, 0 // another instance serves it at once
	case call.NotRun(err), call.Is(err, share.ErrNoRoom):
		return http.StatusServiceUnavailable, retryAfterNotRun
	case call.Is(err, call.ErrEnded, submission.ErrUnknown):
		return http.StatusGatewayTimeout, 0
	case call.Is(err, submission.ErrMalformed):
		return http.StatusBadRequest, 0
	case call.Is(err, submission.ErrTooLarge):
		return http.StatusRequestEntityTooLarge, 0
	case call.Is(err, submission.ErrNotFound):
		return http.StatusNotFound, 0
	case call.Is(err, submission.ErrTaken):
		return http.StatusConflict, 0
	case call.Is(err, submission.ErrUnavailable):
		return http.StatusServiceUnavailable, retryAfterStoreOutage
	}
	return http.StatusBadGateway, 0
}

// Ended implements platform.Front.
func (n *Node) Ended(end platform.End) {
	n.countEnd(end)
	attrs := []slog.Attr{
		slog.String("request", end.ID), slog.String("route", end.Route()), slog.Int("status", end.Status),
		slog.Int64("took_ms", end.Duration.Milliseconds()),
	}
	if end.Submission != "" {
		attrs = append(attrs, slog.String("submission", end.Submission))
	}
	if name := end.Caller.Name(); name != "" {
		attrs = append(attrs, slog.String("account", name))
	}
	if _, refused := account.RefusalOf(end.Err); refused {
		event.KeyRefused.Log(context.Background(), n.logger, append(attrs, slog.String("cause", end.Err.Error()))...)
		return
	}
	if call.Is(end.Err, share.ErrExceeded, share.ErrNoRoom) {
		event.ShareRefused.Log(context.Background(), n.logger, append(attrs, slog.String("cause", end.Err.Error()))...)
		return
	}
	if end.Err != nil {
		event.RequestFailed.Log(context.Background(), n.logger, append(attrs, slog.String("cause", end.Err.Error()))...)
		return
	}
	event.RequestEnded.Log(context.Background(), n.logger, attrs...)
}
