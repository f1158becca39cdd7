package policy

import "github.com/comfreyfront/comfreyfront/internal/endpoint"

// defaultSlots is the number of slots assumed for an endpoint that has not reported its own.
const defaultSlots = 8

// reportWeight is the weight of load reports, which are delayed, in the load estimate. The
// rest of the weight is given to the estimate from the entry's own requests.
const reportWeight = 0.25

// correctedLoad returns the number of requests at the endpoint according to its last
// report, corrected for the requests of this entry that started or ended since then.
func correctedLoad(e *endpoint.Endpoint) float64 {
	own := e.Live.InFlight.Load()
	reported := int64(e.Running + e.Waiting)
	return float64(max(reported+own-int64(e.OwnInFlight), own))
}

// load estimates the number of requests at the endpoint. Entries that all follow the
// same delayed reports would send to the same endpoint at the same time, so the estimate
// mostly extrapolates from this entry's own requests to those of all entries.
func load(e *endpoint.Endpoint, entries float64) float64 {
	own := float64(e.Live.InFlight.Load())
	return (1-reportWeight)*own*entries + reportWeight*correctedLoad(e)
}

func slots(e *endpoint.Endpoint) float64 {
	if e.Slots > 0 {
		return float64(e.Slots)
	}
	return defaultSlots
}
