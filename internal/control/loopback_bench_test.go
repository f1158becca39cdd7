package control

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/config"
	"github.com/comfreyfront/comfreyfront/internal/engine"
	"github.com/comfreyfront/comfreyfront/internal/exchange"
	"github.com/comfreyfront/comfreyfront/internal/keyvalue"
	"github.com/comfreyfront/comfreyfront/internal/keyvalue/memstore"
	"github.com/comfreyfront/comfreyfront/internal/peer/peerpb"
)

// loopback runs several entries in one process that communicate over loopback.
type loopback struct {
	instances []keyvalue.Instance
	bytes     atomic.Int64 // sent and received by the entries' clients
}

func (l *loopback) Instances(context.Context) ([]keyvalue.Instance, error) {
	return l.instances, nil
}

// peerHandler serves Exchange and none of the other calls.
type peerHandler struct {
	peerpb.Peer
	manager *Manager
}

func (p peerHandler) Exchange(ctx context.Context, news *peerpb.News) (*peerpb.News, error) {
	return p.manager.Exchange(ctx, news)
}

// countingConn counts the bytes of a connection.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (l *loopback) client() *http.Client {
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return countingConn{Conn: conn, bytes: &l.bytes}, err
	}
	return &http.Client{Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 2, DisableCompression: true}}
}

// entry starts one entry at the address of its own test server.
func (l *loopback) entry(ctx context.Context, b *testing.B, i int, store keyvalue.Store, loads LoadReader, group *sync.WaitGroup) {
	server := httptest.NewUnstartedServer(nil)
	address := server.Listener.Addr().String()
	id := fmt.Sprintf("entry-%03d", i)
	discard := slog.New(slog.DiscardHandler)
	m := New(Options{
		ID: id, Address: address, FailureDomain: "larissa", Region: "greece", Snapshots: &Snapshots{}, List: l,
		Config: config.NewStore(store, config.Options{}, discard), Peers: exchange.NewHTTPCaller(l.client()), Loads: loads,
	}, discard, nil)
	server.Config.Handler = peerpb.NewPeerServer(peerHandler{manager: m})
	server.Start()
	b.Cleanup(server.Close)
	l.instances = append(l.instances, keyvalue.Instance{ID: id, Kind: keyvalue.KindEntry, Address: address})
	group.Go(func() { _ = m.Run(ctx) })
}

// emptyLoads returns an empty load report without a network call.
type emptyLoads struct{}

func (emptyLoads) Load(context.Context, string) (engine.LoadReport, error) {
	return engine.LoadReport{}, nil
}

// BenchmarkLoopback measures the traffic and CPU time of the control layer per entry
// over real connections: with the exchange only, and with reads of the load reports of
// 13 endpoints.
func BenchmarkLoopback(b *testing.B) {
	const endpoints, settle, measured = 13, 5 * time.Second, 5 * time.Second
	engines := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(engine.LoadReport{Running: 3, Slots: 8, WeightVersion: 7, ReportedAt: time.Now()})
	}))
	defer engines.Close()
	for _, entries := range []int{6, 10, 50} {
		for _, loads := range []bool{false, true} {
			b.Run(fmt.Sprintf("entries=%d/loads=%t", entries, loads), func(b *testing.B) {
				ctx, cancel := context.WithCancel(b.Context())
				var group sync.WaitGroup
				l := &loopback{}
				if loads {
					for i := range endpoints {
						l.instances = append(l.instances, replica(i))
						l.instances[i].Address = engines.Listener.Addr().String()
					}
				}
				store := memstore.New(nil)
				for i := range entries {
					l.entry(ctx, b, i, store, l.loads(loads), &group)
				}
				<-time.After(settle)
				bytes, cpu := l.bytes.Load(), processorTime()
				<-time.After(measured)
				perEntry := measured.Seconds() * float64(entries)
				b.ReportMetric(float64(l.bytes.Load()-bytes)/perEntry, "client-B/entry/s")
				b.ReportMetric((processorTime()-cpu).Seconds()*1e3/perEntry, "cpu-ms/entry/s")
				cancel()
				group.Wait()
			})
		}
	}
}

func (l *loopback) loads(real bool) LoadReader {
	if real {
		return NewHTTPLoads(l.client())
	}
	return emptyLoads{}
}

// processorTime returns the CPU time that this process has used so far.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
