package policy

import (
	"time"

	"github.com/comfreyfront/comfreyfront/internal/endpoint"
)

// Crossing adds the cost of leaving the entry's failure domain or region, as
// if it were time: the links are slow, and they cost money.
type Crossing struct {
	FailureDomain string
	Region        string
	// DomainCost and RegionCost are added for work that leaves them.
	DomainCost time.Duration
	RegionCost time.Duration
}

// Score implements Scorer.
func (c Crossing) Score(e *endpoint.Endpoint, _ *Work) float64 {
	switch {
	case e.Region != c.Region:
		return float64(c.RegionCost)
	case e.FailureDomain != c.FailureDomain:
		return float64(c.DomainCost)
	}
	return 0
}
