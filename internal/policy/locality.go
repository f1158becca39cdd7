package policy

import (
	"time"

	"github.com/comfreyfront/comfreyfront/internal/endpoint"
)

// Locality adds the cost of leaving the entry's failure domain or region, expressed
// as time, because these links are slow and their traffic costs money.
type Locality struct {
	FailureDomain string
	Region        string
	// DomainCost and RegionCost are added for work that leaves the failure domain or
	// the region.
	DomainCost time.Duration
	RegionCost time.Duration
}

// Score implements Scorer.
func (c Locality) Score(e *endpoint.Endpoint, _ *Work) float64 {
	switch {
	case e.Region != c.Region:
		return float64(c.RegionCost)
	case e.FailureDomain != c.FailureDomain:
		return float64(c.DomainCost)
	}
	return 0
}
