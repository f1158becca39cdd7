package freshness_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/freshness"
	"github.com/comfreyfront/comfreyfront/internal/metastore"
	"github.com/comfreyfront/comfreyfront/internal/watchcache"
)

// Size of the explored model. Times are counted in ticks of one second.
const (
	tick       = time.Second
	limitTicks = 2
	// The key is withdrawn in withdrawalTick, before or after whatever else happens in it.
	withdrawalTick = 1
	lastTick       = withdrawalTick + limitTicks + 1
	// maxFreezes, maxRestarts and maxLosses bound how often a run contains each fault. Short
	// tests lose no call: a lost one differs from a late one only in what is sent after it.
	maxFreezes, maxRestarts, maxLosses = 1, 1, 1
)

// Revisions of the configuration with the key and of the one that withdraws it.
const (
	granted   = 10
	withdrawn = 11
)

// mutation is a fault put into the model. The explorer must find that it breaks the rule.
type mutation int

const (
	correct mutation = iota
	receiveTime
	watchEnd
	steadyClock
	ignoredAge
	staleConfirms
	laterConfirmation
	askedAfterReading
	keptOverRestart
)

// phase is the progress of a call.
type phase int8

const (
	idle phase = iota
	sent
	arrived
	answered
)

// message is a call in flight. age is the age in a reply, and hubAt when the hub got it.
type message struct {
	phase         phase
	toHub, stale  bool
	answered      int8
	revision      int8
	age           int64
	sentAt, hubAt freshness.Instant
}

// process is the hub or the reader.
type process struct {
	frozen    bool
	suspended int8
	known     int8
	upTo      freshness.Instant
	call      message
}

// state is one state of the model; it is comparable.
type state struct {
	now         int8
	withdrawn   bool
	hub, reader process
	// request is arrived while the reader decides about a request, else idle.
	request                   phase
	freezes, restarts, losses int8
}

// Clocks of the two instances start at different times.
const (
	hubStart    = freshness.Instant(1000 * time.Second)
	readerStart = freshness.Instant(5000 * time.Second)
)

// explorer visits all states that are reachable with a mutation.
type explorer struct {
	mutation mutation
	// losses is how many calls a run may lose.
	losses  int8
	seen    map[state]struct{}
	pending []state
	// violated is the first state found in which a request ran too late.
	violated *state
	// passed counts the requests that passed the first step of their decision.
	passed int
}

func (x *explorer) clock(p *process, start freshness.Instant, now int8) freshness.Instant {
	if x.mutation == steadyClock {
		now -= p.suspended
	}
	return start + freshness.Instant(time.Duration(now)*tick)
}

func (x *explorer) hubClock(s *state) freshness.Instant { return x.clock(&s.hub, hubStart, s.now) }
func (x *explorer) readerClock(s *state) freshness.Instant {
	return x.clock(&s.reader, readerStart, s.now)
}

// visit adds a state unless no request that must not run can run after it: the reader
// knows of the withdrawal and is not restarted any more.
func (x *explorer) visit(s state) {
	if s.reader.known == withdrawn && s.restarts == maxRestarts && s.request != arrived {
		return
	}
	if _, ok := x.seen[s]; !ok {
		x.seen[s] = struct{}{}
		x.pending = append(x.pending, s)
	}
}

func (x *explorer) run() {
	x.seen = map[state]struct{}{}
	if !testing.Short() {
		x.losses = maxLosses
	}
	x.visit(state{})
	for len(x.pending) > 0 && x.violated == nil {
		s := x.pending[len(x.pending)-1]
		x.pending = x.pending[:len(x.pending)-1]
		x.time(s)
		x.store(s)
		x.faults(s)
		x.hubSteps(s)
		x.readerSteps(s)
		x.requestSteps(s)
	}
}

func (x *explorer) time(s state) {
	if s.now < lastTick && (s.withdrawn || s.now < withdrawalTick) {
		s.now++
		for _, p := range []*process{&s.hub, &s.reader} {
			if p.frozen && x.mutation == steadyClock {
				p.suspended++
			}
		}
		x.visit(s)
	}
}

// store lets the store accept the withdrawal, and lets calls arrive there and be answered. A
// watch answers with what was there when it arrived, however late: it may be blind.
func (x *explorer) store(s state) {
	if !s.withdrawn && s.now == withdrawalTick {
		next := s
		next.withdrawn = true
		x.visit(next)
	}
	for _, pick := range []func(*state) *process{theHub, theReader} {
		p := pick(&s)
		if p.call.toHub {
			continue
		}
		switch p.call.phase {
		case sent:
			next := s
			call := &pick(&next).call
			call.phase, call.revision = arrived, granted
			if p.call.stale {
				x.visit(next)
			}
			if s.withdrawn {
				call.revision = withdrawn
			}
			x.visit(next)
		case arrived:
			next := s
			call := &pick(&next).call
			call.phase = answered
			if x.mutation == watchEnd {
				call.answered = s.now
			}
			x.visit(next)
		}
	}
}

func theHub(s *state) *process    { return &s.hub }
func theReader(s *state) *process { return &s.reader }

func (x *explorer) faults(s state) {
	for _, pick := range []func(*state) *process{theHub, theReader} {
		p := pick(&s)
		if p.frozen || s.freezes < maxFreezes {
			next := s
			if !p.frozen {
				next.freezes++
			}
			pick(&next).frozen = !p.frozen
			x.visit(next)
		}
		if p.call.phase != idle && s.losses < x.losses {
			next := s
			next.losses++
			pick(&next).call = message{}
			x.visit(next)
		}
		if s.restarts < maxRestarts {
			x.visit(x.restarted(s, pick))
		}
	}
}

func (x *explorer) restarted(s state, pick func(*state) *process) state {
	s.restarts++
	old := *pick(&s)
	*pick(&s) = process{suspended: old.suspended}
	if x.mutation == keptOverRestart {
		pick(&s).upTo = old.upTo
	}
	if s.reader.call.toHub {
		s.reader.call = message{} // lost with the process at its other end
	}
	if pick(&s) == &s.reader {
		s.request = idle // ended with the process that decided about it
	}
	return s
}

func (x *explorer) hubSteps(s state) {
	if s.hub.frozen {
		return
	}
	switch s.hub.call.phase {
	case idle:
		next := s
		next.hub.call = message{phase: sent, sentAt: x.hubClock(&s), stale: s.hub.known == 0}
		x.visit(next)
	case answered:
		next := s
		x.received(&next.hub, x.hubClock(&s), hubStart)
		x.visit(next)
	}
	if !s.reader.call.toHub || s.hub.known == 0 {
		return
	}
	next := s
	call := &next.reader.call
	switch call.phase {
	case sent:
		call.phase, call.hubAt = arrived, x.hubClock(&s)
		if x.mutation == laterConfirmation {
			call.revision = x.cached(s).revision
		}
		x.visit(next)
	case arrived:
		reply := x.cached(s)
		if x.mutation == laterConfirmation {
			reply.revision = call.revision
		}
		call.phase, call.revision, call.age, call.hubAt = answered, reply.revision, reply.age, freshness.None
		x.visit(next)
	}
}

// cached returns the answer of the hub's cache to the reader's call.
func (x *explorer) cached(s state) message {
	cache := watchcache.New(time.Hour)
	for revision := int64(granted); revision <= int64(s.hub.known); revision++ {
		cache.Changed(metastore.Event{Item: metastore.Item{Key: "c", Revision: revision}})
	}
	cache.Confirmed(int64(s.hub.known), true, s.hub.upTo)
	changes, err := cache.Watch(context.Background(), "c", 0, 0)
	if err != nil {
		panic(err)
	}
	revision := int8(changes.Events[len(changes.Events)-1].Revision)
	return message{revision: revision, age: freshness.ReplyAge(s.reader.call.hubAt, changes.UpTo)}
}

func (x *explorer) readerSteps(s state) {
	if s.reader.frozen {
		return
	}
	switch s.reader.call.phase {
	case idle:
		next := s
		next.reader.call = message{phase: sent, sentAt: x.readerClock(&s), stale: s.reader.known == 0}
		x.visit(next)
		next.reader.call.stale, next.reader.call.toHub = false, true
		x.visit(next)
	case answered:
		next := s
		x.received(&next.reader, x.readerClock(&s), readerStart)
		x.visit(next)
	}
}

// received applies the answer to a process's call.
func (x *explorer) received(p *process, now, start freshness.Instant) {
	call := p.call
	p.call = message{}
	p.known = max(p.known, call.revision)
	upTo := call.sentAt
	switch x.mutation {
	case receiveTime:
		upTo = now
	case watchEnd:
		upTo = start + freshness.Instant(time.Duration(call.answered)*tick)
	}
	if call.toHub && x.mutation != ignoredAge {
		upTo = freshness.OfReply(upTo, call.age)
	}
	if call.stale && x.mutation != staleConfirms {
		upTo = freshness.None
	}
	tracker := tracked(p)
	tracker.Confirmed(upTo)
	p.upTo = tracker.Last()
}

func tracked(p *process) *freshness.Tracker {
	tracker := &freshness.Tracker{}
	tracker.Confirmed(p.upTo)
	return tracker
}

// requestSteps lets a request that must not run, if any was sent by now, arrive at the reader,
// which decides about it: it asks for certainty, and then reads the configuration. Between
// these steps anything may happen. A request that is refused is not followed further.
func (x *explorer) requestSteps(s state) {
	if s.reader.frozen || s.now < withdrawalTick+limitTicks {
		return
	}
	ask := func() bool { return tracked(&s.reader).Certain(x.readerClock(&s), limitTicks*tick) }
	read := func() bool { return s.reader.known == granted }
	steps := map[phase]func() bool{idle: ask, arrived: read}
	if x.mutation == askedAfterReading {
		steps = map[phase]func() bool{idle: read, arrived: ask}
	}
	switch passed := steps[s.request](); {
	case !passed:
	case s.request == idle:
		x.passed++
		s.request = arrived
		x.visit(s)
	default:
		x.violated = &s
	}
}

// TestNoOrderOfEventsRunsAWithdrawnKey visits every order of the model's events: changes of
// the store, calls that are sent, arrive, are answered or lost, stale first reads, watches
// that went blind, frozen and restarted processes, and a request. With the real rules no
// request runs that was sent the limit or more after the withdrawal of its key; with a
// single mistake in them one does.
func TestNoOrderOfEventsRunsAWithdrawnKey(t *testing.T) {
	t.Run("correct", func(t *testing.T) {
		x := &explorer{mutation: correct}
		x.run()
		require.Nil(t, x.violated)
		require.Positive(t, x.passed, "some requests arrive while the reader is certain")
		t.Logf("%d states, %d requests while certain", len(x.seen), x.passed)
	})
	for name, m := range map[string]mutation{
		"an answer confirms the time of its receipt": receiveTime,
		"a watch confirms the time of its end":       watchEnd,
		"the clock stands still in a suspension":     steadyClock,
		"the age of the hub is ignored":              ignoredAge,
		"a stale read confirms":                      staleConfirms,
		"the hub's age is newer than its events":     laterConfirmation,
		"certainty is asked after reading":           askedAfterReading,
		"the confirmation survives a restart":        keptOverRestart,
	} {
		t.Run(name, func(t *testing.T) {
			x := &explorer{mutation: m}
			x.run()
			require.NotNil(t, x.violated, "the explorer must find this mistake; %d states", len(x.seen))
		})
	}
}
