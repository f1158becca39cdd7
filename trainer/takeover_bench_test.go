package trainer_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/control"
	"github.com/comfreyfront/comfreyfront/internal/keyvalue/memstore"
	"github.com/comfreyfront/comfreyfront/internal/ownership"
	"github.com/comfreyfront/comfreyfront/internal/peer/peerpb"
	"github.com/comfreyfront/comfreyfront/internal/step"
	"github.com/comfreyfront/comfreyfront/trainer"
)

// node is one entry of an in-process cluster. Killing it disconnects it
// permanently.
type node struct {
	id       string
	service  *step.Service
	server   *httptest.Server
	stop     context.CancelFunc
	killed   atomic.Bool
	killedAt atomic.Int64 // Unix time in nanoseconds
}

// cluster consists of entries that share one store. It acts as the balancer in
// front of them.
type cluster struct {
	nodes []*node
	next  atomic.Int64
	group sync.WaitGroup
}

// detectionDelay is the time after which other entries consider a killed entry
// failed.
const detectionDelay = 3 * time.Second

var errKilled = errors.New("the entry was killed")

func newCluster(b *testing.B, size int) *cluster {
	c := &cluster{}
	store := memstore.New(nil)
	for i := range size {
		ctx, stop := context.WithCancel(context.Background())
		n := &node{id: fmt.Sprint(i), stop: stop}
		owner := ownership.New(store.View(), n.id, ownership.Options{}, slog.New(slog.DiscardHandler))
		c.group.Go(func() { _ = owner.Run(ctx) })
		n.service = step.NewService(step.Options{Owner: owner, Generator: instantGenerator{}, Alive: c.alive})
		n.server = httptest.NewServer(step.NewRouter(step.RouterOptions{
			Service: n.service, Self: n.id, Peers: c.peers, Rank: ownership.Rank,
			Dial: func(p control.Peer) peerpb.Peer { return &remotePeer{cluster: c, id: p.ID} },
		}))
		c.nodes = append(c.nodes, n)
	}
	b.Cleanup(c.close)
	return c
}

// alive reports whether other entries still consider an entry alive. They detect
// its failure only after detectionDelay.
func (c *cluster) alive(id string) bool {
	for _, n := range c.nodes {
		if n.id == id {
			killedAt := n.killedAt.Load()
			return killedAt == 0 || time.Since(time.Unix(0, killedAt)) < detectionDelay
		}
	}
	return false
}

// peers returns the entries that the balancer and other entries can reach.
func (c *cluster) peers() []control.Peer {
	var peers []control.Peer
	for _, n := range c.nodes {
		if !n.killed.Load() {
			peers = append(peers, control.Peer{ID: n.id})
		}
	}
	return peers
}

func (c *cluster) close() {
	for _, n := range c.nodes {
		n.stop()
		n.server.Close()
		_ = n.service.Drain(context.Background())
	}
	c.group.Wait()
}

// kill disconnects the unit's owner without releasing its lease, so that the lease
// must expire before another entry can take over.
func (c *cluster) kill(unit string) {
	for _, n := range c.nodes {
		if n.service.Owns(unit) {
			n.killedAt.Store(time.Now().UnixNano())
			n.killed.Store(true)
			n.stop()
			n.server.CloseClientConnections()
		}
	}
}

// remotePeer calls another entry of the cluster.
type remotePeer struct {
	peerpb.Peer
	cluster *cluster
	id      string
}

func (r *remotePeer) Step(ctx context.Context, call *peerpb.StepCall) (*peerpb.StepResult, error) {
	for _, n := range r.cluster.nodes {
		if n.id == r.id && !n.killed.Load() {
			return n.service.Call(ctx, call), nil
		}
	}
	return nil, errKilled
}

// RoundTrip implements http.RoundTripper. It sends the request to the next entry
// that can be reached, as the balancer does.
func (c *cluster) RoundTrip(req *http.Request) (*http.Response, error) {
	peers := c.peers()
	n := c.nodes[0]
	for _, candidate := range c.nodes {
		if candidate.id == peers[int(c.next.Add(1))%len(peers)].ID {
			n = candidate
		}
	}
	req.URL.Host = strings.TrimPrefix(n.server.URL, "http://")
	return http.DefaultTransport.RoundTrip(req)
}

// BenchmarkOwnerDeath measures the longest time without a sample when a step's
// owner is killed after half of the samples, with the default lease.
func BenchmarkOwnerDeath(b *testing.B) {
	for _, samples := range []int{1024, 4096, 16384} {
		b.Run(fmt.Sprintf("samples=%d", samples), func(b *testing.B) {
			var total time.Duration
			for range b.N {
				total += measureGap(b, samples)
			}
			b.ReportMetric(total.Seconds()/float64(b.N), "s/gap")
		})
	}
}

func measureGap(b *testing.B, samples int) time.Duration {
	c := newCluster(b, 3)
	largeSpec := trainer.Spec{Trainer: "t", Step: 1, Model: "m", Class: "c", WeightVersion: 3, Staleness: 1}
	for range samples / 16 {
		largeSpec.Groups = append(largeSpec.Groups, trainer.Group{Prompt: strings.Repeat("p", 2048), Size: 16, MaxTokens: 1024})
	}
	client := trainer.New(trainer.Options{URL: "http://balancer", HTTPClient: &http.Client{Transport: c}, MaxSamples: 64, Wait: time.Second})
	var gap time.Duration
	received, last := 0, time.Now()
	err := client.Run(b.Context(), largeSpec, func(trainer.Sample) error {
		gap = max(gap, time.Since(last))
		last = time.Now()
		if received++; received == samples/2 {
			c.kill(step.UnitOf(largeSpec.Trainer, largeSpec.Step))
		}
		return nil
	})
	require.NoError(b, err)
	require.Equal(b, samples, received)
	return gap
}
