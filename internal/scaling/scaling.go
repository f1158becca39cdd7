// Package scaling decides how many endpoints of a service are ordered in each failure
// domain, and of which kind. The decision (Planner) is a function of what is given to it
// and of what it decided before; it calls nothing. Controller carries the decision out.
package scaling

import (
	"maps"
	"slices"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/route"
)

// Kind is a kind of endpoint by its price and its certainty.
type Kind int

// The kinds of endpoints.
const (
	// Ordinary endpoints stay until they are ordered away.
	Ordinary Kind = iota
	// Reclaimable endpoints are cheaper. All of a failure domain may be taken away at once,
	// at short notice.
	Reclaimable
)

var kindNames = [...]string{"ordinary", "reclaimable"}

func (k Kind) String() string { return kindNames[k] }

// Group is the endpoints of one kind in one failure domain.
type Group struct {
	Domain string
	Kind   Kind
}

// other returns the group of the other kind in the same failure domain.
func (g Group) other() Group { return Group{g.Domain, Ordinary + Reclaimable - g.Kind} }

// Count is the state of the endpoints of a group.
type Count struct {
	// Ready endpoints take new work; Draining ones are leaving.
	Ready, Draining int
	// Loading is how many of the ready ones load weights now.
	Loading int
	// Busy is the number of requests that run on the ready ones.
	Busy int
}

// Step is the open work of one training step.
type Step struct {
	// Work is the time for which its remaining texts occupy slots.
	Work time.Duration
	// Items is the number of its unfinished items; more slots than that do not help.
	Items int
	// Due is when the step is due.
	Due time.Time
}

// Stream is demand that shares endpoints: the steps of one model, or all requests of a plain
// service.
type Stream struct {
	Steps []Step
	// Arriving is the slot time asked for in each second, on average.
	Arriving float64
	// Interval is the usual time between two steps; zero if there is none.
	Interval time.Duration
	// Open is the number of requests that run or wait, of a plain service.
	Open int
}

// active reports whether anything was asked for.
func (s Stream) active() bool { return len(s.Steps) > 0 || s.Arriving > 0 || s.Open > 0 }

// Input is what a decision is based on.
type Input struct {
	Now    time.Time
	Limits *route.Scaling
	// Home is the failure domain of the node that places the work; empty if all do.
	Home    string
	There   map[Group]Count
	Slots   int // of one endpoint
	Streams []Stream
}

// ready returns the number of ready endpoints of all groups.
func (in *Input) ready() int {
	ready := 0
	for _, count := range in.There {
		ready += count.Ready
	}
	return ready
}

// domains returns the failure domains in which the service may run or runs, in ascending
// order.
func (in *Input) domains() []string {
	known := map[string]struct{}{}
	for domain := range in.Limits.DomainPrices {
		known[domain] = struct{}{}
	}
	for group := range in.There {
		known[group.Domain] = struct{}{}
	}
	return slices.Sorted(maps.Keys(known))
}

// Reason is why a number of endpoints is wanted.
type Reason string

// The reasons.
const (
	// ReasonNone means that nothing has been asked for yet: what is there stays.
	ReasonNone Reason = "no demand seen"
	// ReasonDue means that the open steps need the endpoints to be whole in time.
	ReasonDue Reason = "steps due"
	// ReasonArriving means that the endpoints are needed for what arrives on average.
	ReasonArriving Reason = "arriving work"
	// ReasonOpen means that the endpoints are needed for the requests that run or wait.
	ReasonOpen Reason = "open requests"
	// ReasonRecent means that the demand was higher a short time ago.
	ReasonRecent Reason = "recent demand"
	// ReasonBounds means that the limits of the configuration determine the number.
	ReasonBounds Reason = "limits"
	// ReasonRefused means that another group takes the place of one that was refused.
	ReasonRefused Reason = "refused elsewhere"
)

// Order is a target number of endpoints for one group.
type Order struct {
	Group
	Count  int
	Reason Reason
}
