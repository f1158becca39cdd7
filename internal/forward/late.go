package forward

import (
	"time"

	"github.com/comfreyfront/comfreyfront/internal/call"
	"github.com/comfreyfront/comfreyfront/internal/concurrency"
	"github.com/comfreyfront/comfreyfront/internal/fleet"
)

const (
	// probeSlack is the multiple of the usual time that the target latency must allow for a
	// request to try an endpoint that is believed to be slow: a second attempt answers in
	// time.
	probeSlack = 4
	// lateHedge is when a request is hedged whose first endpoint is expected to miss the
	// target latency, as a multiple of the usual time.
	lateHedge = 1.25
	// noHedge is the delay of a hedge on a route without a target latency; no request is waited
	// for that long.
	noHedge = time.Hour
)

// kind returns the kind under which the service's usual times are kept.
func (x *requestRun) kind(service string) concurrency.Kind {
	return concurrency.Kind{Service: service, Route: x.route.Name}
}

// hedges reports whether the request may be sent to a second endpoint while the first one
// has it.
func (x *requestRun) hedges() bool {
	return x.route.Repeatable() && x.route.MaxAttempts > 1 && x.route.Target > 0
}

// work describes the next attempt for the choice of an endpoint.
func (x *requestRun) work(service string) fleet.Work {
	w := fleet.Work{Tried: x.tried, Zone: x.service.Zone}
	if len(x.tried) == 0 && x.hedges() {
		usual, known := x.service.Usual.Of(x.kind(service))
		w.MayProbe = known && probeSlack*usual <= x.route.Target
	}
	return w
}

// hedgeAfter returns the time after which the request is sent to a second endpoint: a
// fraction of the target latency, or less if the first endpoint is expected to miss the
// target and another one to meet it.
func (x *requestRun) hedgeAfter() time.Duration {
	if x.route.Target <= 0 {
		return noHedge
	}
	after := time.Duration(hedgeFraction * float64(x.route.Target))
	if x.first == nil || !x.hedges() {
		return after
	}
	usual, known := x.service.Usual.Of(x.kind(x.first.Service))
	if !known || !x.expectedLate(x.first, usual) {
		return after
	}
	second, ok := fleet.Choose(x.service.Directory.Of(x.first.Service), fleet.Work{Tried: x.tried, Zone: x.service.Zone}, time.Now())
	if !ok || x.expectedLate(second, usual) {
		return after
	}
	return min(after, time.Duration(lateHedge*float64(usual)))
}

// expectedLate reports whether an endpoint is expected to answer after the target latency.
func (x *requestRun) expectedLate(e *fleet.Endpoint, usual time.Duration) bool {
	multiple, known := e.Multiple(time.Now())
	return known && multiple*float64(usual) > float64(x.route.Target)
}

// measurement is one call of an endpoint while it runs.
type measurement struct {
	service  *Service
	endpoint *fleet.Endpoint
	kind     concurrency.Kind
	began    time.Time
	// inFlight is the number of calls in flight at the endpoint when this one began.
	inFlight int64
	// done ends the count of this call as one in flight.
	done func()
}

// measure counts a call in flight and starts its measurement.
func (s *Service) measure(e *fleet.Endpoint, kind concurrency.Kind) measurement {
	now := time.Now()
	m := measurement{service: s, endpoint: e, kind: kind, began: now, done: e.Live.Begin()}
	m.inFlight = e.Live.TotalInFlight(now)
	return m
}

// end ends the measurement and adds it to the endpoint's estimate. A call that was given up
// took at least as long as it was waited for.
func (m measurement) end(answer *call.Answer, err error) {
	now := time.Now()
	live := m.endpoint.Live
	// The load during the call is taken as the mean of the loads at its ends.
	inFlight := float64(m.inFlight+live.TotalInFlight(now)) / 2
	m.done()
	slots := m.endpoint.SlotCount()
	switch {
	case err == nil && answer.Status < 500 && answer.Stamp != "":
		if multiple, known := m.service.Usual.Observe(m.kind, now.Sub(m.began), now); known {
			live.Estimate.Observe(multiple, inFlight, slots, now)
		}
	case call.Is(err, call.ErrFull):
		live.Estimate.ObserveRefusal(inFlight, now)
	case call.Is(err, call.ErrEnded):
		if usual, known := m.service.Usual.Of(m.kind); known {
			live.Estimate.ObserveAtLeast(now.Sub(m.began).Seconds()/usual.Seconds(), inFlight, slots, now)
		}
	}
}
