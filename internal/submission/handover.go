package submission

import (
	"slices"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/submission/recordpb"
)

// previousOwnerTTL is how long a node that lost a unit keeps its texts for the next
// owner.
const previousOwnerTTL = 3 * time.Second

// Texts returns the texts of the items in memory that have events, for the next owner.
func (o *Owner) Texts() *recordpb.Texts {
	o.mu.Lock()
	defer o.mu.Unlock()
	texts := &recordpb.Texts{}
	for key, i := range o.items {
		if len(i.text.events) == 0 {
			continue
		}
		texts.Texts = append(texts.Texts, &recordpb.Text{
			ItemId: key, Events: slices.Clone(i.text.events), Versions: slices.Clone(i.text.versions), Complete: i.text.complete,
		})
	}
	return texts
}

// Seed stores the texts that the previous owner handed over; items of submissions opened
// later resume from them. It must be called before Run.
func (o *Owner) Seed(texts *recordpb.Texts) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	for _, t := range texts.GetTexts() {
		o.items[t.GetItemId()] = &item{
			orphanedAt: now,
			text:       text{events: t.GetEvents(), bytes: bytesOf(t.GetEvents()), versions: t.GetVersions(), complete: t.GetComplete()},
		}
	}
}

// TextsOf returns the texts of a unit that this node owns or has recently lost.
func (s *Service) TextsOf(unit string) *recordpb.Texts {
	s.mu.Lock()
	owner := s.owners[unit]
	if owner == nil {
		owner = s.previousOwners[unit]
	}
	s.mu.Unlock()
	if owner == nil {
		return &recordpb.Texts{}
	}
	return owner.Texts()
}

// keepPreviousOwner keeps the texts of a lost unit available for previousOwnerTTL. The
// caller holds s.mu.
func (s *Service) keepPreviousOwner(unit string, owner *Owner) {
	s.previousOwners[unit] = owner
	time.AfterFunc(previousOwnerTTL, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.previousOwners[unit] == owner {
			delete(s.previousOwners, unit)
		}
	})
}
