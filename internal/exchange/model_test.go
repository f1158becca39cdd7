package exchange

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/peer/peerpb"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "60")
	os.Exit(m.Run())
}

var epoch = time.Unix(1_800_000_000, 0)

func seenRecords() *rapid.Generator[*peerpb.PeerSeen] {
	return rapid.Custom(func(t *rapid.T) *peerpb.PeerSeen {
		return &peerpb.PeerSeen{
			Id: "e", Address: "a", Incarnation: rapid.Int64Range(1, 3).Draw(t, "incarnation"), Heartbeat: rapid.Int64Range(1, 3).Draw(t, "heartbeat"),
			Suspected: rapid.Bool().Draw(t, "suspected"), Leaving: rapid.Bool().Draw(t, "leaving"), ConfigRevision: rapid.Int64Range(0, 2).Draw(t, "revision"),
		}
	})
}

func TestJoinIsCommutativeAssociativeIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := seenRecords().Draw(t, "a"), seenRecords().Draw(t, "b"), seenRecords().Draw(t, "c")
		equalMessages(t, join(join(a, b), c), join(a, join(b, c)))
		equalMessages(t, join(a, b), join(b, a))
		equalMessages(t, join(a, a), a)
		equalMessages(t, join(join(a, b), b), join(a, b))
	})
}

func equalMessages(t *rapid.T, a, b proto.Message) {
	require.True(t, proto.Equal(a, b), "%v\n%v", a, b)
}

// network simulates entries and the links between them. The maps and counters are the
// oracle: the state that every entry must reach in the end.
type network struct {
	now         time.Time
	states      []*State
	partitioned bool // entries with odd and even numbers cannot reach each other
	delayed     []*peerpb.News
	leaving     map[string]int64
	versions    map[string]*peerpb.ModelVersion
	outliers    map[string]*peerpb.Outlier
	digests     map[string]int64
	revision    int64
	sequence    int64
}

func newNetwork(entries int) *network {
	n := &network{now: epoch, leaving: map[string]int64{}, versions: map[string]*peerpb.ModelVersion{}, outliers: map[string]*peerpb.Outlier{}, digests: map[string]int64{}}
	for i := range entries {
		id := fmt.Sprint("entry", i)
		n.states = append(n.states, NewState(Options{ID: id, Address: id, Incarnation: 1, BodyBudget: 300, IdleBudget: 200}))
	}
	for _, s := range n.states[1:] {
		n.exchange(s, n.states[0])
	}
	return n
}

// deliver passes a copy of a message to an entry, which adopts any class document in it.
func (n *network) deliver(to *State, news *peerpb.News) {
	config, err := to.Receive(n.now, proto.Clone(news).(*peerpb.News))
	if err != nil {
		panic(err)
	}
	if config != nil {
		to.SetConfig(config.Revision, config.Data)
	}
}

func (n *network) exchange(from, to *State) {
	request := from.Request(n.now, to.Self())
	n.deliver(to, request)
	reply := to.Reply(n.now, request)
	n.deliver(from, reply)
	if reply.ConfigRevision < from.config.revision {
		n.deliver(to, from.Request(n.now, Member{ID: to.self.Id, Behind: true}))
	}
}

func (n *network) reaches(i, j int) bool {
	return i != j && (!n.partitioned || i%2 == j%2)
}

func (n *network) actions() map[string]func(*rapid.T) {
	entry := func(t *rapid.T) int { return rapid.IntRange(0, len(n.states)-1).Draw(t, "entry") }
	return map[string]func(*rapid.T){
		"leaving": func(t *rapid.T) {
			id := rapid.SampledFrom([]string{"p", "q", "r", "s"}).Draw(t, "endpoint")
			s := n.states[entry(t)]
			if rapid.Bool().Draw(t, "again") {
				s.EndpointLeavesAgain(id, n.now)
			} else {
				s.EndpointLeaves(id, n.now)
			}
			record, _ := s.leaving.get(id)
			n.leaving[id] = max(n.leaving[id], record.term)
		},
		"version": func(t *rapid.T) {
			model, newest := rapid.SampledFrom([]string{"m", "n"}).Draw(t, "model"), rapid.Int64Range(1, 9).Draw(t, "newest")
			floor := rapid.Int64Range(0, newest).Draw(t, "floor")
			n.states[entry(t)].SetVersion(model, newest, floor)
			old := n.versions[model]
			n.versions[model] = &peerpb.ModelVersion{Model: model, Newest: max(newest, old.GetNewest()), Floor: max(floor, old.GetFloor())}
		},
		"judge": func(t *rapid.T) {
			s, id, sequence := n.states[entry(t)], rapid.SampledFrom([]string{"p", "q"}).Draw(t, "endpoint"), rapid.Int64Range(1, 9).Draw(t, "sequence")
			s.SetDemotion(n.now, id, 0.5, sequence)
			demoted := &peerpb.Outlier{Endpoint: id, Entry: s.self.Id, Sequence: sequence, Demotion: 500}
			if old, exists := n.outliers[id]; !exists || supersedes(demoted, old) {
				n.outliers[id] = demoted
			}
		},
		"digest": func(t *rapid.T) {
			s := n.states[entry(t)]
			n.sequence++
			s.SetDigest(n.now, &peerpb.ClassDigest{Class: "lookups", Sequence: n.sequence, Answered: 3})
			n.digests[s.self.Id] = n.sequence
		},
		"config": func(t *rapid.T) {
			n.revision++
			n.states[entry(t)].SetConfig(n.revision, fmt.Append(nil, "revision ", n.revision))
		},
		"suspect": func(t *rapid.T) {
			s, id := n.states[entry(t)], fmt.Sprint("entry", entry(t))
			s.Failed(n.now, id)
			s.Failed(n.now, id)
		},
		"part":  func(*rapid.T) { n.partitioned = true },
		"heal":  func(*rapid.T) { n.partitioned = false },
		"later": func(*rapid.T) { n.now = n.now.Add(10 * time.Millisecond) },
		"swap":  func(t *rapid.T) { n.exchangeWithFaults(t, entry(t), entry(t)) },
	}
}

// exchangeWithFaults exchanges news, and may lose, duplicate or delay messages.
func (n *network) exchangeWithFaults(t *rapid.T, i, j int) {
	if !n.reaches(i, j) {
		return
	}
	from, to := n.states[i], n.states[j]
	from.Tick(n.now)
	request := from.Request(n.now, to.Self())
	switch rapid.IntRange(0, 4).Draw(t, "fate") {
	case 0:
		n.exchange(from, to)
	case 1: // the request is lost
	case 2: // the reply is lost
		n.deliver(to, request)
		to.Reply(n.now, request)
	case 3: // the request is delivered twice
		n.deliver(to, request)
		n.deliver(to, request)
		n.deliver(from, to.Reply(n.now, request))
	case 4: // the request is delivered later, possibly out of order and to another entry
		n.delayed = append(n.delayed, request)
	}
}

func (n *network) settle(random *rand.Rand) {
	n.partitioned = false
	random.Shuffle(len(n.delayed), func(i, j int) { n.delayed[i], n.delayed[j] = n.delayed[j], n.delayed[i] })
	for _, news := range n.delayed {
		n.deliver(n.states[random.IntN(len(n.states))], news)
	}
	for range 60 {
		for i, s := range n.states {
			s.Tick(n.now)
			if j := random.IntN(len(n.states)); j != i {
				n.exchange(s, n.states[j])
			}
		}
	}
}

func (n *network) check(t *rapid.T) {
	for _, s := range n.states {
		require.Equal(t, n.revision, s.config.revision)
		require.Len(t, s.Live(n.now), len(n.states)-1, "every suspected entry refutes the suspicion")
		for _, m := range s.Live(n.now) {
			require.False(t, m.Suspected)
		}
		require.Equal(t, len(n.leaving), s.leaving.len())
		for id, term := range n.leaving {
			record, known := s.leaving.get(id)
			require.True(t, known)
			require.Equal(t, term, record.term)
		}
		for model, want := range n.versions {
			got, _ := s.versions.get(model)
			equalMessages(t, want, got)
		}
		for id, want := range n.outliers {
			got, _ := s.outliers.get(id)
			require.Equal(t, want.Sequence, got.news.Sequence)
			require.Equal(t, want.Entry, got.news.Entry)
		}
		for entry, sequence := range n.digests {
			got, _ := s.digests.get(entry + "\x00lookups")
			require.Equal(t, sequence, got.news.GetSequence())
		}
	}
}

// TestNewsConvergesAgainstOracle draws changes, lost, duplicated and delayed messages
// and partitions, then heals the network and compares every entry with the oracle.
func TestNewsConvergesAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(rapid.IntRange(2, 7).Draw(t, "entries"))
		t.Repeat(n.actions())
		n.settle(rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "seed"))))
		n.check(t)
	})
}

func TestMessagesStayWithinBudget(t *testing.T) {
	s := NewState(Options{ID: "entry0", Address: "10.0.0.1:7000", Incarnation: 1})
	for i := range 400 {
		id := fmt.Sprint("entry", i+1)
		s.mergeMember(epoch, &peerpb.PeerSeen{Id: id, Address: "10.0.0.2:7000", FailureDomain: "volos", Incarnation: 1, Heartbeat: 1})
		s.EndpointLeaves(fmt.Sprint("replica", i), epoch)
	}
	for range 50 {
		news := s.Request(epoch, Member{ID: "entry1"})
		require.LessOrEqual(t, proto.Size(news), defaultBodyBudget)
		require.NotEmpty(t, news.Leaving)
	}
}

func TestDocumentIsSentOnlyToPeersBehind(t *testing.T) {
	n := newNetwork(3)
	a, b := n.states[0], n.states[1]
	a.SetConfig(1, []byte("document"))
	request := a.Request(n.now, b.Self())
	require.Empty(t, request.Config, "not sent to a peer that is not known to be behind")
	require.NotEmpty(t, a.Reply(n.now, b.Request(n.now, a.Self())).Config)
	n.exchange(a, b)
	require.EqualValues(t, 1, b.config.revision)
	require.Empty(t, a.Reply(n.now, b.Request(n.now, a.Self())).Config)
}

func TestUnresponsiveMemberIsSuspectedThenDead(t *testing.T) {
	n := newNetwork(3)
	a, b := n.states[0], n.states[1]
	n.exchange(a, b)
	a.Failed(n.now, "entry2")
	require.Len(t, a.Live(n.now), 2)
	require.False(t, a.Live(n.now)[1].Suspected, "one failure is not enough")
	a.Failed(n.now, "entry2")
	require.True(t, a.Live(n.now)[1].Suspected)
	n.exchange(a, b)
	n.now = n.now.Add(defaultSuspicionTime)
	require.Len(t, a.Live(n.now), 1)
	require.Len(t, b.Live(n.now), 1)
	n.exchange(n.states[2], a) // it was slow but alive
	require.Len(t, a.Live(n.now), 2)
}

func TestRestartedEntryReplacesItsPreviousIncarnation(t *testing.T) {
	n := newNetwork(2)
	n.states[1].Leave()
	n.exchange(n.states[1], n.states[0])
	require.Empty(t, n.states[0].Live(n.now))
	// The entry restarts with a clock that is behind, so its incarnation does not increase.
	n.states[1] = NewState(Options{ID: "entry1", Address: "entry1", Incarnation: 1})
	for range 3 {
		n.exchange(n.states[1], n.states[0])
	}
	require.Len(t, n.states[0].Live(n.now), 1)
	require.EqualValues(t, 2, n.states[0].Live(n.now)[0].Incarnation)
}

func TestExpiredNewsDoesNotReturn(t *testing.T) {
	n := newNetwork(2)
	a, b := n.states[0], n.states[1]
	a.EndpointLeaves("replica", n.now)
	a.SetDigest(n.now, &peerpb.ClassDigest{Class: "lookups", Sequence: 1})
	for range 2000 {
		n.now = n.now.Add(time.Second)
		a.Tick(n.now)
		b.Tick(n.now)
		n.exchange(a, b)
	}
	for _, s := range n.states {
		require.Zero(t, s.leaving.len())
		require.Zero(t, s.digests.len())
	}
}

func FuzzReceive(f *testing.F) {
	n := newNetwork(3)
	n.states[0].EndpointLeaves("replica", epoch)
	n.states[0].SetVersion("m", 3, 2)
	n.states[0].SetDemotion(epoch, "replica", 0.5, 1)
	n.states[0].SetDigest(epoch, &peerpb.ClassDigest{Class: "lookups", Sequence: 1})
	seed, _ := proto.Marshal(n.states[0].Request(epoch, Member{ID: "entry1"}))
	f.Add(seed)
	f.Add([]byte{})
	f.Add([]byte("\x0a\x01a"))
	f.Fuzz(func(t *testing.T, data []byte) {
		var news peerpb.News
		if proto.Unmarshal(data, &news) != nil {
			return
		}
		s := NewState(Options{ID: "entry0", Address: "a", Incarnation: 1})
		_, err := s.Receive(epoch, &news)
		require.Equal(t, "entry0", s.Self().ID)
		if err != nil {
			require.Zero(t, s.members.len()+s.leaving.len()+s.versions.len(), "invalid news must not be merged")
		}
		s.Tick(epoch)
		require.LessOrEqual(t, proto.Size(s.Request(epoch, Member{ID: "entry1"})), 2*defaultBodyBudget)
		s.Reply(epoch, &news)
	})
}
