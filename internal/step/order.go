package step

import (
	"cmp"

	"github.com/comfreyfront/comfreyfront/internal/step/wire"
)

// Candidate is a sample that is waiting to be started.
type Candidate struct {
	ID wire.SampleID
	// MaxTokens is the maximum length of the sample; GroupSize is the number of
	// samples in its group.
	MaxTokens, GroupSize int
	// Attempts is the number of earlier attempts.
	Attempts int
}

// Order compares two candidates and returns a negative number if a starts before b.
// The result must depend on the two candidates alone.
type Order func(a, b Candidate) int

// LongestFirst orders samples that were already attempted first, since their groups
// are delayed by them, and then those with a higher token limit. Samples of one
// group stay adjacent because they share a prompt prefix.
func LongestFirst(a, b Candidate) int {
	return cmp.Or(
		cmp.Compare(b.Attempts, a.Attempts),
		cmp.Compare(b.MaxTokens, a.MaxTokens),
		cmp.Compare(a.ID.Group, b.ID.Group),
		cmp.Compare(a.ID.Index, b.ID.Index),
	)
}
