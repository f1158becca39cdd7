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

// node is one entry of a cluster in this process; it can be cut off for good.
type node struct {
	id      string
	service *step.Service
	server  *httptest.Server
	stop    context.CancelFunc
	dead    atomic.Bool
	died    atomic.Int64 // Unix time in nanoseconds
}

// cluster is a few entries on one store, and the balancer before them.
type cluster struct {
	nodes []*node
	next  atomic.Int64
	group sync.WaitGroup
}

// suspicion is how long after its death others take an entry for dead.
const suspicion = 3 * time.Second

var errDead = errors.New("the entry is dead")

func newCluster(b *testing.B, size int) *cluster {
	c := &cluster{}
	store := memstore.New(nil)
	for i := range size {
		ctx, stop := context.WithCancel(context.Background())
		n := &node{id: fmt.Sprint(i), stop: stop}
		owner := ownership.New(store.View(), n.id, ownership.Options{}, slog.New(slog.DiscardHandler))
		c.group.Go(func() { _ = owner.Run(ctx) })
		n.service = step.NewService(step.Options{Owner: owner, Generator: instant{}, Alive: c.alive})
		n.server = httptest.NewServer(step.NewRouter(step.RouterOptions{
			Service: n.service, Self: n.id, Peers: c.peers, Rank: ownership.Rank,
			Dial: func(p control.Peer) peerpb.Peer { return &remote{cluster: c, id: p.ID} },
		}))
		c.nodes = append(c.nodes, n)
	}
	b.Cleanup(c.close)
	return c
}

// alive is what entries believe of one another: they hear of a death late.
func (c *cluster) alive(id string) bool {
	for _, n := range c.nodes {
		if n.id == id {
			died := n.died.Load()
			return died == 0 || time.Since(time.Unix(0, died)) < suspicion
		}
	}
	return false
}

// peers lists the entries that the balancer and others reach.
func (c *cluster) peers() []control.Peer {
	var peers []control.Peer
	for _, n := range c.nodes {
		if !n.dead.Load() {
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

// kill cuts the owner off without a word: its lease has to lapse.
func (c *cluster) kill(unit string) {
	for _, n := range c.nodes {
		if n.service.Owns(unit) {
			n.died.Store(time.Now().UnixNano())
			n.dead.Store(true)
			n.stop()
			n.server.CloseClientConnections()
		}
	}
}

// remote reaches another entry.
type remote struct {
	peerpb.Peer
	cluster *cluster
	id      string
}

func (r *remote) Step(ctx context.Context, call *peerpb.StepCall) (*peerpb.StepResult, error) {
	for _, n := range r.cluster.nodes {
		if n.id == r.id && !n.dead.Load() {
			return n.service.Call(ctx, call), nil
		}
	}
	return nil, errDead
}

// RoundTrip implements http.RoundTripper as the balancer does.
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

// BenchmarkOwnerDeath is the longest time without a sample when a step's owner
// dies without a word halfway, with the standard lease.
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
	long := trainer.Spec{Trainer: "t", Step: 1, Model: "m", Class: "c", WeightVersion: 3, Staleness: 1}
	for range samples / 16 {
		long.Groups = append(long.Groups, trainer.Group{Prompt: strings.Repeat("p", 2048), Size: 16, MaxTokens: 1024})
	}
	client := trainer.New(trainer.Options{URL: "http://balancer", HTTPClient: &http.Client{Transport: c}, MaxSamples: 64, Wait: time.Second})
	var gap time.Duration
	taken, last := 0, time.Now()
	err := client.Run(b.Context(), long, func(trainer.Sample) error {
		gap = max(gap, time.Since(last))
		last = time.Now()
		if taken++; taken == samples/2 {
			c.kill(step.UnitOf(long.Trainer, long.Step))
		}
		return nil
	})
	require.NoError(b, err)
	require.Equal(b, samples, taken)
	return gap
}
