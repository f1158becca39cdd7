package fleet

import "time"

// probe returns an endpoint that is believed to be slow, has no request of this node and
// was not observed for a while, if the work can afford to try it. Other work avoids such an
// endpoint, so nothing else would show that it has recovered.
func probe(endpoints []*Endpoint, work Work, now time.Time) (*Endpoint, bool) {
	if !work.MayProbe || len(work.Tried) > 0 {
		return nil, false
	}
	for _, e := range endpoints {
		if e.Leaving() || e.Live.InFlight() > 0 || failureRank(e, now) > 0 {
			continue
		}
		state := e.Live.Estimate.State(e.SlotCount(), now)
		if state.Stale && state.Bad() && e.Live.Estimate.Probe(now) {
			return e, true
		}
	}
	return nil, false
}

// Multiple returns how long a request that is sent to the endpoint now is expected to take,
// as a multiple of the usual time, or false if the endpoint was not observed yet.
func (e *Endpoint) Multiple(now time.Time) (float64, bool) {
	slots := e.SlotCount()
	state := e.Live.Estimate.State(slots, now)
	inFlight := float64(e.Live.TotalInFlight(now)) + 1
	return slowdownPercent(e, state, now) / 100 * state.Factor(inFlight) * max(inFlight/float64(slots), 1), state.Known
}

// Limit returns how many requests in flight the endpoint takes well, from all callers
// together.
func (e *Endpoint) Limit(now time.Time) int {
	return int(e.Live.Estimate.State(e.SlotCount(), now).Limit)
}

// Room returns how many more requests the endpoint takes well now, from all callers
// together.
func (e *Endpoint) Room(now time.Time) int {
	if e.Leaving() || failureRank(e, now) > 0 {
		return 0
	}
	return max(e.Limit(now)-int(e.Live.TotalInFlight(now)), 0)
}

// Room returns how many more requests the endpoints of a service take well now, from all
// callers together. Callers share it: each sees what the others have taken with the next
// load report.
func (d *Directory) Room(service string) int {
	now, room := d.now(), 0
	for _, e := range d.Of(service) {
		room += e.Room(now)
	}
	return room
}
