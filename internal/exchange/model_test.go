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

// world is a number of entries, the links between them, and the oracle: what
// every entry must know in the end.
type world struct {
	now      time.Time
	states   []*State
	parted   bool // entries of odd and even number do not reach each other
	late     []*peerpb.News
	leaving  map[string]int64
	versions map[string]*peerpb.ModelVersion
	outliers map[string]*peerpb.Outlier
	digests  map[string]int64
	revision int64
	sequence int64
}

func newWorld(entries int) *world {
	w := &world{now: epoch, leaving: map[string]int64{}, versions: map[string]*peerpb.ModelVersion{}, outliers: map[string]*peerpb.Outlier{}, digests: map[string]int64{}}
	for i := range entries {
		id := fmt.Sprint("entry", i)
		w.states = append(w.states, NewState(Options{ID: id, Address: id, Incarnation: 1, BodyBudget: 300, IdleBudget: 200}))
	}
	for _, s := range w.states[1:] {
		w.swap(s, w.states[0])
	}
	return w
}

// deliver carries a message over the wire format.
func (w *world) deliver(to *State, news *peerpb.News) {
	config, err := to.Receive(w.now, proto.Clone(news).(*peerpb.News))
	if err != nil {
		panic(err)
	}
	if config != nil {
		to.SetConfig(config.Revision, config.Data)
	}
}

func (w *world) swap(from, to *State) {
	request := from.Request(w.now, to.Self())
	w.deliver(to, request)
	reply := to.Reply(w.now, request)
	w.deliver(from, reply)
	if reply.ConfigRevision < from.config.revision {
		w.deliver(to, from.Request(w.now, Member{ID: to.self.Id, Behind: true}))
	}
}

func (w *world) reaches(i, j int) bool {
	return i != j && (!w.parted || i%2 == j%2)
}

func (w *world) actions() map[string]func(*rapid.T) {
	entry := func(t *rapid.T) int { return rapid.IntRange(0, len(w.states)-1).Draw(t, "entry") }
	return map[string]func(*rapid.T){
		"leaving": func(t *rapid.T) {
			id := rapid.SampledFrom([]string{"p", "q", "r", "s"}).Draw(t, "endpoint")
			s := w.states[entry(t)]
			if rapid.Bool().Draw(t, "again") {
				s.EndpointLeavesAgain(id, w.now)
			} else {
				s.EndpointLeaves(id, w.now)
			}
			word, _ := s.leaving.get(id)
			w.leaving[id] = max(w.leaving[id], word.term)
		},
		"version": func(t *rapid.T) {
			model, newest := rapid.SampledFrom([]string{"m", "n"}).Draw(t, "model"), rapid.Int64Range(1, 9).Draw(t, "newest")
			floor := rapid.Int64Range(0, newest).Draw(t, "floor")
			w.states[entry(t)].SetVersion(model, newest, floor)
			old := w.versions[model]
			w.versions[model] = &peerpb.ModelVersion{Model: model, Newest: max(newest, old.GetNewest()), Floor: max(floor, old.GetFloor())}
		},
		"judge": func(t *rapid.T) {
			s, id, sequence := w.states[entry(t)], rapid.SampledFrom([]string{"p", "q"}).Draw(t, "endpoint"), rapid.Int64Range(1, 9).Draw(t, "sequence")
			s.SetDemotion(w.now, id, 0.5, sequence)
			judged := &peerpb.Outlier{Endpoint: id, Entry: s.self.Id, Sequence: sequence, Demotion: 500}
			if old, exists := w.outliers[id]; !exists || laterJudgement(judged, old) {
				w.outliers[id] = judged
			}
		},
		"digest": func(t *rapid.T) {
			s := w.states[entry(t)]
			w.sequence++
			s.SetDigest(w.now, &peerpb.ClassDigest{Class: "lookups", Sequence: w.sequence, Answered: 3})
			w.digests[s.self.Id] = w.sequence
		},
		"config": func(t *rapid.T) {
			w.revision++
			w.states[entry(t)].SetConfig(w.revision, fmt.Append(nil, "revision ", w.revision))
		},
		"suspect": func(t *rapid.T) {
			s, id := w.states[entry(t)], fmt.Sprint("entry", entry(t))
			s.Failed(w.now, id)
			s.Failed(w.now, id)
		},
		"part":  func(*rapid.T) { w.parted = true },
		"heal":  func(*rapid.T) { w.parted = false },
		"later": func(*rapid.T) { w.now = w.now.Add(10 * time.Millisecond) },
		"swap":  func(t *rapid.T) { w.exchange(t, entry(t), entry(t)) },
	}
}

// exchange swaps news, and loses, repeats or delays some of it.
func (w *world) exchange(t *rapid.T, i, j int) {
	if !w.reaches(i, j) {
		return
	}
	from, to := w.states[i], w.states[j]
	from.Tick(w.now)
	request := from.Request(w.now, to.Self())
	switch rapid.IntRange(0, 4).Draw(t, "fate") {
	case 0:
		w.swap(from, to)
	case 1: // the request is lost
	case 2: // the reply is lost
		w.deliver(to, request)
		to.Reply(w.now, request)
	case 3: // the request comes twice
		w.deliver(to, request)
		w.deliver(to, request)
		w.deliver(from, to.Reply(w.now, request))
	case 4: // it comes later, perhaps out of order, to somebody else too
		w.late = append(w.late, request)
	}
}

func (w *world) settle(random *rand.Rand) {
	w.parted = false
	random.Shuffle(len(w.late), func(i, j int) { w.late[i], w.late[j] = w.late[j], w.late[i] })
	for _, news := range w.late {
		w.deliver(w.states[random.IntN(len(w.states))], news)
	}
	for range 60 {
		for i, s := range w.states {
			s.Tick(w.now)
			if j := random.IntN(len(w.states)); j != i {
				w.swap(s, w.states[j])
			}
		}
	}
}

func (w *world) check(t *rapid.T) {
	for _, s := range w.states {
		require.Equal(t, w.revision, s.config.revision)
		require.Len(t, s.Live(w.now), len(w.states)-1, "all refute suspicion")
		for _, m := range s.Live(w.now) {
			require.False(t, m.Suspected)
		}
		require.Equal(t, len(w.leaving), s.leaving.len())
		for id, term := range w.leaving {
			word, known := s.leaving.get(id)
			require.True(t, known)
			require.Equal(t, term, word.term)
		}
		for model, want := range w.versions {
			got, _ := s.versions.get(model)
			equalMessages(t, want, got)
		}
		for id, want := range w.outliers {
			got, _ := s.outliers.get(id)
			require.Equal(t, want.Sequence, got.news.Sequence)
			require.Equal(t, want.Entry, got.news.Entry)
		}
		for entry, sequence := range w.digests {
			got, _ := s.digests.get(entry + "\x00lookups")
			require.Equal(t, sequence, got.news.GetSequence())
		}
	}
}

// TestNewsReachesAllAgainstOracle draws changes, losses, repeats, delays and
// partitions, then heals and compares every entry with the oracle.
func TestNewsReachesAllAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.IntRange(2, 7).Draw(t, "entries"))
		t.Repeat(w.actions())
		w.settle(rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "seed"))))
		w.check(t)
	})
}

func TestMessagesKeepTheirBudget(t *testing.T) {
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

func TestDocumentGoesOnlyToPeersBehind(t *testing.T) {
	w := newWorld(3)
	a, b := w.states[0], w.states[1]
	a.SetConfig(1, []byte("document"))
	request := a.Request(w.now, b.Self())
	require.Empty(t, request.Config, "not on trust")
	require.NotEmpty(t, a.Reply(w.now, b.Request(w.now, a.Self())).Config)
	w.swap(a, b)
	require.EqualValues(t, 1, b.config.revision)
	require.Empty(t, a.Reply(w.now, b.Request(w.now, a.Self())).Config)
}

func TestSilentMemberIsSuspectedThenGone(t *testing.T) {
	w := newWorld(3)
	a, b := w.states[0], w.states[1]
	w.swap(a, b)
	a.Failed(w.now, "entry2")
	require.Len(t, a.Live(w.now), 2)
	require.False(t, a.Live(w.now)[1].Suspected, "one failure is no proof")
	a.Failed(w.now, "entry2")
	require.True(t, a.Live(w.now)[1].Suspected)
	w.swap(a, b)
	w.now = w.now.Add(defaultSuspicionTime)
	require.Len(t, a.Live(w.now), 1)
	require.Len(t, b.Live(w.now), 1)
	w.swap(w.states[2], a) // it was only slow
	require.Len(t, a.Live(w.now), 2)
}

func TestRestartedEntryOutranksItsFormerSelf(t *testing.T) {
	w := newWorld(2)
	w.states[1].Leave()
	w.swap(w.states[1], w.states[0])
	require.Empty(t, w.states[0].Live(w.now))
	// It starts again with a clock that runs behind.
	w.states[1] = NewState(Options{ID: "entry1", Address: "entry1", Incarnation: 1})
	for range 3 {
		w.swap(w.states[1], w.states[0])
	}
	require.Len(t, w.states[0].Live(w.now), 1)
	require.EqualValues(t, 2, w.states[0].Live(w.now)[0].Incarnation)
}

func TestForgottenNewsDoesNotComeBack(t *testing.T) {
	w := newWorld(2)
	a, b := w.states[0], w.states[1]
	a.EndpointLeaves("replica", w.now)
	a.SetDigest(w.now, &peerpb.ClassDigest{Class: "lookups", Sequence: 1})
	for range 2000 {
		w.now = w.now.Add(time.Second)
		a.Tick(w.now)
		b.Tick(w.now)
		w.swap(a, b)
	}
	for _, s := range w.states {
		require.Zero(t, s.leaving.len())
		require.Zero(t, s.digests.len())
	}
}

func FuzzReceive(f *testing.F) {
	w := newWorld(3)
	w.states[0].EndpointLeaves("replica", epoch)
	w.states[0].SetVersion("m", 3, 2)
	w.states[0].SetDemotion(epoch, "replica", 0.5, 1)
	w.states[0].SetDigest(epoch, &peerpb.ClassDigest{Class: "lookups", Sequence: 1})
	seed, _ := proto.Marshal(w.states[0].Request(epoch, Member{ID: "entry1"}))
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
			require.Zero(t, s.members.len()+s.leaving.len()+s.versions.len(), "nothing of invalid news is taken")
		}
		s.Tick(epoch)
		require.LessOrEqual(t, proto.Size(s.Request(epoch, Member{ID: "entry1"})), 2*defaultBodyBudget)
		s.Reply(epoch, &news)
	})
}
