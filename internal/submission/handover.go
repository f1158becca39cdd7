package submission

import (
	"slices"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/submission/recordpb"
)

// formerLife is how long a node that lost a unit keeps the texts for its next
// owner.
const formerLife = 3 * time.Second

// Texts returns the texts of items that are not listed, for the next owner.
func (o *Owner) Texts() *recordpb.Texts {
	o.mu.Lock()
	defer o.mu.Unlock()
	texts := &recordpb.Texts{}
	for id, i := range o.items {
		if len(i.text.events) == 0 {
			continue
		}
		texts.Texts = append(texts.Texts, &recordpb.Text{
			ItemId: id, Events: slices.Clone(i.text.events), Versions: slices.Clone(i.text.versions), Complete: i.text.complete,
		})
	}
	return texts
}

// Seed takes the texts of the owner before; submissions that are opened later go
// on from them. It is called before Run.
func (o *Owner) Seed(texts *recordpb.Texts) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	for _, t := range texts.GetTexts() {
		o.items[t.GetItemId()] = &item{
			orphanedAt: now,
			text:       text{events: t.GetEvents(), versions: t.GetVersions(), complete: t.GetComplete()},
		}
	}
}

// TextsOf returns the texts of a unit that this node owns or owned just now.
func (s *Service) TextsOf(unit string) *recordpb.Texts {
	s.mu.Lock()
	owner := s.owners[unit]
	if owner == nil {
		owner = s.former[unit]
	}
	s.mu.Unlock()
	if owner == nil {
		return &recordpb.Texts{}
	}
	return owner.Texts()
}

// keepFormer keeps an owner that lost its unit for a while; s.mu is held.
func (s *Service) keepFormer(unit string, owner *Owner) {
	s.former[unit] = owner
	time.AfterFunc(formerLife, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.former[unit] == owner {
			delete(s.former, unit)
		}
	})
}
