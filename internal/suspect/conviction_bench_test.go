package suspect

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/claim"
)

// Parameters of the simulation behind BenchmarkConvictions. It simulates hours of
// requests to endpoints that crash at random and by poison requests, and reports how
// many innocent requests each rule convicts.
const (
	simTick           = 100 * time.Millisecond
	simEntries        = 6
	simEndpoints      = 13
	simPerTick        = 10              // requests
	simPopular        = 200             // requests that are sent repeatedly by many callers
	simMeanRun        = 2 * time.Second // mean of all but the long runs
	simLongEvery      = 50              // one of this many requests is long
	simLongFactor     = 20              // duration of a long run relative to others
	simCrashEvery     = 600             // ticks between random crashes, on average
	simPoisonEvery    = 3000            // ticks between poison requests
	simHours          = 2
	simAttempts       = 6
	simRetryTicks     = 10
	simSpreadFraction = 0.95 // fraction of entries that receive the rows at once
)

type simRequest struct {
	f         Fingerprint
	poison    bool
	attempts  int
	retryTick int // tick of the next attempt
	endTick   int
	entry     int
	endpoint  int
	done      func(Result)
}

type simulation struct {
	random    *rand.Rand
	now       time.Time
	tick      int
	entries   []*Registry
	running   [simEndpoints][]*simRequest
	waiting   []*simRequest
	crashes   int
	poisons   map[Fingerprint]int // endpoints lost, by poison request
	suspected map[Fingerprint]bool
	unique    uint64
}

func newSimulation(rule Rule, exclusive bool, seed uint64) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, seed)), now: time.Unix(0, 0),
		poisons: map[Fingerprint]int{}, suspected: map[Fingerprint]bool{},
	}
	options := Options{Rule: rule, Now: func() time.Time { return s.now }}
	if exclusive {
		options.Exclusive = ClaimExclusive{Claimer: &memoryClaimer{states: map[claim.Key]claim.State{}}}
	}
	for range simEntries {
		s.entries = append(s.entries, newRegistry(options))
	}
	return s
}

func (s *simulation) arrive(poison bool) {
	var f Fingerprint
	id := uint64(s.random.IntN(simPopular))
	if poison || s.random.IntN(2) == 0 {
		s.unique++
		id = simPopular + s.unique
	}
	binary.BigEndian.PutUint64(f[:], id)
	if poison {
		s.poisons[f] = 0
	}
	s.waiting = append(s.waiting, &simRequest{f: f, poison: poison, retryTick: s.tick})
}

// attempt sends a request through a random entry to a random endpoint that is allowed
// to run it.
func (s *simulation) attempt(request *simRequest) {
	request.attempts++
	request.entry = s.random.IntN(simEntries)
	registry := s.entries[request.entry]
	standing, _ := registry.Standing(request.f)
	if standing == Suspected {
		s.suspected[request.f] = true
	}
	for _, endpoint := range s.random.Perm(simEndpoints) {
		name := fmt.Sprint(endpoint)
		if registry.Reserved(name) || standing == Suspected && s.busy(request.entry, endpoint) {
			continue
		}
		admission, done := registry.Begin(context.Background(), request.f, name)
		if admission.Reason == ReasonConvicted {
			break
		}
		if admission.Allowed {
			request.endpoint, request.done, request.endTick = endpoint, done, s.tick+s.runTicks()
			s.running[endpoint] = append(s.running[endpoint], request)
			return
		}
	}
	s.scheduleRetry(request)
}

func (s *simulation) scheduleRetry(request *simRequest) {
	if request.attempts < simAttempts {
		request.retryTick = s.tick + simRetryTicks
		s.waiting = append(s.waiting, request)
	}
}

func (s *simulation) runTicks() int {
	run := s.random.ExpFloat64() * float64(simMeanRun/simTick)
	if s.random.IntN(simLongEvery) == 0 {
		run *= simLongFactor
	}
	return int(run) + 1
}

func (s *simulation) busy(entry, endpoint int) bool {
	for _, request := range s.running[endpoint] {
		if request.entry == entry {
			return true
		}
	}
	return false
}

func (s *simulation) crash(endpoint int) {
	s.crashes++
	ended := s.running[endpoint]
	s.running[endpoint] = nil
	for _, request := range ended {
		request.done(EndpointDied)
		for _, other := range s.entries {
			if s.random.Float64() < simSpreadFraction {
				other.Merge(s.entries[request.entry].NewsOf(request.f))
			}
		}
		s.scheduleRetry(request)
	}
}

func (s *simulation) step() {
	s.tick++
	s.now = s.now.Add(simTick)
	for range simPerTick {
		s.arrive(false)
	}
	if s.random.IntN(simPoisonEvery) == 0 {
		s.arrive(true)
	}
	if s.random.IntN(simCrashEvery) == 0 {
		s.crash(s.random.IntN(simEndpoints))
	}
	due := s.waiting
	s.waiting = nil
	for _, request := range due {
		if request.retryTick > s.tick {
			s.waiting = append(s.waiting, request)
			continue
		}
		s.attempt(request)
	}
	s.finish()
	if s.tick%int(time.Second/simTick) == 0 {
		s.entries[s.random.IntN(simEntries)].Merge(s.entries[s.random.IntN(simEntries)].News(40))
	}
}

func (s *simulation) finish() {
	for endpoint := range simEndpoints {
		if s.countPoisons(endpoint) {
			s.crash(endpoint)
		}
		kept := s.running[endpoint][:0]
		for _, request := range s.running[endpoint] {
			if request.endTick > s.tick {
				kept = append(kept, request)
				continue
			}
			request.done(Survived)
		}
		s.running[endpoint] = kept
	}
}

// countPoisons counts an endpoint as lost for each poison request on it, and reports
// whether there was one.
func (s *simulation) countPoisons(endpoint int) bool {
	found := false
	for _, request := range s.running[endpoint] {
		if request.poison {
			s.poisons[request.f]++
			found = true
		}
	}
	return found
}

func (s *simulation) innocentConvicted() (innocent int) {
	seen := map[Fingerprint]bool{}
	for _, entry := range s.entries {
		for _, f := range entry.records.Keys() {
			_, poison := s.poisons[f]
			if standing, _ := entry.Standing(f); standing == Convicted && !poison && !seen[f] {
				seen[f] = true
				innocent++
			}
		}
	}
	return innocent
}

// worst returns the highest and the mean number of endpoints that a poison request
// crashed.
func (s *simulation) worst() (worst int, mean float64) {
	for _, lost := range s.poisons {
		worst = max(worst, lost)
		mean += float64(lost) / float64(len(s.poisons))
	}
	return worst, mean
}

// BenchmarkConvictions reports the convictions and crashes under each rule, with and
// without claims.
func BenchmarkConvictions(b *testing.B) {
	rules := map[string]Rule{"second_alone": SecondAlone, "second_any": SecondAny, "second_alone_or_third": SecondAloneOrThird}
	for _, name := range []string{"second_any", "second_alone", "second_alone_or_third"} {
		for variant := range 6 {
			exclusive, seed := variant >= 3, uint64(variant%3+1)
			b.Run(fmt.Sprintf("rule=%s/claims=%t/seed=%d", name, exclusive, seed), func(b *testing.B) {
				for range b.N {
					s := newSimulation(rules[name], exclusive, seed)
					for range int(simHours * time.Hour / simTick) {
						s.step()
					}
					worst, mean := s.worst()
					b.ReportMetric(float64(s.innocentConvicted()), "innocent-convicted")
					b.ReportMetric(float64(s.crashes), "crashes")
					b.ReportMetric(float64(len(s.suspected)), "requests-run-as-suspects")
					b.ReportMetric(float64(worst), "endpoints-lost-worst")
					b.ReportMetric(mean, "endpoints-lost-mean")
					b.ReportMetric(float64(len(s.poisons)), "poisons")
				}
			})
		}
	}
}

// BenchmarkRegistry measures Begin and News with different numbers of stored records.
func BenchmarkRegistry(b *testing.B) {
	for _, records := range []int{0, 1000, 10_000} {
		r := newRegistry(Options{})
		for i := range records {
			f := Fingerprint{}
			binary.BigEndian.PutUint64(f[:], uint64(i)+1)
			run(r, f, "a", EndpointDied)
		}
		ctx, clear := context.Background(), Fingerprint{}
		b.Run(fmt.Sprintf("begin/held=%d", records), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				_, done := r.Begin(ctx, clear, "b")
				done(Survived)
			}
		})
		b.Run(fmt.Sprintf("news/held=%d", records), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				r.News(20)
			}
		})
	}
}

// BenchmarkRecordMemory measures the allocations of a registry with different numbers
// of records.
func BenchmarkRecordMemory(b *testing.B) {
	for _, records := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprintf("held=%d", records), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				r := newRegistry(Options{})
				for i := range records {
					f := Fingerprint{}
					binary.BigEndian.PutUint64(f[:], uint64(i))
					run(r, f, "endpoint-1", EndpointDied)
				}
			}
		})
	}
}
