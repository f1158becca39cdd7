package exchange

import (
	"time"

	"github.com/comfreyfront/comfreyfront/internal/peer/peerpb"
)

// Limits on the news that is accepted and stored.
const (
	maxListItems   = 1024
	maxTextBytes   = 256
	maxConfigBytes = 1 << 18
	maxMembers     = 4096
	maxLeaving     = 16384
	maxOutliers    = 4096
	maxModels      = 1024
	maxDigests     = 32768
)

// Config is an encoded class document received from a peer.
type Config struct {
	Revision int64
	Data     []byte
}

// Receive merges the news of a peer. If the news is invalid, it fails with ErrInvalid
// and merges nothing. A newer class document is returned and not adopted; the caller
// adopts it with SetConfig after decoding it.
func (s *State) Receive(now time.Time, news *peerpb.News) (*Config, error) {
	if err := check(news); err != nil {
		return nil, err
	}
	s.Answered(news.From)
	for _, seen := range news.Peers {
		s.mergeMember(now, seen)
	}
	for _, l := range news.Leaving {
		s.mergeLeaving(now, l)
	}
	for _, o := range news.Outliers {
		if age(o.AgeMs) <= outlierRetention {
			s.mergeOutlier(now.Add(-age(o.AgeMs)), o)
		}
	}
	for _, v := range news.Versions {
		s.mergeVersion(v)
	}
	for _, d := range news.Digests {
		if age(d.AgeMs) > digestRetention {
			continue
		}
		s.mergeDigest(now.Add(-age(d.AgeMs)), d)
	}
	if s.options.Suspects != nil && len(news.Suspects) > 0 {
		s.options.Suspects.Merge(news.Suspects)
	}
	if news.ConfigRevision > s.config.revision && len(news.Config) > 0 {
		return &Config{Revision: news.ConfigRevision, Data: news.Config}, nil
	}
	return nil, nil
}

func (s *State) mergeLeaving(now time.Time, news *peerpb.Leaving) {
	since := age(news.AgeMs)
	if since <= leavingRetention && s.leaving.len() < maxLeaving {
		s.mergeLeaveRecord(news.Endpoint, leaveRecord{at: now.Add(-since), term: news.Term})
	}
}

// mergeOutlier keeps the demotion with the highest (sequence, entry, demotion).
func (s *State) mergeOutlier(at time.Time, news *peerpb.Outlier) {
	stored, exists := s.outliers.get(news.Endpoint)
	if exists && !supersedes(news, stored.news) || !exists && s.outliers.len() >= maxOutliers {
		return
	}
	s.outliers.put(news.Endpoint, outlier{news: news, at: at})
}

// supersedes reports whether demotion a replaces demotion b of the same endpoint.
func supersedes(a, b *peerpb.Outlier) bool {
	if a.Sequence != b.Sequence {
		return a.Sequence > b.Sequence
	}
	if a.Entry != b.Entry {
		return a.Entry > b.Entry
	}
	return a.Demotion > b.Demotion
}

func (s *State) mergeVersion(news *peerpb.ModelVersion) bool {
	stored, exists := s.versions.get(news.Model)
	if !exists && s.versions.len() >= maxModels {
		return false
	}
	if exists && news.Newest <= stored.Newest && news.Floor <= stored.Floor {
		return false
	}
	raised := &peerpb.ModelVersion{Model: news.Model, Newest: max(news.Newest, stored.GetNewest()), Floor: max(news.Floor, stored.GetFloor())}
	s.versions.put(news.Model, raised)
	return true
}

func (s *State) mergeDigest(at time.Time, news *peerpb.ClassDigest) {
	key := news.Entry + "\x00" + news.Class
	stored, exists := s.digests.get(key)
	if exists && news.Sequence <= stored.news.Sequence || !exists && s.digests.len() >= maxDigests {
		return
	}
	s.digests.put(key, digest{news: news, at: at})
}

// age converts an age in milliseconds from a message to a duration, limited to 0 to
// 1 hour.
func age(millis int64) time.Duration {
	const maxAge = time.Hour
	return time.Duration(min(max(millis, 0), maxAge.Milliseconds())) * time.Millisecond
}

func check(news *peerpb.News) error {
	if news == nil || news.From == "" {
		return ErrInvalid.New("news without a sender")
	}
	items := max(len(news.Peers), len(news.Leaving), len(news.Outliers), len(news.Suspects), len(news.Versions), len(news.Digests))
	if items > maxListItems {
		return ErrInvalid.New("list has %d items, limit is %d", items, maxListItems)
	}
	if len(news.Config) > maxConfigBytes {
		return ErrInvalid.New("class document has %d bytes, limit is %d", len(news.Config), maxConfigBytes)
	}
	for _, text := range textFields(news) {
		if text == "" || len(text) > maxTextBytes {
			return ErrInvalid.New("name has %d bytes, must have 1 to %d", len(text), maxTextBytes)
		}
	}
	return nil
}

func textFields(news *peerpb.News) []string {
	texts := []string{news.From}
	for _, p := range news.Peers {
		texts = append(texts, p.GetId(), p.GetAddress())
	}
	for _, l := range news.Leaving {
		texts = append(texts, l.GetEndpoint())
	}
	for _, o := range news.Outliers {
		texts = append(texts, o.GetEndpoint(), o.GetEntry())
	}
	for _, v := range news.Versions {
		texts = append(texts, v.GetModel())
	}
	for _, d := range news.Digests {
		if age(d.AgeMs) > digestRetention {
			continue
		}
		texts = append(texts, d.GetEntry(), d.GetClass())
	}
	return texts
}
