package submission

import (
	"time"

	"github.com/comfreyfront/comfreyfront/internal/fleet"
)

// observeGap records the time between two events of a run on an engine; usual is the median
// of that time over the service's engines. The common influence of the load goes into slope, and
// what this engine slows down beyond it into the engine's own estimate.
func observeGap(e *fleet.Endpoint, gap, usual time.Duration, slope *fleet.LoadSlope, now time.Time) {
	live := e.Live
	runs, slots := int(live.InFlight()), slotsOf(e)
	own := live.Estimate.State(slots, now).Factor(float64(runs))
	live.Pace.Observe(time.Duration(float64(gap)/own), runs, slope, now)
	live.Estimate.Observe(gap.Seconds()/usual.Seconds()/slope.Factor(runs), float64(runs), slots, now)
}
