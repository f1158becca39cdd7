// Package intake bounds what callers may occupy in a process, however many they are and whatever
// they send: the memory of bodies and of answers that wait for their callers, the connections and
// the time. Memory is counted as bytes arrive and given back when the request ends. When a bound on
// memory or connections is reached, the caller is disconnected first that is furthest behind one that
// sends and reads at a reference rate.
package intake

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/comfreyfront/comfreyfront/internal/event"
)

// Errors of this package. None of them is returned after a request has begun to run, except by
// ReadAnswer.
var (
	Errors = errorx.NewNamespace("intake")
	// ErrShort means that there is no memory for more.
	ErrShort = Errors.NewType("short")
	// ErrTooLarge means that a body exceeds its limit.
	ErrTooLarge = Errors.NewType("too_large")
	// ErrSlow means that a body arrived too slowly, or not to its end.
	ErrSlow = Errors.NewType("slow")
	// ErrThin means that a body came in chunks so small that most of what arrived was no body.
	ErrThin = Errors.NewType("thin")
)

// Bound is a bound that a caller met.
type Bound string

// The bounds; the values are labels of metrics.
const (
	BoundMemory            Bound = "memory"
	BoundConnections       Bound = "connections"
	BoundClientConnections Bound = "client_connections"
	BoundBodyTime          Bound = "body_time"
	BoundChunks            Bound = "chunks"
	BoundWriteStall        Bound = "write_stall"
)

// bounds lists all bounds.
var bounds = []Bound{BoundMemory, BoundConnections, BoundClientConnections, BoundBodyTime, BoundChunks, BoundWriteStall}

// Intake holds the bounds of a process and what is in use. It is safe for concurrent use.
type Intake struct {
	limits  Limits
	logger  *slog.Logger
	now     func() time.Time
	metrics map[Bound]*boundMetric

	used atomic.Int64 // bytes
	// evicting is the part of used that belongs to requests whose callers were disconnected to
	// make room, and which have not ended yet.
	evicting atomic.Int64

	mu    sync.Mutex
	conns map[*Conn]struct{}
	// clients counts the connections by client address if there is a bound on them.
	clients map[string]int
	// freed is closed and replaced when memory is given back while waiting is positive.
	freed   chan struct{}
	waiting int
}

// New returns an intake in which nothing is in use. It registers its metrics.
func New(limits Limits, logger *slog.Logger, registerer prometheus.Registerer) *Intake {
	in := &Intake{
		limits: limits.orDefaults(), logger: logger, now: time.Now, metrics: map[Bound]*boundMetric{},
		conns: map[*Conn]struct{}{}, clients: map[string]int{}, freed: make(chan struct{}),
	}
	turnedAway := prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "comfreyfront", Name: "intake_turned_away_total", Help: "Callers that were refused or disconnected, by the bound that was met.",
	}, []string{"bound"})
	for _, bound := range bounds {
		in.metrics[bound] = &boundMetric{counter: turnedAway.WithLabelValues(string(bound))}
	}
	gauge := func(name, help string, value func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "comfreyfront", Name: name, Help: help}, value)
	}
	registerer.MustRegister(turnedAway,
		gauge("intake_bytes", "Memory in use for callers' bodies and answers.", func() float64 { return float64(in.used.Load()) }),
		gauge("intake_bytes_limit", "Bound on intake_bytes.", func() float64 { return float64(in.limits.Memory) }),
		gauge("intake_connections", "Open connections of callers.", func() float64 { return float64(in.Connections()) }),
		gauge("intake_connections_limit", "Bound on intake_connections.", func() float64 { return float64(in.limits.Connections) }))
	event.IntakeBounds.Log(context.Background(), logger, slog.Int64("bytes", in.limits.Memory), slog.Int("connections", in.limits.Connections),
		slog.Int("client_connections", in.limits.ClientConnections), slog.Int64("body_bytes_per_s", in.limits.BodyRate),
		slog.Duration("body_grace", in.limits.BodyGrace), slog.Duration("write_stall", in.limits.WriteStall))
	return in
}

// Used returns the memory in use, in bytes.
func (in *Intake) Used() int64 { return in.used.Load() }

// Connections returns the number of open connections.
func (in *Intake) Connections() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return len(in.conns)
}

// logInterval is the shortest time between two log lines about one bound.
const logInterval = time.Second

// boundMetric counts how often callers met a bound, and limits the log lines about it.
type boundMetric struct {
	counter  prometheus.Counter
	unlogged atomic.Int64
	loggedAt atomic.Int64 // Unix nanoseconds
}

// countTurnedAway counts a caller that met a bound, and logs the number of them at most once per
// logInterval.
func (in *Intake) countTurnedAway(bound Bound) {
	m := in.metrics[bound]
	m.counter.Inc()
	m.unlogged.Add(1)
	now, last := in.now().UnixNano(), m.loggedAt.Load()
	if now-last < int64(logInterval) || !m.loggedAt.CompareAndSwap(last, now) {
		return
	}
	event.CallersTurnedAway.Log(context.Background(), in.logger, slog.String("bound", string(bound)), slog.Int64("callers", m.unlogged.Swap(0)),
		slog.Int64("bytes", in.used.Load()), slog.Int("connections", in.Connections()))
}

// contextKey is the key of a connection in the context of its requests.
type contextKey struct{}

// connOf returns the connection of a request, or nil if it has none of this package.
func connOf(ctx context.Context) *Conn {
	conn, _ := ctx.Value(contextKey{}).(*Conn)
	return conn
}

// lingerTime bounds the time in which the rest of a body is read that no handler has read.
const lingerTime = 500 * time.Millisecond

// lingering returns a handler after which the rest of a body is awaited only for lingerTime. By
// itself, net/http waits for it without a limit.
func lingering(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(w, r)
		conn := connOf(r.Context())
		if conn == nil || r.ContentLength == 0 || conn.bodyRead.Load() {
			return
		}
		conn.begin(receiving)
		// An error means that the connection is closed already.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(lingerTime))
	})
}

// breaking returns a handler whose answers to callers of HTTP/1.0 end in order only if it returns:
// in that version an answer may end with its connection. If the handler panics, or the process ends,
// the connection is reset.
func breaking(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn := connOf(r.Context())
		if conn == nil || r.ProtoAtLeast(1, 1) {
			next.ServeHTTP(w, r)
			return
		}
		setResetAtClose(conn.Conn, true)
		next.ServeHTTP(w, r)
		setResetAtClose(conn.Conn, false)
	})
}

// Track makes a server report the states of its connections, and reset those whose callers could not
// tell otherwise that an answer broke off. conn returns the connection of this package that a
// connection of the server is or wraps, or nil.
func Track(server *http.Server, conn func(net.Conn) *Conn) {
	server.Handler = lingering(breaking(server.Handler))
	next := server.ConnState
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if tracked := conn(c); tracked != nil {
			tracked.onState(state)
		}
		if next != nil {
			next(c, state)
		}
	}
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if tracked := conn(c); tracked != nil {
			return context.WithValue(ctx, contextKey{}, tracked)
		}
		return ctx
	}
}

// Listener returns a listener that accepts from another one, within the bounds on connections.
func (in *Intake) Listener(listener net.Listener) net.Listener {
	return &boundedListener{Listener: listener, intake: in}
}

// boundedListener closes new connections that exceed the bounds.
type boundedListener struct {
	net.Listener
	intake *Intake
}

// Accept implements net.Listener.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if conn, ok := l.intake.Admit(accepted); ok {
			return conn, nil
		}
	}
}

// ConnOf returns a connection that a listener of this package accepted, or nil.
func ConnOf(conn net.Conn) *Conn {
	counted, _ := conn.(*Conn)
	return counted
}
