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

// The benchmark ends one of several owners and reports how long the claims of
// its partitions are refused.
const (
	deathAfter   = 2 * time.Second
	deathObserve = 14 * time.Second
	// suspicion is how long the exchange takes to believe that an entry is dead.
	suspicion = 3 * time.Second
)

// mortal is the way to an entry that may be dead.
type mortal struct {
	claim.Owner
	dead *atomic.Bool
}

func (m mortal) refusal() error {
	if m.dead.Load() {
		return &net.OpError{Op: "dial", Err: errors.New("connection refused")}
	}
	return nil
}

func (m mortal) Claim(ctx context.Context, request *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
	if err := m.refusal(); err != nil {
		return nil, err
	}
	return distant{m.Owner}.Claim(ctx, request)
}

func (m mortal) Settle(ctx context.Context, request *peerpb.SettleRequest) (*peerpb.SettleReply, error) {
	if err := m.refusal(); err != nil {
		return nil, err
	}
	return distant{m.Owner}.Settle(ctx, request)
}

// mortalFleet is a way to claim whose first entry can be ended, by a handover
// or without a word.
func mortalFleet(depose bool) (w way, end func(handOver bool)) {
	stores := slowStores()
	ctx, cancel := context.WithCancel(context.Background())
	doomed, kill := context.WithCancel(ctx)
	var loops sync.WaitGroup
	var dead, believed atomic.Bool
	var options claim.Options
	if depose {
		options.Alive = func(entry string) bool { return entry != "0" || !believed.Load() }
	}
	servers, routers := map[string]*claim.Server{}, make([]claim.Claimer, benchEntries)
	peers := func() (live []claim.Peer) {
		for i := range benchEntries {
			if i > 0 || !believed.Load() {
				live = append(live, claim.Peer{ID: fmt.Sprint(i)})
			}
		}
		return live
	}
	for i := range benchEntries {
		id, life := fmt.Sprint(i), ctx
		if i == 0 {
			life = doomed
		}
		owner := ownership.New(stores[i], id, ownership.Options{}, quiet)
		servers[id] = claim.NewServer(stores[i], owner, options, quiet, nil)
		loops.Go(func() { _ = owner.Run(life) })
		loops.Go(func() { _ = servers[id].Run(life) })
		routers[i] = claim.NewRouter(id, servers[id], peers, func(to claim.Peer) claim.Owner {
			never := &atomic.Bool{}
			if to.ID == "0" {
				never = &dead
			}
			return mortal{servers[to.ID], never}
		}, claim.Options{}, quiet)
	}
	w = way{
		// Callers reach the entries that live on.
		claimer: func(entry int) claim.Claimer { return routers[1+entry%(benchEntries-1)] },
		key:     randomKey, stores: stores,
		close: func() { cancel(); loops.Wait() },
	}
	return w, func(handOver bool) {
		if handOver {
			servers["0"].HandOver(ctx)
		}
		dead.Store(true)
		kill()
		if !handOver {
			<-time.After(suspicion)
		}
		believed.Store(true)
	}
}

func BenchmarkOwnerEnds(b *testing.B) {
	for _, variant := range []struct{ handOver, depose bool }{{true, false}, {false, false}, {false, true}} {
		handOver := variant.handOver
		b.Run(fmt.Sprintf("handover=%t/depose=%t", handOver, variant.depose), func(b *testing.B) {
			for range b.N {
				w, end := mortalFleet(variant.depose)
				w.load(100, time.Second)
				var ending sync.WaitGroup
				ending.Go(func() {
					<-time.After(deathAfter)
					end(handOver)
				})
				seen := w.load(100, deathObserve)
				ending.Wait()
				b.ReportMetric(float64(seen.refused.Load()), "refused")
				b.ReportMetric(float64(len(seen.latencies)), "granted")
				b.ReportMetric(max(0, time.Duration(seen.lastRefusal.Load())-deathAfter).Seconds(), "refused-for-s")
				w.close()
			}
		})
	}
}
