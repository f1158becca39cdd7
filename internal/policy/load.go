package policy

import "github.com/comfreyfront/comfreyfront/internal/endpoint"

// defaultSlots stands in for the slots of an endpoint that has not reported.
const defaultSlots = 8

// load estimates how many requests the endpoint holds: its last report, which
// is late, brought up to date by what this entry has sent and seen end since.
func load(e *endpoint.Endpoint) float64 {
	own := e.Live.InFlight.Load()
	reported := int64(e.Running + e.Waiting)
	total := reported + own - int64(e.OwnInFlight)
	return float64(max(total, own))
}

func slots(e *endpoint.Endpoint) float64 {
	if e.Slots > 0 {
		return float64(e.Slots)
	}
	return defaultSlots
}
