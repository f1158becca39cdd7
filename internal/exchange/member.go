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

// member is another entry.
type member struct {
	seen *peerpb.PeerSeen
	// changedAt is when it came up, left, or was suspected or cleared.
	changedAt time.Time
	// refused: nothing listens at its address, as far as this entry has seen.
	refused bool
}

// gone reports whether a member counts as left or dead.
func (m *member) gone(now time.Time, suspicion time.Duration) bool {
	return m.seen.Leaving || m.dead(now, suspicion)
}

// dead reports whether a member refuses connections, or has been suspected for
// long enough.
func (m *member) dead(now time.Time, suspicion time.Duration) bool {
	return m.refused || m.seen.Suspected && now.Sub(m.changedAt) >= suspicion
}

// past reports whether a member went so long ago that it is no news any more.
func (s *State) past(now time.Time, m *member) bool {
	return m.gone(now, s.options.SuspicionTime) && now.Sub(m.changedAt) > memberMemory
}

// Member is another entry as the exchange knows it.
type Member struct {
	ID, Address, FailureDomain  string
	Incarnation, ConfigRevision int64
	Leaving, Suspected          bool
	// Behind: its last reply named an older class document than this entry's.
	Behind bool
	// WantDigests: the request asks for all of its own class digests.
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

// Live returns the other entries that are neither dead nor leaving, by ID.
func (s *State) Live(now time.Time) []Member {
	return s.those(func(m *member) bool { return !m.gone(now, s.options.SuspicionTime) })
}

// Reachable returns the other entries that are not dead, by ID: those that are
// leaving still hold what they have not handed over.
func (s *State) Reachable(now time.Time) []Member {
	return s.those(func(m *member) bool { return !m.dead(now, s.options.SuspicionTime) })
}

// Dead returns the entries that were known and have been suspected for long
// enough, by ID. An entry that is not known is not among them.
func (s *State) Dead(now time.Time) []Member {
	return s.those(func(m *member) bool { return m.dead(now, s.options.SuspicionTime) })
}

// those returns the members of a kind, by ID.
func (s *State) those(kind func(*member) bool) []Member {
	var chosen []Member
	s.members.each(func(_ string, m *member) {
		if kind(m) {
			chosen = append(chosen, memberOf(m.seen))
		}
	})
	slices.SortFunc(chosen, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return chosen
}

// join merges two records of one entry: the higher incarnation wins whole;
// within one, the higher heartbeat decides on suspicion, at equal ones
// suspicion wins, and leaving is final.
func join(a, b *peerpb.PeerSeen) *peerpb.PeerSeen {
	if a.Incarnation != b.Incarnation {
		return higher(a, b, a.Incarnation > b.Incarnation)
	}
	joined := proto.Clone(higher(a, b, a.Heartbeat >= b.Heartbeat)).(*peerpb.PeerSeen)
	if a.Heartbeat == b.Heartbeat {
		joined.Suspected = a.Suspected || b.Suspected
	}
	joined.Leaving = a.Leaving || b.Leaving
	joined.ConfigRevision = max(a.ConfigRevision, b.ConfigRevision)
	return joined
}

func higher(a, b *peerpb.PeerSeen, first bool) *peerpb.PeerSeen {
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
	known, exists := s.members.get(seen.Id)
	if !exists {
		if s.members.len() < maxMembers {
			s.members.put(seen.Id, &member{seen: seen, changedAt: now})
		}
		return
	}
	joined := join(known.seen, seen)
	refuted := seen.Suspected && !joined.Suspected
	refused := known.refused && joined.Incarnation == known.seen.Incarnation
	if sameStanding(known.seen, joined) && !refuted {
		s.members.set(seen.Id, &member{seen: joined, changedAt: known.changedAt, refused: refused})
		return
	}
	if joined.Suspected && !known.seen.Suspected && !slices.Contains(s.retry, seen.Id) {
		s.retry = append(s.retry, seen.Id) // look for ourselves in the next round
	}
	// What refutes a suspicion is news again, so that the reply carries it.
	s.members.put(seen.Id, &member{seen: joined, changedAt: now, refused: refused})
}

func sameStanding(a, b *peerpb.PeerSeen) bool {
	return a.Incarnation == b.Incarnation && a.Suspected == b.Suspected && a.Leaving == b.Leaving
}

// refute answers word about this entry itself that it knows better.
func (s *State) refute(seen *peerpb.PeerSeen) {
	stranger := seen.Incarnation > s.self.Incarnation || seen.Incarnation == s.self.Incarnation && seen.Leaving && !s.self.Leaving
	if stranger {
		s.self.Incarnation = seen.Incarnation + 1
		s.self.Heartbeat = 1
		return
	}
	if seen.Incarnation == s.self.Incarnation && seen.Heartbeat >= s.self.Heartbeat {
		s.self.Heartbeat = seen.Heartbeat + 1
	}
}

// Failed records that an exchange with a member failed; after two in a row the
// member is suspected.
func (s *State) Failed(now time.Time, id string) {
	known, exists := s.members.get(id)
	if !exists || known.seen.Suspected {
		return
	}
	if !slices.Contains(s.retry, id) {
		s.retry = append(s.retry, id)
		return
	}
	s.tried(id)
	suspected := proto.Clone(known.seen).(*peerpb.PeerSeen)
	suspected.Suspected = true
	s.members.put(id, &member{seen: suspected, changedAt: now})
}

// Refused records that a member's instance refused the connection, so that no
// process listens there. After two in a row, or one when it is suspected, the
// member counts as dead at once, until it is heard itself: word of others who
// saw it a little later does not bring it back.
func (s *State) Refused(now time.Time, id string) {
	known, exists := s.members.get(id)
	if !exists || known.gone(now, s.options.SuspicionTime) {
		return
	}
	if !known.seen.Suspected && !slices.Contains(s.retry, id) {
		s.retry = append(s.retry, id)
		return
	}
	s.tried(id)
	suspected := proto.Clone(known.seen).(*peerpb.PeerSeen)
	suspected.Suspected = true
	s.members.put(id, &member{seen: suspected, changedAt: now, refused: true})
}

// tried takes a member off those that are looked at in the next round.
func (s *State) tried(id string) {
	s.retry = slices.DeleteFunc(s.retry, func(other string) bool { return other == id })
}

// Answered records that a member was heard itself.
func (s *State) Answered(id string) {
	s.tried(id)
	if known, exists := s.members.get(id); exists {
		known.refused = false
	}
}

// Every healRounds rounds one exchange goes to an entry that counts as gone,
// so that the two sides of a healed partition find each other.
const healRounds = 8

// Targets picks at most n members for this round's exchanges: those that
// failed once first, then random live ones.
func (s *State) Targets(now time.Time, n int, random *rand.Rand) []Member {
	live, gone := s.split(now)
	random.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	slices.SortStableFunc(live, func(a, b Member) int { return cmp.Compare(s.turn(a), s.turn(b)) })
	targets := live[:min(n, len(live))]
	if len(gone) > 0 && (s.round%healRounds == 0 || len(live) == 0) {
		targets = append(slices.Clone(targets), gone[random.IntN(len(gone))])
	}
	return targets
}

// turn sorts members that failed once before the others.
func (s *State) turn(m Member) int {
	if slices.Contains(s.retry, m.ID) {
		return 0
	}
	return 1
}

func (s *State) split(now time.Time) (live, gone []Member) {
	gone = s.those(func(m *member) bool { return m.gone(now, s.options.SuspicionTime) })
	return s.Live(now), gone
}

// view sums up which entries are known in which incarnation and standing.
func (s *State) view(now time.Time) (digest uint64, known int32) {
	digest, known = standingHash(s.self), 1
	s.members.each(func(_ string, m *member) {
		if !s.past(now, m) {
			digest ^= standingHash(m.seen)
			known++
		}
	})
	return digest, known
}

func standingHash(seen *peerpb.PeerSeen) uint64 {
	standing := byte(0)
	if seen.Leaving {
		standing |= 1
	}
	if seen.Suspected {
		standing |= 2
	}
	var hash xxhash.Digest
	hash.Reset()
	_, _ = hash.WriteString(seen.Id)
	_, _ = hash.Write([]byte{0, standing, byte(seen.Incarnation), byte(seen.Incarnation >> 8), byte(seen.Incarnation >> 16), byte(seen.Incarnation >> 24), byte(seen.Incarnation >> 32), byte(seen.Incarnation >> 40)})
	return hash.Sum64()
}

// Knows reports whether an entry was heard of.
func (s *State) Knows(id string) bool {
	_, known := s.members.get(id)
	return known
}
