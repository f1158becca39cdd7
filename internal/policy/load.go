package policy

import "github.com/comfreyfront/comfreyfront/internal/endpoint"

// defaultSlots stands in for the slots of an endpoint that has not reported.
const defaultSlots = 8

// reportWeight is the weight of late load reports against the entry's own work.
const reportWeight = 0.25

// held is what the endpoint's last report, which is late, tells it holds,
// brought up to date by what this entry has sent and seen end since.
func held(e *endpoint.Endpoint) float64 {
	own := e.Live.InFlight.Load()
	reported := int64(e.Running + e.Waiting)
	return float64(max(reported+own-int64(e.OwnInFlight), own))
}

// load estimates how many requests the endpoint holds. Entries that all follow
// the same late reports would send to the same endpoint at once, so the entry
// mostly takes its own work as a sample of that of all sharers.
func load(e *endpoint.Endpoint, sharers float64) float64 {
	own := float64(e.Live.InFlight.Load())
	return (1-reportWeight)*own*sharers + reportWeight*held(e)
}

func slots(e *endpoint.Endpoint) float64 {
	if e.Slots > 0 {
		return float64(e.Slots)
	}
	return defaultSlots
}
