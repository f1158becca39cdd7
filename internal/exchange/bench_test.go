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

// benchSizes lists the numbers of entries in the benchmarks.
var benchSizes = []int{10, 50, 330}

const (
	benchRound       = 500 * time.Millisecond
	benchRoundPeers  = 2
	benchLargeFleet  = 64
	benchSentBefore  = 1000
	benchClasses     = 6
	benchDigestEvery = 2 * time.Second
)

// benchFleet is a fleet of states that exchange wire-encoded news in one process.
type benchFleet struct {
	states  []*State
	byID    map[string]*State
	now     time.Time
	random  *rand.Rand
	bytes   int64
	calls   int64
	digests bool
	// documents counts the messages that contained a class document.
	documents int64
}

func newBenchFleet(entries int) *benchFleet {
	b := &benchFleet{byID: map[string]*State{}, now: epoch, random: rand.New(rand.NewPCG(1, 2))}
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
			item.sent = benchSentBefore // membership news is not fresh at the start
		}
	}
	return b
}

func (b *benchFleet) send(to *State, news *peerpb.News) *peerpb.News {
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

// round makes each entry exchange news with its targets.
func (b *benchFleet) round() {
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

// roundPeers returns the number of peers in a round, as in the control goroutine.
func (b *benchFleet) roundPeers() int {
	if len(b.states) > benchLargeFleet {
		return benchRoundPeers / 2
	}
	return benchRoundPeers
}

// digestRounds returns the number of rounds between two digests of an entry.
func (b *benchFleet) digestRounds() int {
	every := benchDigestEvery + time.Duration(len(b.states))*100*time.Millisecond
	return int(every / benchRound)
}

// BenchmarkRound reports the CPU time per entry and second, and the bytes of message
// bodies that an entry sends.
func BenchmarkRound(b *testing.B) {
	for _, entries := range benchSizes {
		b.Run(fmt.Sprint("entries=", entries), func(b *testing.B) {
			fleet := newBenchFleet(entries)
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

// BenchmarkSpread reports the number of rounds until every entry knows of a leaving
// endpoint and a class document.
func BenchmarkSpread(b *testing.B) {
	for _, entries := range benchSizes {
		b.Run(fmt.Sprint("entries=", entries), func(b *testing.B) {
			var leaving, config, slowest int
			var documents int64
			for i := range b.N {
				fleet := newBenchFleet(entries)
				fleet.random = rand.New(rand.NewPCG(uint64(i), 2))
				fleet.states[0].EndpointLeaves("replica", fleet.now)
				fleet.states[0].SetConfig(1, make([]byte, 1000))
				rounds := fleet.roundsUntil(func(s *State) bool { return s.leaving.len() == 1 })
				leaving += rounds
				slowest = max(slowest, rounds)
				config += rounds + fleet.roundsUntil(func(s *State) bool { return s.config.revision == 1 })
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

func (b *benchFleet) roundsUntil(knows func(*State) bool) int {
	for rounds := 0; ; rounds++ {
		allKnow := true
		for _, s := range b.states {
			allKnow = allKnow && knows(s)
		}
		if allKnow {
			return rounds
		}
		b.round()
	}
}

// BenchmarkStateMemory reports the memory of a state per known peer, leaving endpoint
// and digest.
func BenchmarkStateMemory(b *testing.B) {
	fill := map[string]func(*State, int){
		"peer": func(s *State, i int) {
			s.mergeMember(epoch, &peerpb.PeerSeen{Id: fmt.Sprint("entry-", i), Address: fmt.Sprint("10.0.0.1:", i), FailureDomain: "larissa", Incarnation: 1})
		},
		"leaving": func(s *State, i int) { s.EndpointLeaves(fmt.Sprint("replica-", i), epoch) },
		"digest": func(s *State, i int) {
			s.mergeDigest(epoch, &peerpb.ClassDigest{Entry: fmt.Sprint("entry-", i), Class: "lookups", Sequence: 1})
		},
	}
	for kind, add := range fill {
		for _, count := range []int{100, 1000, 4000} {
			b.Run(fmt.Sprintf("%s=%d", kind, count), func(b *testing.B) {
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

// countingConn counts the bytes of a connection.
type countingConn struct {
	net.Conn
	read, written *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// fixedReplier answers every exchange with the same news.
type fixedReplier struct {
	peerpb.Peer
	reply *peerpb.News
}

func (r fixedReplier) Exchange(context.Context, *peerpb.News) (*peerpb.News, error) {
	return r.reply, nil
}

// BenchmarkTwirp measures the client and server side of one exchange over HTTP on loopback,
// and reports the bytes sent in addition to the message bodies.
func BenchmarkTwirp(b *testing.B) {
	fleet := newBenchFleet(10)
	request := fleet.states[0].Request(epoch, fleet.states[1].Self())
	reply := fleet.states[1].Reply(epoch, request)
	server := httptest.NewServer(peerpb.NewPeerServer(fixedReplier{reply: reply}))
	defer server.Close()
	var read, written atomic.Int64
	transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return countingConn{Conn: conn, read: &read, written: &written}, err
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
