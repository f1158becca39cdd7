package control

import (
	"context"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/config"
	"github.com/comfreyfront/comfreyfront/internal/engine"
	"github.com/comfreyfront/comfreyfront/internal/exchange"
	"github.com/comfreyfront/comfreyfront/internal/keyvalue"
	"github.com/comfreyfront/comfreyfront/internal/policy"
)

// LoadReader reads the load report of an endpoint at host:port.
type LoadReader interface {
	Load(ctx context.Context, address string) (engine.LoadReport, error)
}

// Judge finds endpoints that are slower than their peers and returns the share
// of work withheld from each, by ID. It belongs to the control goroutine.
type Judge interface {
	Decide(samples []policy.EndpointLatency, now time.Time) map[string]float64
}

// Options of a Manager. Zero values of times and numbers take the defaults.
type Options struct {
	ID            string
	Address       string // host:port of the interface for entries
	FailureDomain string
	Region        string
	// Incarnation rises with each start of the entry; the Unix time in
	// milliseconds by default.
	Incarnation int64

	// Config keeps the class document.
	Config *config.Store
	// List is the platform's list of instances.
	List keyvalue.InstanceList
	// Peers calls other entries.
	Peers exchange.Caller
	// Loads reads load reports.
	Loads LoadReader
	// Suspects spreads suspected requests; may be nil.
	Suspects exchange.Suspects
	// NewJudge makes the judge of one model's endpoints; policy.Outliers by
	// default.
	NewJudge func() Judge
	// Snapshots receives the pictures of the control state; required.
	Snapshots *Snapshots

	// RoundInterval is the time between two rounds of exchanges, 500 ms.
	RoundInterval time.Duration
	// RoundPeers is the number of peers in a round, 2.
	RoundPeers int
	// ListInterval is the time between two readings of the list, 1 s.
	ListInterval time.Duration
	// LoadInterval is the shortest time between two load reports, 500 ms.
	LoadInterval time.Duration
	// FollowAll is the number of endpoints up to which all are followed, 64.
	FollowAll int
	// Followers is the number of entries that follow one endpoint, 4.
	Followers int
	// Now is the clock.
	Now func() time.Time
}

// Defaults of Options.
const (
	defaultRoundInterval = 500 * time.Millisecond
	defaultRoundPeers    = 2
	defaultListInterval  = time.Second
	defaultLoadInterval  = 500 * time.Millisecond
	defaultFollowAll     = 64
	defaultFollowers     = 4
)

// Times of the control goroutine.
const (
	// flushInterval is how long changes that are not urgent are gathered.
	flushInterval = 50 * time.Millisecond
	// settleTime is how long a starting entry looks for the others of the list.
	settleTime = 3 * time.Second
	// clockGap is the time between two wakings from which on the process is taken
	// to have been frozen.
	clockGap = 2 * time.Second
	// exchangeTimeout bounds one exchange with a peer.
	exchangeTimeout = time.Second
	// listTimeout bounds one reading of the list.
	listTimeout = 2 * time.Second
	// loadTimeout bounds one reading of a load report.
	loadTimeout = time.Second
	// watchWait and aloneWatchWait are how long a watch of the class document
	// waits with and without live peers, who confirm it in between.
	watchWait      = 20 * time.Second
	aloneWatchWait = 2 * time.Second
	// peersLately is how lately a peer must have answered to count as reachable.
	peersLately = 4 * time.Second
	// leaveHold is how long after the first word that an endpoint leaves its own
	// report may still lag behind.
	leaveHold = 30 * time.Second
	// judgeInterval is the time between two judgements of slow endpoints.
	judgeInterval = time.Second
	// judgeRepeat is the time after which a standing judgement is said again.
	judgeRepeat = 10 * time.Second
)

// Bounds of the control goroutine.
const (
	inputBuffer        = 256
	observationBuffer  = 1024
	maxExchanges       = 16
	maxLoadReads       = 16
	adoptPeers         = 3
	failuresToUnready  = 3
	minFollowedOfModel = 8
	// minPollSpacing bounds load readings to 50 a second, and largePollSpacing
	// to 10 a second where not all endpoints are followed.
	minPollSpacing   = 20 * time.Millisecond
	largePollSpacing = 100 * time.Millisecond
	// largeFleet is the number of other entries from which on a round goes to
	// half as many peers.
	largeFleet = 64
	// confirmQuorum is how many peers that can't confirm themselves confirm
	// together, or all live ones if they are fewer.
	confirmQuorum = 3
)

func (o Options) withDefaults() Options {
	setDefault(&o.RoundInterval, defaultRoundInterval)
	setDefault(&o.RoundPeers, defaultRoundPeers)
	setDefault(&o.ListInterval, defaultListInterval)
	setDefault(&o.LoadInterval, defaultLoadInterval)
	setDefault(&o.FollowAll, defaultFollowAll)
	setDefault(&o.Followers, defaultFollowers)
	if o.Now == nil {
		o.Now = time.Now
	}
	setDefault(&o.Incarnation, o.Now().UnixMilli())
	if o.NewJudge == nil {
		o.NewJudge = func() Judge { return &policy.Outliers{} }
	}
	return o
}

func setDefault[T int | int64 | time.Duration](value *T, standard T) {
	if *value <= 0 {
		*value = standard
	}
}
