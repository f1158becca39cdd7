package step

import (
	"cmp"

	"github.com/comfreyfront/comfreyfront/internal/step/wire"
)

// Candidate is a sample that waits to be started.
type Candidate struct {
	ID wire.SampleID
	// MaxTokens bounds the sample; GroupSize is the size of its group.
	MaxTokens, GroupSize int
	// Attempts counts earlier starts.
	Attempts int
}

// Order compares two candidates: negative if a starts before b. It must depend
// on nothing but the two.
type Order func(a, b Candidate) int

// LongestFirst starts what was tried before first, since its group waits for
// it, then groups of longer samples, and keeps the samples of one group, which
// share a prefix, next to each other.
func LongestFirst(a, b Candidate) int {
	return cmp.Or(
		cmp.Compare(b.Attempts, a.Attempts),
		cmp.Compare(b.MaxTokens, a.MaxTokens),
		cmp.Compare(a.ID.Group, b.ID.Group),
		cmp.Compare(a.ID.Index, b.ID.Index),
	)
}
