// Package adaptive combines the load-aware decisions of package policy into one policy.
package adaptive

import (
	"time"

	"github.com/comfreyfront/comfreyfront/internal/policy"
	"github.com/comfreyfront/comfreyfront/internal/queue"
)

// Options configures the policy. The zero value is ready to use.
type Options struct {
	// FailureDomain and Region locate the entry.
	FailureDomain string
	Region        string
	// DomainCost and RegionCost are the costs of leaving the failure domain and
	// the region, expressed as time; zero selects the defaults.
	DomainCost time.Duration
	RegionCost time.Duration
	// Clock returns the current time; nil means time.Now.
	Clock func() time.Time
}

// Default costs of leaving the entry's failure domain or region.
const (
	DefaultDomainCost = 60 * time.Millisecond
	DefaultRegionCost = 240 * time.Millisecond
)

// New returns the policy and its queue. The caller must call the queue's Refresh with
// each new snapshot.
func New(options Options) (policy.Policy, *queue.Queue) {
	entryCount, lane := &policy.EntryCount{}, &policy.Lane{}
	workQueue := &queue.Queue{Clock: options.Clock, EntryCount: entryCount, Lane: lane}
	return policy.Policy{
		Name:        "adaptive",
		Picker:      newPicker(options, entryCount, lane),
		Admission:   workQueue,
		Retrier:     policy.NewBudgetRetrier(),
		Hedger:      policy.NewQuantileHedger(),
		Prioritizer: policy.SlackPriority{},
	}, workQueue
}

// newPicker returns the picker, which minimizes completion time plus locality cost.
func newPicker(options Options, entryCount *policy.EntryCount, lane *policy.Lane) *policy.Chooser {
	locality := policy.Locality{
		FailureDomain: options.FailureDomain,
		Region:        options.Region,
		DomainCost:    orDefault(options.DomainCost, DefaultDomainCost),
		RegionCost:    orDefault(options.RegionCost, DefaultRegionCost),
	}
	return &policy.Chooser{Lane: lane, Scorers: []policy.Scorer{
		policy.CompletionTime{EntryCount: entryCount, Reserve: queue.ReservedFraction},
		locality,
	}}
}

func orDefault(value, fallback time.Duration) time.Duration {
	if value == 0 {
		return fallback
	}
	return value
}
