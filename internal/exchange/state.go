// Package exchange is what entries tell each other: one small periodic
// exchange of news with a few random peers, merged so that order, loss and
// repeats do not matter.
package exchange

import (
	"time"

	"github.com/comfreyfront/comfreyfront/internal/peer/peerpb"
	"github.com/joomcode/errorx"
)

// Errors of the exchange layer.
var (
	Errors = errorx.NewNamespace("exchange")
	// ErrInvalid: the news breaks a bound; nothing of it was taken.
	ErrInvalid = Errors.NewType("invalid")
	// ErrRefused: nothing listens at the peer's address.
	ErrRefused = Errors.NewType("refused", errorx.Temporary())
	// ErrUnreachable: the peer did not answer.
	ErrUnreachable = Errors.NewType("unreachable", errorx.Temporary())
)

// Suspects is the part of the exchange that carries suspected requests. Its
// methods are safe for concurrent use.
type Suspects interface {
	// News returns at most limit records, the newest first.
	News(limit int) []*peerpb.Suspect
	// Merge takes records of a peer; repeats and order do not matter.
	Merge(suspects []*peerpb.Suspect)
}

// Options of a State. Zero values take the defaults.
type Options struct {
	ID            string
	Address       string // host:port
	FailureDomain string
	// Incarnation rises with each start of the entry.
	Incarnation int64
	// SuspicionTime is how long a peer is suspected before it counts as dead,
	// 3 s by default.
	SuspicionTime time.Duration
	// BodyBudget bounds one message in bytes, without a class document; 512 by
	// default.
	BodyBudget int
	// IdleBudget bounds what is filled up with old news, in bytes; 160 by
	// default.
	IdleBudget int
	// Suspects may be nil.
	Suspects Suspects
}

// Defaults of Options.
const (
	defaultSuspicionTime = 3 * time.Second
	defaultBodyBudget    = 512
	defaultIdleBudget    = 160
)

// Times for which news is kept. A member that went is kept for twice
// memberMemory and passed on for once, so that it does not come back by word of
// a peer that forgets it a little later.
const (
	memberMemory  = 10 * time.Minute
	leavingMemory = 5 * time.Minute
	outlierMemory = 30 * time.Second
	digestMemory  = 2 * time.Minute
)

// State is what one entry knows from the exchange. It has one owner and is not
// safe for concurrent use.
type State struct {
	options  Options
	self     *peerpb.PeerSeen
	members  *rotation[*member]
	leaving  *rotation[leave]
	outliers *rotation[outlier]
	versions *rotation[*peerpb.ModelVersion]
	digests  *rotation[digest]
	config   configNews
	// retry holds peers that failed once and are tried again next.
	retry []string
	round int
}

// leave is the first word of an endpoint's leaving, by this entry's clock.
type leave struct {
	at time.Time
	// term rises when the endpoint leaves again after it came back.
	term int64
}

// outlier is a judgement and when it was made, by this entry's clock.
type outlier struct {
	news *peerpb.Outlier
	at   time.Time
}

// digest is a class digest and when it came.
type digest struct {
	news *peerpb.ClassDigest
	at   time.Time
}

// configNews is the class document as it is passed on.
type configNews struct {
	revision    int64
	data        []byte
	confirmedAt time.Time
}

// NewState returns the state of an entry that knows nobody else.
func NewState(options Options) *State {
	if options.SuspicionTime <= 0 {
		options.SuspicionTime = defaultSuspicionTime
	}
	if options.BodyBudget <= 0 {
		options.BodyBudget = defaultBodyBudget
	}
	if options.IdleBudget <= 0 {
		options.IdleBudget = defaultIdleBudget
	}
	return &State{
		options:  options,
		members:  newRotation[*member](),
		leaving:  newRotation[leave](),
		outliers: newRotation[outlier](),
		versions: newRotation[*peerpb.ModelVersion](),
		digests:  newRotation[digest](),
		self: &peerpb.PeerSeen{
			Id: options.ID, Address: options.Address, FailureDomain: options.FailureDomain, Incarnation: options.Incarnation, Heartbeat: 1,
		},
	}
}

// Leave says to peers that this entry leaves.
func (s *State) Leave() {
	s.self.Leaving = true
}

// SetConfig passes on a class document at a revision that is not lower.
func (s *State) SetConfig(revision int64, data []byte) {
	if revision <= s.config.revision {
		return
	}
	s.config.revision, s.config.data = revision, data
	s.self.ConfigRevision = revision
}

// Confirm says that the held revision was the newest at an instant.
func (s *State) Confirm(at time.Time) {
	if at.After(s.config.confirmedAt) {
		s.config.confirmedAt = at
	}
}

// ConfirmedAt returns the instant of the last confirmation.
func (s *State) ConfirmedAt() time.Time {
	return s.config.confirmedAt
}

// EndpointLeaves records word that an endpoint leaves. Later word of the same
// leaving changes nothing.
func (s *State) EndpointLeaves(id string, at time.Time) {
	known, _ := s.leaving.get(id)
	s.mergeLeave(id, leave{at: at, term: known.term})
}

// EndpointLeavesAgain records word that an endpoint leaves that had come back
// since the last word.
func (s *State) EndpointLeavesAgain(id string, at time.Time) {
	known, _ := s.leaving.get(id)
	s.mergeLeave(id, leave{at: at, term: known.term + 1})
}

// mergeLeave takes the higher term, and within one the earlier word.
func (s *State) mergeLeave(id string, word leave) {
	known, exists := s.leaving.get(id)
	switch {
	case !exists || word.term > known.term:
		s.leaving.put(id, word)
	case word.term == known.term && word.at.Before(known.at):
		s.leaving.set(id, word)
	}
}

// LeavingSince returns when an endpoint was first said to leave.
func (s *State) LeavingSince(id string) (time.Time, bool) {
	word, said := s.leaving.get(id)
	return word.at, said
}

// Judge records this entry's judgement of an endpoint. Sequence must rise;
// demotion is a share from 0 to 1.
func (s *State) SetDemotion(now time.Time, endpoint string, demotion float64, sequence int64) {
	news := &peerpb.Outlier{Endpoint: endpoint, Demotion: int32(demotion * perMille), Entry: s.self.Id, Sequence: sequence}
	s.mergeOutlier(now, news)
}

// perMille is the factor between a share and thousandths.
const perMille = 1000

// Demotion returns the newest judgement of an endpoint, 0 to 1.
func (s *State) Demotion(endpoint string) float64 {
	judged, _ := s.outliers.get(endpoint)
	return float64(judged.news.GetDemotion()) / perMille
}

// Demoted calls visit with each judged endpoint and its demotion, 0 to 1.
func (s *State) Demoted(visit func(endpoint string, demotion float64)) {
	s.outliers.each(func(key string, o outlier) { visit(key, float64(o.news.Demotion)/perMille) })
}

// SetVersion raises the newest version and the floor of a model; it reports
// whether that was news.
func (s *State) SetVersion(model string, newest, floor int64) bool {
	return s.mergeVersion(&peerpb.ModelVersion{Model: model, Newest: newest, Floor: floor})
}

// Versions calls visit with the versions of each model.
func (s *State) Versions(visit func(model string, newest, floor int64)) {
	s.versions.each(func(key string, v *peerpb.ModelVersion) { visit(key, v.Newest, v.Floor) })
}

// SetDigest replaces this entry's digest of one class.
func (s *State) SetDigest(now time.Time, news *peerpb.ClassDigest) {
	news.Entry = s.self.Id
	s.mergeDigest(now, news)
}

// Digest is one entry's figures of one class and how old they are.
type Digest struct {
	News *peerpb.ClassDigest
	Age  time.Duration
}

// Digests returns the digests of all entries that were heard lately.
func (s *State) Digests(now time.Time) []Digest {
	all := make([]Digest, 0, s.digests.len())
	s.digests.each(func(_ string, d digest) { all = append(all, Digest{News: d.news, Age: now.Sub(d.at)}) })
	return all
}

// Tick raises the heartbeat and forgets what is old.
func (s *State) Tick(now time.Time) {
	s.round++
	s.self.Heartbeat++
	s.forget(now)
}

func (s *State) forget(now time.Time) {
	s.leaving.each(func(key string, word leave) {
		if now.Sub(word.at) > leavingMemory {
			s.leaving.remove(key)
		}
	})
	s.outliers.each(func(key string, o outlier) {
		if now.Sub(o.at) > outlierMemory {
			s.outliers.remove(key)
		}
	})
	s.digests.each(func(key string, d digest) {
		if now.Sub(d.at) > digestMemory {
			s.digests.remove(key)
		}
	})
	s.members.each(func(key string, m *member) {
		if s.past(now, m) && now.Sub(m.changedAt) > 2*memberMemory {
			s.members.remove(key)
		}
	})
}
