package node

import (
	"context"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/call"
	"github.com/comfreyfront/comfreyfront/internal/route"
	"github.com/comfreyfront/comfreyfront/internal/share"
)

// Parameters of the admission of callers' requests.
const (
	// holdTarget and holdTimeout are the longest time that a request waits for room, as
	// fractions of its route's target latency, or of its timeout if it has no target. A
	// caller that is refused within it can still be served in time elsewhere.
	holdTarget  = 0.25
	holdTimeout = 0.1
	// roomLife is how long the room of a service is used before it is computed again.
	roomLife = 20 * time.Millisecond
)

// Room tells how many requests for a service this node has room for.
type Room interface {
	Room(service string, now time.Time) float64
}

// gates admit callers' requests while services are short.
type gates struct {
	room     Room
	services sync.Map // *serviceGate by service
}

// serviceGate is the gate of one service. A nil one admits everything.
type serviceGate struct {
	*share.Gate
	service string
	room    Room
	// refreshedAt is when the room was computed, in Unix nanoseconds.
	refreshedAt atomic.Int64
	// watched means that a goroutine computes the room while requests wait.
	watched atomic.Bool
}

// of returns the gate of a service.
func (g *gates) of(service string) *serviceGate {
	if found, ok := g.services.Load(service); ok {
		return found.(*serviceGate)
	}
	created, _ := g.services.LoadOrStore(service, &serviceGate{Gate: share.NewGate(), service: service, room: g.room})
	return created.(*serviceGate)
}

// enter waits until the request has room. It returns an error of package share if the
// request has none in time.
func (g *serviceGate) enter(ctx context.Context, work share.Work) error {
	now := time.Now()
	if last := g.refreshedAt.Load(); now.UnixNano()-last >= int64(roomLife) && g.refreshedAt.CompareAndSwap(last, now.UnixNano()) {
		g.refresh(now)
	}
	ticket, err := g.Offer(work, now)
	if ticket == nil {
		return err
	}
	g.watch()
	select {
	case err := <-ticket.Decision():
		return err
	case <-ctx.Done():
		if g.Cancel(ticket) {
			g.Ended(time.Now())
		}
		return share.ErrNoRoom.Wrap(ctx.Err(), "the caller stopped waiting for room")
	}
}

// refresh computes the room. Fractions of a request are rounded at random, so that all
// nodes together use the room that is there.
func (g *serviceGate) refresh(now time.Time) {
	g.SetFree(math.Floor(g.room.Room(g.service, now)+rand.Float64()), now)
}

// watch computes the room regularly while requests wait.
func (g *serviceGate) watch() {
	if !g.watched.CompareAndSwap(false, true) {
		return
	}
	go func() {
		ticker := time.NewTicker(roomLife)
		defer ticker.Stop()
		for g.Waiting() > 0 {
			now := <-ticker.C
			g.refreshedAt.Store(now.UnixNano())
			g.refresh(now)
		}
		g.watched.Store(false)
		if g.Waiting() > 0 { // one arrived after the last check
			g.watch()
		}
	}()
}

// leave returns the room of a request that ended.
func (g *serviceGate) leave() {
	if g != nil {
		g.Ended(time.Now())
	}
}

// admit waits until a caller's request has room at its service, if the configuration has
// accounts. The caller calls leave when the request has ended.
func (n *Node) admit(ctx context.Context, r *route.Route, request *call.Request) (*serviceGate, error) {
	configuration := n.routes.Load()
	if configuration == nil || configuration.Accounts == nil {
		return nil, nil
	}
	service := r.ServiceFor(request.ID)
	if service == "" || configuration.Services[service].Engine {
		return nil, nil // engines order requests themselves
	}
	gate := n.gates.of(service)
	work := share.Work{Account: request.Account, Priority: request.Priority, Hold: holdOf(r, request), Spread: spreadOf(request.ID)}
	if err := gate.enter(ctx, work); err != nil {
		return nil, err
	}
	return gate, nil
}

// holdOf returns how long a request may wait for room.
func holdOf(r *route.Route, request *call.Request) time.Duration {
	hold := time.Duration(holdTimeout * float64(r.Timeout))
	if r.Target > 0 {
		hold = time.Duration(holdTarget * float64(r.Target))
	}
	if request.Deadline.IsZero() {
		return hold
	}
	return max(min(hold, time.Duration(holdTarget*float64(time.Until(request.Deadline)))), 0)
}

// spreadOf returns a number between 0 and 1 that differs between requests.
func spreadOf(id string) float64 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(id)) // never fails
	return float64(hash.Sum32()) / math.MaxUint32
}

// Room implements Room from what the endpoints report about the requests of all nodes.
func (n *Node) Room(service string, now time.Time) float64 {
	var pool share.Pool
	for _, e := range n.directory.Of(service) {
		if e.Leaving() {
			continue
		}
		slots := e.SlotCount()
		inFlight := e.Live.TotalInFlight(now)
		if e.Live.IsFull(now) {
			inFlight = max(inFlight, int64(slots))
		}
		pool.Slots += float64(slots)
		pool.InFlight += float64(inFlight)
		pool.Own += float64(e.Live.InFlight())
	}
	if !pool.Plenty() {
		pool.Nodes = float64(len(n.cluster.Nodes()) + 1)
	}
	return pool.Free()
}
