package policy

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/endpoint"
)

var testNow = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

func seeded(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, seed)) }

// fleet returns n identical engines with 8 slots each, spread over four failure domains.
func fleet(n int) []*endpoint.Endpoint {
	endpoints := make([]*endpoint.Endpoint, n)
	for i := range endpoints {
		endpoints[i] = &endpoint.Endpoint{
			ID:            fmt.Sprintf("engine-%05d", i),
			Serves:        "drafting",
			FailureDomain: fmt.Sprintf("domain-%d", i%4),
			Region:        "region-0",
			Slots:         8,
			ActiveVersion: 3,
			Live:          &endpoint.Live{},
		}
	}
	return endpoints
}

// setReportedLoad puts n requests of this entry in flight at an endpoint, all of them
// included in the endpoint's last report.
func setReportedLoad(e *endpoint.Endpoint, n int) {
	e.Running, e.OwnInFlight = n, n
	e.Live.InFlight.Store(int64(n))
	e.Live.InFlightTokens.Store(int64(100 * n))
}

func chooser() *Chooser {
	locality := Locality{FailureDomain: "domain-0", Region: "region-0", DomainCost: 15 * time.Millisecond, RegionCost: 80 * time.Millisecond}
	return &Chooser{Scorers: []Scorer{CompletionTime{Reserve: 0.125}, locality}}
}
