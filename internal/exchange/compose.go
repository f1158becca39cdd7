package exchange

import (
	"math/bits"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/peer/peerpb"
	"google.golang.org/protobuf/proto"
)

// Amounts of one message.
const (
	// itemOverhead is the tag and length of one item of a list, in bytes.
	itemOverhead = 2
	// maxSuspectItems bounds the suspected requests of one message.
	maxSuspectItems = 4
	// spreadFactor times the logarithm of the number of entries is how often
	// each piece of news is sent on before it counts as old.
	spreadFactor = 3
)

// Request returns the news for a peer that this entry turns to. The class
// document is in it only when the peer is known to be behind: a document sent on
// trust would be there already most of the time.
func (s *State) Request(now time.Time, to Member) *peerpb.News {
	news := s.compose(now, true)
	if to.Behind {
		news.Config = s.config.data
	}
	news.WantDigests = to.WantDigests
	return news
}

// Reply returns the news for a peer that sent the given news.
func (s *State) Reply(now time.Time, received *peerpb.News) *peerpb.News {
	digest, _ := s.view(now)
	news := s.compose(now, received.PeersDigest != digest)
	if received.ConfigRevision < s.config.revision {
		news.Config = s.config.data
	}
	if received.WantDigests {
		news.Digests = s.ownDigests(now)
	}
	return news
}

// ownDigests returns this entry's digests of all classes.
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

// compose fills a message with what is news, up to the body budget, and then
// with old news up to the idle budget.
func (s *State) compose(now time.Time, peers bool) *peerpb.News {
	news := s.head(now)
	c := composer{state: s, news: news, now: now, left: s.options.BodyBudget - proto.Size(news)}
	fresh := spreadFactor * bits.Len(uint(s.members.len()+1))
	c.suspects()
	c.leaving(fresh)
	c.versions(fresh)
	c.outliers(fresh)
	c.members(fresh)
	const always = int(^uint(0) >> 1)
	c.left = min(c.left, s.options.IdleBudget)
	if peers {
		c.members(always)
	}
	c.digests(always)
	c.leaving(always)
	c.versions(always)
	return news
}

func (s *State) head(now time.Time) *peerpb.News {
	digest, known := s.view(now)
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

// composer adds items to one message while there is room.
type composer struct {
	state *State
	news  *peerpb.News
	now   time.Time
	left  int
	// inMessage holds the keys of this message, since one may be taken twice.
	inMessage map[string]bool
}

// fits takes the room of an item if there is enough; an item that is in the
// message already takes none and is not added again.
func (c *composer) fits(kind, key string, item proto.Message) (add, goOn bool) {
	id := kind + key
	if c.inMessage[id] {
		return false, false
	}
	size := proto.Size(item) + itemOverhead
	if size > c.left {
		return false, false
	}
	if c.inMessage == nil {
		c.inMessage = map[string]bool{}
	}
	c.left -= size
	c.inMessage[id] = true
	return true, true
}

func (c *composer) suspects() {
	if c.state.options.Suspects == nil {
		return
	}
	for _, suspect := range c.state.options.Suspects.News(maxSuspectItems) {
		if add, _ := c.fits("s", string(suspect.Fingerprint), suspect); add {
			c.news.Suspects = append(c.news.Suspects, suspect)
		}
	}
}

func (c *composer) leaving(maxSent int) {
	c.state.leaving.take(maxSent, func(key string, word leave) bool {
		item := &peerpb.Leaving{Endpoint: key, AgeMs: c.now.Sub(word.at).Milliseconds(), Term: word.term}
		add, goOn := c.fits("l", key, item)
		if add {
			c.news.Leaving = append(c.news.Leaving, item)
		}
		return goOn
	})
}

func (c *composer) versions(maxSent int) {
	c.state.versions.take(maxSent, func(key string, item *peerpb.ModelVersion) bool {
		add, goOn := c.fits("v", key, item)
		if add {
			c.news.Versions = append(c.news.Versions, item)
		}
		return goOn
	})
}

func (c *composer) outliers(maxSent int) {
	c.state.outliers.take(maxSent, func(key string, o outlier) bool {
		item := proto.Clone(o.news).(*peerpb.Outlier)
		item.AgeMs = c.now.Sub(o.at).Milliseconds()
		add, goOn := c.fits("o", key, item)
		if add {
			c.news.Outliers = append(c.news.Outliers, item)
		}
		return goOn
	})
}

func (c *composer) members(maxSent int) {
	c.state.members.take(maxSent, func(key string, m *member) bool {
		if c.state.past(c.now, m) {
			return true
		}
		add, goOn := c.fits("m", key, m.seen)
		if add {
			c.news.Peers = append(c.news.Peers, m.seen)
		}
		return goOn
	})
}

func (c *composer) digests(maxSent int) {
	c.state.digests.take(maxSent, func(key string, d digest) bool {
		item := proto.Clone(d.news).(*peerpb.ClassDigest)
		item.AgeMs = c.now.Sub(d.at).Milliseconds()
		add, goOn := c.fits("d", key, item)
		if add {
			c.news.Digests = append(c.news.Digests, item)
		}
		return goOn
	})
}
