package alternatives

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/claim"
	"github.com/comfreyfront/comfreyfront/internal/ownership"
	"github.com/comfreyfront/comfreyfront/internal/peer/peerpb"
)

// The benchmark stops one of several owners and reports how long the claims of its
// partitions are rejected.
const (
	killDelay       = 2 * time.Second
	observeDuration = 14 * time.Second
	// detectionDelay is the time until the exchange between entries reports an entry as
	// dead.
	detectionDelay = 3 * time.Second
)

// killableOwner is the connection to an entry that may be dead.
type killableOwner struct {
	claim.Owner
	dead *atomic.Bool
}

func (m killableOwner) refusal() error {
	if m.dead.Load() {
		return &net.OpError{Op: "dial", Err: errors.New("connection refused")}
	}
	return nil
}

func (m killableOwner) Claim(ctx context.Context, request *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
	if err := m.refusal(); err != nil {
		return nil, err
	}
	return remoteOwner{m.Owner}.Claim(ctx, request)
}

func (m killableOwner) Settle(ctx context.Context, request *peerpb.SettleRequest) (*peerpb.SettleReply, error) {
	if err := m.refusal(); err != nil {
		return nil, err
	}
	return remoteOwner{m.Owner}.Settle(ctx, request)
}

// killableFleet returns a scheme and a function that stops its first entry, with or without
// a handover.
func killableFleet(takeOver bool) (s scheme, end func(handOver bool)) {
	stores := slowStores()
	ctx, cancel := context.WithCancel(context.Background())
	victimCtx, kill := context.WithCancel(ctx)
	var loops sync.WaitGroup
	var dead, reportedDead atomic.Bool
	var options claim.Options
	if takeOver {
		options.Alive = func(entry string) bool { return entry != "0" || !reportedDead.Load() }
	}
	servers, routers := map[string]*claim.Server{}, make([]claim.Claimer, benchEntries)
	peers := func() (live []claim.Peer) {
		for i := range benchEntries {
			if i > 0 || !reportedDead.Load() {
				live = append(live, claim.Peer{ID: fmt.Sprint(i)})
			}
		}
		return live
	}
	for i := range benchEntries {
		id, entryCtx := fmt.Sprint(i), ctx
		if i == 0 {
			entryCtx = victimCtx
		}
		owner := ownership.New(stores[i], id, ownership.Options{}, quiet)
		servers[id] = claim.NewServer(stores[i], owner, options, quiet, nil)
		loops.Go(func() { _ = owner.Run(entryCtx) })
		loops.Go(func() { _ = servers[id].Run(entryCtx) })
		routers[i] = claim.NewRouter(id, servers[id], peers, func(to claim.Peer) claim.Owner {
			entryDead := &atomic.Bool{}
			if to.ID == "0" {
				entryDead = &dead
			}
			return killableOwner{servers[to.ID], entryDead}
		}, claim.Options{}, quiet)
	}
	s = scheme{
		// Callers use only the entries that stay alive.
		claimer: func(entry int) claim.Claimer { return routers[1+entry%(benchEntries-1)] },
		key:     randomKey, stores: stores,
		close: func() { cancel(); loops.Wait() },
	}
	return s, func(handOver bool) {
		if handOver {
			servers["0"].HandOver(ctx)
		}
		dead.Store(true)
		kill()
		if !handOver {
			<-time.After(detectionDelay)
		}
		reportedDead.Store(true)
	}
}

func BenchmarkOwnerEnds(b *testing.B) {
	for _, variant := range []struct{ handOver, takeOver bool }{{true, false}, {false, false}, {false, true}} {
		handOver := variant.handOver
		b.Run(fmt.Sprintf("handover=%t/takeover=%t", handOver, variant.takeOver), func(b *testing.B) {
			for range b.N {
				s, end := killableFleet(variant.takeOver)
				s.load(100, time.Second)
				var ending sync.WaitGroup
				ending.Go(func() {
					<-time.After(killDelay)
					end(handOver)
				})
				measured := s.load(100, observeDuration)
				ending.Wait()
				b.ReportMetric(float64(measured.refused.Load()), "refused")
				b.ReportMetric(float64(len(measured.latencies)), "granted")
				b.ReportMetric(max(0, time.Duration(measured.lastRefusal.Load())-killDelay).Seconds(), "refused-for-s")
				s.close()
			}
		})
	}
}
