package exchange

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/peer/peerpb"
	"google.golang.org/protobuf/proto"
)

// Sizes of the benchmarks: entries and their replicas.
var benchSizes = []int{10, 50, 330}

const (
	benchRound       = 500 * time.Millisecond
	benchRoundPeers  = 2
	benchLargeFleet  = 64
	benchOld         = 1000
	benchClasses     = 6
	benchDigestEvery = 2 * time.Second
)

// bench is a fleet of states that swap wire-encoded news in one process.
type bench struct {
	states  []*State
	byID    map[string]*State
	now     time.Time
	random  *rand.Rand
	bytes   int64
	calls   int64
	digests bool
	// documents counts the messages that carried a class document.
	documents int64
}

func newBench(entries int) *bench {
	b := &bench{byID: map[string]*State{}, now: epoch, random: rand.New(rand.NewPCG(1, 2))}
	for i := range entries {
		s := NewState(Options{ID: fmt.Sprintf("entry-%03d", i), Address: fmt.Sprintf("10.0.%d.%d:7100", i/250, i%250), FailureDomain: "larissa", Incarnation: epoch.UnixMilli()})
		b.states = append(b.states, s)
		b.byID[s.self.Id] = s
	}
	for _, s := range b.states {
		for _, other := range b.states {
			s.mergeMember(b.now, proto.Clone(other.self).(*peerpb.PeerSeen))
		}
		for _, item := range s.members.byKey {
			item.sent = benchOld // who is there is no news
		}
	}
	return b
}

func (b *bench) send(to *State, news *peerpb.News) *peerpb.News {
	data, _ := proto.Marshal(news)
	b.bytes += int64(len(data))
	if len(news.Config) > 0 {
		b.documents++
	}
	var received peerpb.News
	_ = proto.Unmarshal(data, &received)
	if config, _ := to.Receive(b.now, &received); config != nil {
		to.SetConfig(config.Revision, config.Data)
	}
	return &received
}

// round lets each entry exchange with its random peers.
func (b *bench) round() {
	b.now = b.now.Add(benchRound)
	for i, s := range b.states {
		s.Tick(b.now)
		if b.digests && int(b.now.Sub(epoch)/benchRound)%b.digestRounds() == i%b.digestRounds() {
			for class := range benchClasses {
				s.SetDigest(b.now, &peerpb.ClassDigest{Class: fmt.Sprint("class-", class), Sequence: b.now.UnixMilli(), Answered: 12345, InTime: 12300, P50Ms: 40, P99Ms: 700, WindowMs: 60000})
			}
		}
		for _, target := range s.Targets(b.now, b.roundPeers(), b.random) {
			to := b.byID[target.ID]
			received := b.send(to, s.Request(b.now, target))
			reply := b.send(s, to.Reply(b.now, received))
			if reply.ConfigRevision < s.config.revision {
				target.Behind = true
				b.send(to, s.Request(b.now, target))
			}
			b.calls++
		}
	}
}

// roundPeers is how many peers a round goes to, as in the control goroutine.
func (b *bench) roundPeers() int {
	if len(b.states) > benchLargeFleet {
		return benchRoundPeers / 2
	}
	return benchRoundPeers
}

// digestRounds is the number of rounds between two digests of an entry.
func (b *bench) digestRounds() int {
	every := benchDigestEvery + time.Duration(len(b.states))*100*time.Millisecond
	return int(every / benchRound)
}

// BenchmarkRound gives, for one entry, the processor time and the bytes of
// bodies a second that it sends and receives.
func BenchmarkRound(b *testing.B) {
	for _, entries := range benchSizes {
		b.Run(fmt.Sprint("entries=", entries), func(b *testing.B) {
			fleet := newBench(entries)
			fleet.digests = true
			for range 20 {
				fleet.round()
			}
			fleet.bytes, fleet.calls = 0, 0
			b.ResetTimer()
			for range b.N {
				fleet.round()
			}
			perEntry := float64(b.N * entries)
			rounds := float64(time.Second / benchRound)
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/perEntry*rounds/1e3, "us/entry/s")
			// Each byte is sent by one entry and received by another.
			b.ReportMetric(float64(fleet.bytes)/perEntry*rounds, "body-B-sent/entry/s")
			b.ReportMetric(float64(fleet.bytes)/float64(2*fleet.calls), "B/message")
		})
	}
}

// BenchmarkSpread counts the rounds until every entry knows one thing.
func BenchmarkSpread(b *testing.B) {
	for _, entries := range benchSizes {
		b.Run(fmt.Sprint("entries=", entries), func(b *testing.B) {
			var leaving, config, slowest int
			var documents int64
			for i := range b.N {
				fleet := newBench(entries)
				fleet.random = rand.New(rand.NewPCG(uint64(i), 2))
				fleet.states[0].EndpointLeaves("replica", fleet.now)
				fleet.states[0].SetConfig(1, make([]byte, 1000))
				rounds := fleet.until(func(s *State) bool { return s.leaving.len() == 1 })
				leaving += rounds
				slowest = max(slowest, rounds)
				config += rounds + fleet.until(func(s *State) bool { return s.config.revision == 1 })
				for range 10 {
					fleet.round()
				}
				documents += fleet.documents
			}
			b.ReportMetric(float64(documents)/float64(b.N*entries), "documents/entry")
			b.ReportMetric(float64(leaving)/float64(b.N), "rounds-leaving")
			b.ReportMetric(float64(slowest), "rounds-leaving-max")
			b.ReportMetric(float64(config)/float64(b.N), "rounds-config-at-most")
		})
	}
}

func (b *bench) until(knows func(*State) bool) int {
	for rounds := 0; ; rounds++ {
		all := true
		for _, s := range b.states {
			all = all && knows(s)
		}
		if all {
			return rounds
		}
		b.round()
	}
}

// BenchmarkBytesHeld gives the memory of one state for each peer, leaving
// endpoint and digest that it knows.
func BenchmarkBytesHeld(b *testing.B) {
	fill := map[string]func(*State, int){
		"peer": func(s *State, i int) {
			s.mergeMember(epoch, &peerpb.PeerSeen{Id: fmt.Sprint("entry-", i), Address: fmt.Sprint("10.0.0.1:", i), FailureDomain: "larissa", Incarnation: 1})
		},
		"leaving": func(s *State, i int) { s.EndpointLeaves(fmt.Sprint("replica-", i), epoch) },
		"digest": func(s *State, i int) {
			s.mergeDigest(epoch, &peerpb.ClassDigest{Entry: fmt.Sprint("entry-", i), Class: "lookups", Sequence: 1})
		},
	}
	for what, add := range fill {
		for _, count := range []int{100, 1000, 4000} {
			b.Run(fmt.Sprintf("%s=%d", what, count), func(b *testing.B) {
				for range b.N {
					before := heapBytes()
					s := NewState(Options{ID: "entry"})
					for i := range count {
						add(s, i)
					}
					b.ReportMetric(float64(heapBytes()-before)/float64(count), "B/item")
					runtime.KeepAlive(s)
				}
			})
		}
	}
}

func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
	read, written *atomic.Int64
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// replier answers every exchange with the same news.
type replier struct {
	peerpb.Peer
	reply *peerpb.News
}

func (r replier) Exchange(context.Context, *peerpb.News) (*peerpb.News, error) {
	return r.reply, nil
}

// BenchmarkTwirp gives what one exchange costs over HTTP on loopback, both
// sides together, beyond its bodies.
func BenchmarkTwirp(b *testing.B) {
	fleet := newBench(10)
	request := fleet.states[0].Request(epoch, fleet.states[1].Self())
	reply := fleet.states[1].Reply(epoch, request)
	server := httptest.NewServer(peerpb.NewPeerServer(replier{reply: reply}))
	defer server.Close()
	var read, written atomic.Int64
	transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return countedConn{Conn: conn, read: &read, written: &written}, err
	}}
	caller := NewHTTPCaller(&http.Client{Transport: transport})
	for b.Loop() {
		if _, err := caller.Exchange(b.Context(), server.Listener.Addr().String(), request); err != nil {
			b.Fatal(err)
		}
	}
	transport.CloseIdleConnections()
	b.ReportMetric(float64(written.Load())/float64(b.N)-float64(proto.Size(request)), "request-head-B")
	b.ReportMetric(float64(read.Load())/float64(b.N)-float64(proto.Size(reply)), "reply-head-B")
}
