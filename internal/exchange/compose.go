package exchange

import (
	"math/bits"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/peer/peerpb"
	"google.golang.org/protobuf/proto"
)

// Limits and sizes of one message.
const (
	// itemOverhead is the size of the tag and length of one list item, in bytes.
	itemOverhead = 2
	// maxSuspectItems bounds the suspected requests in one message.
	maxSuspectItems = 4
	// spreadFactor determines how long an item counts as fresh: until it was sent
	// spreadFactor times the binary logarithm of the number of entries.
	spreadFactor = 3
)

// Request returns the news that starts an exchange with a peer. It contains the class
// document only if the peer is known to be behind, because otherwise most peers would
// already have the document.
func (s *State) Request(now time.Time, to Member) *peerpb.News {
	news := s.compose(now, true)
	if to.Behind {
		news.Config = s.config.data
	}
	news.WantDigests = to.WantDigests
	return news
}

// Reply returns the news that answers the news received from a peer.
func (s *State) Reply(now time.Time, received *peerpb.News) *peerpb.News {
	digest, _ := s.membershipDigest(now)
	news := s.compose(now, received.PeersDigest != digest)
	if received.ConfigRevision < s.config.revision {
		news.Config = s.config.data
	}
	if received.WantDigests {
		news.Digests = s.ownDigests(now)
	}
	return news
}

// ownDigests returns copies of this entry's digests of all classes, with their age.
func (s *State) ownDigests(now time.Time) []*peerpb.ClassDigest {
	var own []*peerpb.ClassDigest
	s.digests.each(func(_ string, d digest) {
		if d.news.Entry == s.self.Id {
			item := proto.Clone(d.news).(*peerpb.ClassDigest)
			item.AgeMs = now.Sub(d.at).Milliseconds()
			own = append(own, item)
		}
	})
	return own
}

// compose fills a message with fresh items up to the body budget, and then with items
// of any age up to the idle budget. Members that are not fresh are included only if
// peers is set.
func (s *State) compose(now time.Time, peers bool) *peerpb.News {
	news := s.header(now)
	c := composer{state: s, news: news, now: now, remaining: s.options.BodyBudget - proto.Size(news)}
	freshSends := spreadFactor * bits.Len(uint(s.members.len()+1))
	c.suspects()
	c.leaving(freshSends)
	c.versions(freshSends)
	c.outliers(freshSends)
	c.members(freshSends)
	const unlimited = int(^uint(0) >> 1)
	c.remaining = min(c.remaining, s.options.IdleBudget)
	if peers {
		c.members(unlimited)
	}
	c.digests(unlimited)
	c.leaving(unlimited)
	c.versions(unlimited)
	return news
}

func (s *State) header(now time.Time) *peerpb.News {
	digest, known := s.membershipDigest(now)
	configAge := int64(-1)
	if !s.config.confirmedAt.IsZero() {
		configAge = now.Sub(s.config.confirmedAt).Milliseconds()
	}
	return &peerpb.News{
		From:           s.self.Id,
		Incarnation:    s.self.Incarnation,
		ConfigRevision: s.config.revision,
		ConfigAgeMs:    configAge,
		PeersDigest:    digest,
		PeersKnown:     known,
		Peers:          []*peerpb.PeerSeen{proto.Clone(s.self).(*peerpb.PeerSeen)},
	}
}

// composer adds items to one message until its size budget is used up.
type composer struct {
	state     *State
	news      *peerpb.News
	now       time.Time
	remaining int // bytes
	// inMessage holds the keys of the items in the message, since a later pass may
	// offer an item again.
	inMessage map[string]bool
}

// reserve reserves the size of an item within the remaining budget. add reports
// whether to add the item, and proceed whether to offer further items. Both are false
// if the item does not fit or is already in the message.
func (c *composer) reserve(kind, key string, item proto.Message) (add, proceed bool) {
	id := kind + key
	if c.inMessage[id] {
		return false, false
	}
	size := proto.Size(item) + itemOverhead
	if size > c.remaining {
		return false, false
	}
	if c.inMessage == nil {
		c.inMessage = map[string]bool{}
	}
	c.remaining -= size
	c.inMessage[id] = true
	return true, true
}

func (c *composer) suspects() {
	if c.state.options.Suspects == nil {
		return
	}
	for _, suspect := range c.state.options.Suspects.News(maxSuspectItems) {
		if add, _ := c.reserve("s", string(suspect.Fingerprint), suspect); add {
			c.news.Suspects = append(c.news.Suspects, suspect)
		}
	}
}

func (c *composer) leaving(maxSent int) {
	c.state.leaving.offer(maxSent, func(key string, record leaveRecord) bool {
		item := &peerpb.Leaving{Endpoint: key, AgeMs: c.now.Sub(record.at).Milliseconds(), Term: record.term}
		add, proceed := c.reserve("l", key, item)
		if add {
			c.news.Leaving = append(c.news.Leaving, item)
		}
		return proceed
	})
}

func (c *composer) versions(maxSent int) {
	c.state.versions.offer(maxSent, func(key string, item *peerpb.ModelVersion) bool {
		add, proceed := c.reserve("v", key, item)
		if add {
			c.news.Versions = append(c.news.Versions, item)
		}
		return proceed
	})
}

func (c *composer) outliers(maxSent int) {
	c.state.outliers.offer(maxSent, func(key string, o outlier) bool {
		item := proto.Clone(o.news).(*peerpb.Outlier)
		item.AgeMs = c.now.Sub(o.at).Milliseconds()
		add, proceed := c.reserve("o", key, item)
		if add {
			c.news.Outliers = append(c.news.Outliers, item)
		}
		return proceed
	})
}

func (c *composer) members(maxSent int) {
	c.state.members.offer(maxSent, func(key string, m *member) bool {
		if c.state.expired(c.now, m) {
			return true
		}
		add, proceed := c.reserve("m", key, m.seen)
		if add {
			c.news.Peers = append(c.news.Peers, m.seen)
		}
		return proceed
	})
}

func (c *composer) digests(maxSent int) {
	c.state.digests.offer(maxSent, func(key string, d digest) bool {
		item := proto.Clone(d.news).(*peerpb.ClassDigest)
		item.AgeMs = c.now.Sub(d.at).Milliseconds()
		add, proceed := c.reserve("d", key, item)
		if add {
			c.news.Digests = append(c.news.Digests, item)
		}
		return proceed
	})
}
