package submission

import (
	"time"

	"github.com/comfreyfront/comfreyfront/internal/fleet"
)

// observeGap records the time between two events of a run on an engine; usual is the usual
// time of the service's engines. What the engine
// slows down beyond the influence of the load that all engines of the service show is part
// of its own estimate.
func observeGap(e *fleet.Endpoint, gap, usual time.Duration, slope *fleet.LoadSlope, now time.Time) {
	live := e.Live
	runs, slots := int(live.InFlight()), slotsOf(e)
	own := live.Estimate.State(slots, now).Factor(float64(runs))
	live.Pace.Observe(time.Duration(float64(gap)/own), runs, slope, now)
	live.Estimate.Observe(gap.Seconds()/usual.Seconds()/slope.Factor(runs), float64(runs), slots, now)
}
