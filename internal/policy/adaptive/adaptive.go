// Package adaptive puts the decisions of comfreyfront together to one policy.
package adaptive

import (
	"time"

	"github.com/comfreyfront/comfreyfront/internal/policy"
	"github.com/comfreyfront/comfreyfront/internal/queue"
)

// Options of the policy. The zero value works.
type Options struct {
	// FailureDomain and Region are the entry's.
	FailureDomain string
	Region        string
	// DomainCost and RegionCost are what it costs to leave them, as if it were
	// time; zero takes the defaults.
	DomainCost time.Duration
	RegionCost time.Duration
	// Clock tells the time; nil is time.Now.
	Clock func() time.Time
}

// Default costs of links.
const (
	DefaultDomainCost = 60 * time.Millisecond
	DefaultRegionCost = 240 * time.Millisecond
)

// New returns the policy and its queue, which is to be refreshed with each new
// snapshot.
func New(options Options) (policy.Policy, *queue.Queue) {
	sharers, lane := &policy.EntryCount{}, &policy.Lane{}
	waiting := &queue.Queue{Clock: options.Clock, EntryCount: sharers, Lane: lane}
	return policy.Policy{
		Name:        "adaptive",
		Picker:      newPicker(options, sharers, lane),
		Admission:   waiting,
		Retrier:     policy.NewBudgetRetrier(),
		Hedger:      policy.NewQuantileHedger(),
		Prioritizer: policy.SlackPriority{},
	}, waiting
}

// newPicker returns the endpoint choice.
func newPicker(options Options, sharers *policy.EntryCount, lane *policy.Lane) *policy.Chooser {
	crossing := policy.Locality{
		FailureDomain: options.FailureDomain,
		Region:        options.Region,
		DomainCost:    orDefault(options.DomainCost, DefaultDomainCost),
		RegionCost:    orDefault(options.RegionCost, DefaultRegionCost),
	}
	return &policy.Chooser{Lane: lane, Scorers: []policy.Scorer{
		policy.CompletionTime{EntryCount: sharers, Reserve: queue.ReserveShare},
		crossing,
	}}
}

func orDefault(value, fallback time.Duration) time.Duration {
	if value == 0 {
		return fallback
	}
	return value
}
