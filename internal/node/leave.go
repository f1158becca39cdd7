package node

import (
	"context"
	"log/slog"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/comfreyfront/comfreyfront/internal/call"
	"github.com/comfreyfront/comfreyfront/internal/event"
)

// Phases of a planned stop, as the fractions of the grace period at which they end. The
// process must have exited by the end of the grace period.
const (
	// finishFraction ends the phase in which requests may finish and units are handed over.
	// The platform expects each request that an endpoint has answered in the first five
	// sixths of the grace period to be answered.
	finishFraction = 0.86
	// answerFraction ends the phase in which the requests that did not finish are answered
	// with an error.
	answerFraction = 0.92
	// leaseFraction ends the phase in which the lease is ended.
	leaseFraction = 0.96
)

// leave finishes what is in flight: the readiness check starts to fail, units are
// handed over to other nodes, and open requests run to completion.
func (n *Node) leave(front *front) {
	began := time.Now()
	phase := func(fraction float64) (context.Context, context.CancelFunc) {
		return context.WithDeadline(context.Background(), began.Add(time.Duration(fraction*float64(n.config.Grace))))
	}
	finish, cancelFinish := phase(finishFraction)
	defer cancelFinish()
	answer, cancelAnswer := phase(answerFraction)
	defer cancelAnswer()
	lease, cancelLease := phase(leaseFraction)
	defer cancelLease()
	event.NodeDraining.Log(finish, n.logger)
	n.draining.Store(true)
	var group errgroup.Group
	group.Go(func() error {
		n.cluster.Leave(finish)
		return n.handOver(finish)
	})
	group.Go(func() error { return front.Shutdown(finish, answer) })
	if err := group.Wait(); err != nil {
		event.NodeWorkAborted.Log(finish, n.logger, slog.String("cause", err.Error()))
	}
	if n.usage != nil {
		n.usage.stop(lease)
	}
	n.cluster.EndLease(lease)
}

// refuseLate makes requests be refused whose deadlines come after finish ends.
func (n *Node) refuseLate(finish context.Context) {
	if end, ok := finish.Deadline(); ok {
		n.finishBy.Store(&end)
	}
}

// checkLate returns ErrLeaving if a request must not be passed to an endpoint because it might be
// cut off by a planned stop.
func (n *Node) checkLate(request *call.Request) error {
	finish := n.finishBy.Load()
	if finish == nil || request.Deadline.Before(*finish) {
		return nil
	}
	return call.ErrLeaving.New("this instance stops before the deadline of the request")
}

// handOver waits until other nodes have taken over the units of this node.
func (n *Node) handOver(ctx context.Context) error {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for n.ownsUnits() && len(n.cluster.Nodes()) > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// ownsUnits reports whether this node still owns a unit.
func (n *Node) ownsUnits() bool {
	if n.usage.holds() {
		return true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.units) > 0 || n.scalers.active()
}
