package exchange

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/comfreyfront/comfreyfront/internal/peer/peerpb"
	"google.golang.org/protobuf/proto"
)

// member holds the state of another entry.
type member struct {
	seen *peerpb.PeerSeen
	// changedAt is when the entry started, left, became suspected or was cleared of
	// suspicion.
	changedAt time.Time
	// refused reports whether the entry refused connections from this one, so that
	// nothing listens at its address, and has since neither answered nor contacted this
	// entry nor restarted.
	refused bool
}

// leavingOrDead reports whether a member is leaving or dead.
func (m *member) leavingOrDead(now time.Time, suspicion time.Duration) bool {
	return m.seen.Leaving || m.dead(now, suspicion)
}

// dead reports whether a member refuses connections or has been suspected for at
// least the suspicion time.
func (m *member) dead(now time.Time, suspicion time.Duration) bool {
	return m.refused || m.seen.Suspected && now.Sub(m.changedAt) >= suspicion
}

// expired reports whether a member has been leaving or dead for longer than
// memberRetention, after which it is no longer sent to peers.
func (s *State) expired(now time.Time, m *member) bool {
	return m.leavingOrDead(now, s.options.SuspicionTime) && now.Sub(m.changedAt) > memberRetention
}

// Member describes an entry as the exchange knows it.
type Member struct {
	ID, Address, FailureDomain  string
	Incarnation, ConfigRevision int64
	Leaving, Suspected          bool
	// Behind reports whether its last reply named an older class document than this
	// entry's.
	Behind bool
	// WantDigests makes the request ask for all of the member's own class digests.
	WantDigests bool
}

func memberOf(seen *peerpb.PeerSeen) Member {
	return Member{
		ID: seen.Id, Address: seen.Address, FailureDomain: seen.FailureDomain, Incarnation: seen.Incarnation,
		ConfigRevision: seen.ConfigRevision, Leaving: seen.Leaving, Suspected: seen.Suspected,
	}
}

// Self returns this entry as its peers see it.
func (s *State) Self() Member {
	return memberOf(s.self)
}

// Live returns the other entries that are neither dead nor leaving, in order of ID.
func (s *State) Live(now time.Time) []Member {
	return s.membersWhere(func(m *member) bool { return !m.leavingOrDead(now, s.options.SuspicionTime) })
}

// Reachable returns the other entries that are not dead, in order of ID. It includes
// leaving entries, which still own what they have not handed over.
func (s *State) Reachable(now time.Time) []Member {
	return s.membersWhere(func(m *member) bool { return !m.dead(now, s.options.SuspicionTime) })
}

// Dead returns the known entries that are dead, in order of ID.
func (s *State) Dead(now time.Time) []Member {
	return s.membersWhere(func(m *member) bool { return m.dead(now, s.options.SuspicionTime) })
}

// membersWhere returns the members that match a predicate, in order of ID.
func (s *State) membersWhere(matches func(*member) bool) []Member {
	var chosen []Member
	s.members.each(func(_ string, m *member) {
		if matches(m) {
			chosen = append(chosen, memberOf(m.seen))
		}
	})
	slices.SortFunc(chosen, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return chosen
}

// join merges two records of one entry. The record with the higher incarnation
// replaces the other. Within one incarnation, the record with the higher heartbeat
// determines suspicion, suspicion wins at equal heartbeats, and leaving is final.
func join(a, b *peerpb.PeerSeen) *peerpb.PeerSeen {
	if a.Incarnation != b.Incarnation {
		return choose(a, b, a.Incarnation > b.Incarnation)
	}
	joined := proto.Clone(choose(a, b, a.Heartbeat >= b.Heartbeat)).(*peerpb.PeerSeen)
	if a.Heartbeat == b.Heartbeat {
		joined.Suspected = a.Suspected || b.Suspected
	}
	joined.Leaving = a.Leaving || b.Leaving
	joined.ConfigRevision = max(a.ConfigRevision, b.ConfigRevision)
	return joined
}

// choose returns a if first is set, and b otherwise.
func choose(a, b *peerpb.PeerSeen, first bool) *peerpb.PeerSeen {
	if first {
		return a
	}
	return b
}

func (s *State) mergeMember(now time.Time, seen *peerpb.PeerSeen) {
	if seen.Id == s.self.Id {
		s.refute(seen)
		return
	}
	stored, exists := s.members.get(seen.Id)
	if !exists {
		if s.members.len() < maxMembers {
			s.members.put(seen.Id, &member{seen: seen, changedAt: now})
		}
		return
	}
	joined := join(stored.seen, seen)
	refuted := seen.Suspected && !joined.Suspected
	refused := stored.refused && joined.Incarnation == stored.seen.Incarnation
	if sameStatus(stored.seen, joined) && !refuted {
		s.members.set(seen.Id, &member{seen: joined, changedAt: stored.changedAt, refused: refused})
		return
	}
	if joined.Suspected && !stored.seen.Suspected && !slices.Contains(s.retry, seen.Id) {
		s.retry = append(s.retry, seen.Id) // verify the suspicion in the next round
	}
	// A record that refutes a suspicion counts as fresh, so that the reply includes it.
	s.members.put(seen.Id, &member{seen: joined, changedAt: now, refused: refused})
}

func sameStatus(a, b *peerpb.PeerSeen) bool {
	return a.Incarnation == b.Incarnation && a.Suspected == b.Suspected && a.Leaving == b.Leaving
}

// refute overrides a record of this entry that a peer sent: it raises the heartbeat
// above that of a record of this run, and the incarnation above that of a record of
// a previous run.
func (s *State) refute(seen *peerpb.PeerSeen) {
	previousRun := seen.Incarnation > s.self.Incarnation || seen.Incarnation == s.self.Incarnation && seen.Leaving && !s.self.Leaving
	if previousRun {
		s.self.Incarnation = seen.Incarnation + 1
		s.self.Heartbeat = 1
		return
	}
	if seen.Incarnation == s.self.Incarnation && seen.Heartbeat >= s.self.Heartbeat {
		s.self.Heartbeat = seen.Heartbeat + 1
	}
}

// Failed records that an exchange with a member failed. After two consecutive
// failures the member is suspected.
func (s *State) Failed(now time.Time, id string) {
	stored, exists := s.members.get(id)
	if !exists || stored.seen.Suspected {
		return
	}
	if !slices.Contains(s.retry, id) {
		s.retry = append(s.retry, id)
		return
	}
	s.clearRetry(id)
	suspected := proto.Clone(stored.seen).(*peerpb.PeerSeen)
	suspected.Suspected = true
	s.members.put(id, &member{seen: suspected, changedAt: now})
}

// Refused records that a member's instance refused the connection, so no process
// listens there. After two consecutive refusals, or one if the member is suspected,
// the member counts as dead at once until it contacts or answers this entry, or
// restarts with a higher incarnation. A higher heartbeat that peers pass on does not
// revive it, since they may have received it shortly before the member died.
func (s *State) Refused(now time.Time, id string) {
	stored, exists := s.members.get(id)
	if !exists || stored.leavingOrDead(now, s.options.SuspicionTime) {
		return
	}
	if !stored.seen.Suspected && !slices.Contains(s.retry, id) {
		s.retry = append(s.retry, id)
		return
	}
	s.clearRetry(id)
	suspected := proto.Clone(stored.seen).(*peerpb.PeerSeen)
	suspected.Suspected = true
	s.members.put(id, &member{seen: suspected, changedAt: now, refused: true})
}

// clearRetry removes a member from those that are contacted first in the next round.
func (s *State) clearRetry(id string) {
	s.retry = slices.DeleteFunc(s.retry, func(other string) bool { return other == id })
}

// Answered records that a member itself answered or contacted this entry.
func (s *State) Answered(id string) {
	s.clearRetry(id)
	if stored, exists := s.members.get(id); exists {
		stored.refused = false
	}
}

// healRounds is the number of rounds after which one exchange goes to an entry that
// is leaving or counts as dead, so that the two sides of a healed partition find each other.
const healRounds = 8

// Targets selects the members for this round's exchanges: at most n live ones, those
// to retry first and then random ones. Every healRounds rounds, or in every round if no
// member is live, it adds one that is leaving or dead.
func (s *State) Targets(now time.Time, n int, random *rand.Rand) []Member {
	live, leavingOrDead := s.split(now)
	random.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	slices.SortStableFunc(live, func(a, b Member) int { return cmp.Compare(s.retryRank(a), s.retryRank(b)) })
	targets := live[:min(n, len(live))]
	if len(leavingOrDead) > 0 && (s.round%healRounds == 0 || len(live) == 0) {
		targets = append(slices.Clone(targets), leavingOrDead[random.IntN(len(leavingOrDead))])
	}
	return targets
}

// retryRank returns a sort key that puts members to retry before the others.
func (s *State) retryRank(m Member) int {
	if slices.Contains(s.retry, m.ID) {
		return 0
	}
	return 1
}

func (s *State) split(now time.Time) (live, leavingOrDead []Member) {
	leavingOrDead = s.membersWhere(func(m *member) bool { return m.leavingOrDead(now, s.options.SuspicionTime) })
	return s.Live(now), leavingOrDead
}

// membershipDigest returns a hash of the known entries with their incarnations and
// statuses, and their number.
func (s *State) membershipDigest(now time.Time) (digest uint64, known int32) {
	digest, known = memberHash(s.self), 1
	s.members.each(func(_ string, m *member) {
		if !s.expired(now, m) {
			digest ^= memberHash(m.seen)
			known++
		}
	})
	return digest, known
}

func memberHash(seen *peerpb.PeerSeen) uint64 {
	status := byte(0)
	if seen.Leaving {
		status |= 1
	}
	if seen.Suspected {
		status |= 2
	}
	var hash xxhash.Digest
	hash.Reset()
	_, _ = hash.WriteString(seen.Id)
	_, _ = hash.Write([]byte{0, status, byte(seen.Incarnation), byte(seen.Incarnation >> 8), byte(seen.Incarnation >> 16), byte(seen.Incarnation >> 24), byte(seen.Incarnation >> 32), byte(seen.Incarnation >> 40)})
	return hash.Sum64()
}

// Knows reports whether an entry is known.
func (s *State) Knows(id string) bool {
	_, known := s.members.get(id)
	return known
}
