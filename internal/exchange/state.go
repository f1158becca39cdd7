// Package exchange implements the gossip between entries: a small periodic exchange
// of news with a few random peers. News is merged so that reordering, loss and
// duplication do not matter.
package exchange

import (
	"time"

	"github.com/comfreyfront/comfreyfront/internal/peer/peerpb"
	"github.com/joomcode/errorx"
)

// Errors of the exchange layer.
var (
	Errors = errorx.NewNamespace("exchange")
	// ErrInvalid is returned for news that is malformed or exceeds a limit. No part of it is
	// merged.
	ErrInvalid = Errors.NewType("invalid")
	// ErrRefused is returned when nothing listens at the peer's address.
	ErrRefused = Errors.NewType("refused", errorx.Temporary())
	// ErrUnreachable is returned when the peer does not answer.
	ErrUnreachable = Errors.NewType("unreachable", errorx.Temporary())
)

// Suspects supplies and merges the suspected requests of the exchange. Its methods
// are safe for concurrent use.
type Suspects interface {
	// News returns at most limit records to send.
	News(limit int) []*peerpb.Suspect
	// Merge merges records of a peer. Duplicates and order do not matter.
	Merge(suspects []*peerpb.Suspect)
}

// Options configures a State. Zero values select the defaults.
type Options struct {
	ID            string
	Address       string // host:port
	FailureDomain string
	// Incarnation increases with each start of the entry.
	Incarnation int64
	// SuspicionTime is how long a peer is suspected before it counts as dead,
	// 3 s by default.
	SuspicionTime time.Duration
	// BodyBudget bounds the size of one message in bytes, without a class document;
	// 512 by default.
	BodyBudget int
	// IdleBudget bounds the bytes in a message that are filled with items that are no
	// longer fresh; 160 by default.
	IdleBudget int
	// Suspects supplies and merges suspected requests; it may be nil.
	Suspects Suspects
}

// Defaults of Options.
const (
	defaultSuspicionTime = 3 * time.Second
	defaultBodyBudget    = 512
	defaultIdleBudget    = 160
)

// Retention times. A leaving or dead member is kept for twice memberRetention but sent to
// peers only for memberRetention, so that a peer that forgets it slightly later does not
// reintroduce it.
const (
	memberRetention  = 10 * time.Minute
	leavingRetention = 5 * time.Minute
	outlierRetention = 30 * time.Second
	digestRetention  = 2 * time.Minute
)

// State holds what one entry knows from the exchange. It is not safe for concurrent
// use.
type State struct {
	options  Options
	self     *peerpb.PeerSeen
	members  *rotation[*member]
	leaving  *rotation[leaveRecord]
	outliers *rotation[outlier]
	versions *rotation[*peerpb.ModelVersion]
	digests  *rotation[digest]
	config   configState
	// retry holds the peers to contact first in the next round: those that failed once,
	// or that another peer suspects.
	retry []string
	round int
}

// leaveRecord records the first report that an endpoint is leaving, by this entry's
// clock.
type leaveRecord struct {
	at time.Time
	// term increases when the endpoint leaves again after it returned.
	term int64
}

// outlier is the demotion of an endpoint and when it was decided, by this entry's
// clock.
type outlier struct {
	news *peerpb.Outlier
	at   time.Time
}

// digest is a class digest and when it was made, by this entry's clock.
type digest struct {
	news *peerpb.ClassDigest
	at   time.Time
}

// configState is the encoded class document that is sent to peers, and when it was
// last confirmed as the newest.
type configState struct {
	revision    int64
	data        []byte
	confirmedAt time.Time
}

// NewState returns the state of an entry that knows no other entries.
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
		leaving:  newRotation[leaveRecord](),
		outliers: newRotation[outlier](),
		versions: newRotation[*peerpb.ModelVersion](),
		digests:  newRotation[digest](),
		self: &peerpb.PeerSeen{
			Id: options.ID, Address: options.Address, FailureDomain: options.FailureDomain, Incarnation: options.Incarnation, Heartbeat: 1,
		},
	}
}

// Leave marks this entry as leaving in the news for its peers.
func (s *State) Leave() {
	s.self.Leaving = true
}

// SetConfig sets the class document to send to peers. A revision that is not higher
// than the current one is ignored.
func (s *State) SetConfig(revision int64, data []byte) {
	if revision <= s.config.revision {
		return
	}
	s.config.revision, s.config.data = revision, data
	s.self.ConfigRevision = revision
}

// Confirm records that the current class document was the newest at the given time.
func (s *State) Confirm(at time.Time) {
	if at.After(s.config.confirmedAt) {
		s.config.confirmedAt = at
	}
}

// ConfirmedAt returns the time of the last confirmation of the class document.
func (s *State) ConfirmedAt() time.Time {
	return s.config.confirmedAt
}

// EndpointLeaves records a report that an endpoint is leaving. Later reports of the
// same term change nothing.
func (s *State) EndpointLeaves(id string, at time.Time) {
	stored, _ := s.leaving.get(id)
	s.mergeLeaveRecord(id, leaveRecord{at: at, term: stored.term})
}

// EndpointLeavesAgain records a report that an endpoint is leaving again after it
// returned, which starts a new term.
func (s *State) EndpointLeavesAgain(id string, at time.Time) {
	stored, _ := s.leaving.get(id)
	s.mergeLeaveRecord(id, leaveRecord{at: at, term: stored.term + 1})
}

// mergeLeaveRecord keeps the record with the higher term, and within one term the
// earlier one.
func (s *State) mergeLeaveRecord(id string, record leaveRecord) {
	stored, exists := s.leaving.get(id)
	switch {
	case !exists || record.term > stored.term:
		s.leaving.put(id, record)
	case record.term == stored.term && record.at.Before(stored.at):
		s.leaving.set(id, record)
	}
}

// LeavingSince returns when an endpoint was first reported as leaving in its current
// term, and whether it was.
func (s *State) LeavingSince(id string) (time.Time, bool) {
	record, reported := s.leaving.get(id)
	return record.at, reported
}

// SetDemotion records the demotion that this entry decided for an endpoint, as a
// fraction from 0 to 1. The sequence must increase from call to call.
func (s *State) SetDemotion(now time.Time, endpoint string, demotion float64, sequence int64) {
	news := &peerpb.Outlier{Endpoint: endpoint, Demotion: int32(demotion * perMille), Entry: s.self.Id, Sequence: sequence}
	s.mergeOutlier(now, news)
}

// perMille converts between fractions and thousandths.
const perMille = 1000

// Demotion returns the newest demotion of an endpoint, from 0 to 1.
func (s *State) Demotion(endpoint string) float64 {
	newest, _ := s.outliers.get(endpoint)
	return float64(newest.news.GetDemotion()) / perMille
}

// Demoted calls visit with each endpoint that has a demotion, from 0 to 1.
func (s *State) Demoted(visit func(endpoint string, demotion float64)) {
	s.outliers.each(func(key string, o outlier) { visit(key, float64(o.news.Demotion)/perMille) })
}

// SetVersion raises the newest version and the floor of a model. It reports whether
// either changed.
func (s *State) SetVersion(model string, newest, floor int64) bool {
	return s.mergeVersion(&peerpb.ModelVersion{Model: model, Newest: newest, Floor: floor})
}

// Versions calls visit with the versions of each model.
func (s *State) Versions(visit func(model string, newest, floor int64)) {
	s.versions.each(func(key string, v *peerpb.ModelVersion) { visit(key, v.Newest, v.Floor) })
}

// SetDigest replaces this entry's digest of one class if the sequence is higher.
func (s *State) SetDigest(now time.Time, news *peerpb.ClassDigest) {
	news.Entry = s.self.Id
	s.mergeDigest(now, news)
}

// Digest holds the figures of one entry for one class, and their age.
type Digest struct {
	News *peerpb.ClassDigest
	Age  time.Duration
}

// Digests returns the stored digests of all entries. Tick drops those older than
// digestRetention.
func (s *State) Digests(now time.Time) []Digest {
	collected := make([]Digest, 0, s.digests.len())
	s.digests.each(func(_ string, d digest) { collected = append(collected, Digest{News: d.news, Age: now.Sub(d.at)}) })
	return collected
}

// Tick starts a round: it raises the heartbeat and drops expired items.
func (s *State) Tick(now time.Time) {
	s.round++
	s.self.Heartbeat++
	s.dropExpired(now)
}

func (s *State) dropExpired(now time.Time) {
	s.leaving.each(func(key string, record leaveRecord) {
		if now.Sub(record.at) > leavingRetention {
			s.leaving.remove(key)
		}
	})
	s.outliers.each(func(key string, o outlier) {
		if now.Sub(o.at) > outlierRetention {
			s.outliers.remove(key)
		}
	})
	s.digests.each(func(key string, d digest) {
		if now.Sub(d.at) > digestRetention {
			s.digests.remove(key)
		}
	})
	s.members.each(func(key string, m *member) {
		if s.expired(now, m) && now.Sub(m.changedAt) > 2*memberRetention {
			s.members.remove(key)
		}
	})
}
