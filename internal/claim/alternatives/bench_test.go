package alternatives

import (
	"context"
	"encoding/binary"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/claim"
	"github.com/comfreyfront/comfreyfront/internal/keyvalue/memstore"
	"github.com/comfreyfront/comfreyfront/internal/ownership"
	"github.com/comfreyfront/comfreyfront/internal/peer/peerpb"
)

// The benchmarks send claims at a fixed rate through several entries, with a store that
// responds in about 3 ms and a one-way delay of 4 ms between entries.
const (
	benchEntries   = 6
	storeMedian    = 3 * time.Millisecond
	storeSpread    = 0.6 // sigma of the log-normal distribution: the 99th percentile is about 12 ms
	roundTrip      = 8 * time.Millisecond
	benchDuration  = 3 * time.Second
	outageStart    = time.Second
	outageDuration = 10 * time.Second
	outageObserve  = 15 * time.Second
)

var quiet = slog.New(slog.DiscardHandler)

func storeDelay() time.Duration {
	return time.Duration(float64(storeMedian) * math.Exp(storeSpread*rand.NormFloat64()))
}

// scheme is one design for claims with the stores that it uses.
type scheme struct {
	claimer func(entry int) claim.Claimer
	key     func(entry int) claim.Key
	stores  []*memstore.Store
	close   func()
}

func slowStores() []*memstore.Store {
	root := memstore.New(nil)
	stores := make([]*memstore.Store, benchEntries)
	for i := range stores {
		stores[i] = root.View()
		stores[i].Intercept(func(ctx context.Context, _ memstore.Operation, _ string) error {
			select {
			case <-time.After(storeDelay()):
			case <-ctx.Done():
			}
			return nil
		})
	}
	return stores
}

func randomKey(int) claim.Key {
	var key claim.Key
	binary.BigEndian.PutUint64(key[:8], rand.Uint64())
	binary.BigEndian.PutUint64(key[8:], rand.Uint64())
	return key
}

func perCallScheme() scheme {
	stores := slowStores()
	return scheme{
		claimer: func(entry int) claim.Claimer { return PerCall{Store: stores[entry]} },
		key:     randomKey, stores: stores, close: func() {},
	}
}

func issuedScheme() scheme {
	issuers := make([]*Issuer, benchEntries)
	for i := range issuers {
		issuers[i] = &Issuer{Epoch: int64(i + 1)}
	}
	return scheme{
		claimer: func(entry int) claim.Claimer { return issuers[entry] },
		key:     func(entry int) claim.Key { return issuers[entry].Issue() },
		close:   func() {},
	}
}

// remoteOwner is an owner at another entry; each call takes one round trip.
type remoteOwner struct{ claim.Owner }

func (d remoteOwner) Settle(ctx context.Context, request *peerpb.SettleRequest) (*peerpb.SettleReply, error) {
	<-time.After(roundTrip)
	return d.Owner.Settle(ctx, request)
}

func (d remoteOwner) Claim(ctx context.Context, request *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
	<-time.After(roundTrip)
	return d.Owner.Claim(ctx, request)
}

func ownersScheme(options claim.Options) scheme {
	stores := slowStores()
	ctx, cancel := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	servers, routers := map[string]claim.Owner{}, make([]claim.Claimer, benchEntries)
	var peers []claim.Peer
	for i := range benchEntries {
		id := fmt.Sprint(i)
		owner := ownership.New(stores[i], id, ownership.Options{}, quiet)
		server := claim.NewServer(stores[i], owner, options, quiet, nil)
		loops.Go(func() { _ = owner.Run(ctx) })
		loops.Go(func() { _ = server.Run(ctx) })
		servers[id] = server
		peers = append(peers, claim.Peer{ID: id})
	}
	for i := range benchEntries {
		id := fmt.Sprint(i)
		routers[i] = claim.NewRouter(id, servers[id], func() []claim.Peer { return peers },
			func(to claim.Peer) claim.Owner { return remoteOwner{servers[to.ID]} }, options, quiet)
	}
	return scheme{
		claimer: func(entry int) claim.Claimer { return routers[entry] },
		key:     randomKey, stores: stores,
		close: func() { cancel(); loops.Wait() },
	}
}

func (s scheme) writes() (writes int64) {
	for _, store := range s.stores {
		writes += store.Calls().Writes
	}
	return writes
}

// measurements contains the latencies and rejections that callers observed.
type measurements struct {
	mu        sync.Mutex
	latencies []time.Duration
	settles   []time.Duration
	refused   atomic.Int64
	// lastRefusal is the time of the last rejected claim in nanoseconds since the start.
	lastRefusal atomic.Int64
}

// load sends claims and their endings at a rate per second for a duration.
func (s scheme) load(rate int, duration time.Duration) *measurements {
	var measured measurements
	var calls sync.WaitGroup
	start := time.Now()
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	for number := 0; time.Since(start) < duration; number++ {
		<-ticker.C
		calls.Go(func() { s.claimOnce(number%benchEntries, start, &measured) })
	}
	calls.Wait()
	return &measured
}

func (s scheme) claimOnce(entry int, start time.Time, measured *measurements) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	claimer, key, sent := s.claimer(entry), s.key(entry), time.Now()
	grant, err := claimer.Claim(ctx, claim.Request{Key: key, Claimant: "caller"})
	if err != nil {
		measured.refused.Add(1)
		measured.lastRefusal.Store(max(measured.lastRefusal.Load(), int64(time.Since(start))))
		return
	}
	measured.mu.Lock()
	measured.latencies = append(measured.latencies, time.Since(sent))
	measured.mu.Unlock()
	sent = time.Now()
	_ = claimer.Settle(ctx, grant, claim.Ending{State: claim.Answered})
	measured.mu.Lock()
	measured.settles = append(measured.settles, time.Since(sent))
	measured.mu.Unlock()
}

// quantile returns the quantile q of times in milliseconds.
func quantile(times []time.Duration, q float64) float64 {
	if len(times) == 0 {
		return math.NaN()
	}
	slices.Sort(times)
	return float64(times[int(q*float64(len(times)-1))]) / float64(time.Millisecond)
}

// benchSchemes returns the designs that the benchmarks compare.
func benchSchemes() []struct {
	name string
	make func() scheme
} {
	owners := func(partitions uint32, interval time.Duration) func() scheme {
		return func() scheme {
			return ownersScheme(claim.Options{Partitions: partitions, CommitInterval: interval})
		}
	}
	return []struct {
		name string
		make func() scheme
	}{
		{"per-call", perCallScheme},
		{"owners/partitions=8/interval=50ms", owners(8, 50*time.Millisecond)},
		{"owners/partitions=16/interval=100ms", owners(16, 100*time.Millisecond)},
		{"owners/partitions=32/interval=200ms", owners(32, 200*time.Millisecond)},
		{"issued", issuedScheme},
	}
}

func BenchmarkClaim(b *testing.B) {
	for _, kind := range benchSchemes() {
		for _, rate := range []int{20, 200, 650} {
			b.Run(fmt.Sprintf("%s/rate=%d", kind.name, rate), func(b *testing.B) {
				for range b.N {
					s := kind.make()
					s.load(100, time.Second) // the entries acquire their partitions
					before := s.writes()
					measured := s.load(rate, benchDuration)
					b.ReportMetric(float64(s.writes()-before)/benchDuration.Seconds(), "writes/s")
					b.ReportMetric(quantile(measured.latencies, 0.5), "p50-ms")
					b.ReportMetric(quantile(measured.latencies, 0.99), "p99-ms")
					b.ReportMetric(quantile(measured.settles, 0.5), "settle-p50-ms")
					b.ReportMetric(quantile(measured.settles, 0.99), "settle-p99-ms")
					b.ReportMetric(float64(measured.refused.Load()), "refused")
					s.close()
				}
			})
		}
	}
}

func BenchmarkOutage(b *testing.B) {
	for _, kind := range benchSchemes() {
		b.Run(kind.name, func(b *testing.B) {
			for range b.N {
				s := kind.make()
				s.load(100, time.Second)
				var faults sync.WaitGroup
				faults.Go(func() { s.outage() })
				measured := s.load(100, outageObserve)
				faults.Wait()
				answered := len(measured.latencies)
				b.ReportMetric(float64(measured.refused.Load()), "refused")
				b.ReportMetric(float64(answered), "granted")
				end := outageStart + outageDuration
				b.ReportMetric(max(0, time.Duration(measured.lastRefusal.Load())-end).Seconds(), "refused-after-outage-s")
				s.close()
			}
		})
	}
}

func (s scheme) outage() {
	<-time.After(outageStart)
	for _, store := range s.stores {
		store.SetDown(true)
	}
	<-time.After(outageDuration)
	for _, store := range s.stores {
		store.SetDown(false)
	}
}

// TestAlternativesGrantOnce checks that the alternatives also run a request at most once.
func TestAlternativesGrantOnce(t *testing.T) {
	ctx := context.Background()
	issuer := &Issuer{Epoch: 7}
	for name, test := range map[string]struct {
		claimer claim.Claimer
		key     claim.Key
	}{
		"per call": {PerCall{Store: memstore.New(nil)}, randomKey(0)},
		"issued":   {issuer, issuer.Issue()},
	} {
		request := claim.Request{Key: test.key, Claimant: "first"}
		first, err := test.claimer.Claim(ctx, request)
		require.NoError(t, err, name)
		require.Equal(t, claim.Granted, first.Verdict, name)
		request.Claimant = "second"
		second, err := test.claimer.Claim(ctx, request)
		require.NoError(t, err, name)
		require.Equal(t, claim.Taken, second.Verdict, name)
		require.NoError(t, test.claimer.Settle(ctx, first, claim.Ending{State: claim.NotRun}), name)
		third, err := test.claimer.Claim(ctx, request)
		require.NoError(t, err, name)
		require.Equal(t, claim.Granted, third.Verdict, name)
	}
	stale, err := issuer.Claim(ctx, claim.Request{Key: (&Issuer{Epoch: 6}).Issue()})
	require.NoError(t, err)
	require.Equal(t, claim.Ending{State: claim.Unknown}, stale.Prior)
}
