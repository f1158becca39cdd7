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

// OutlierDetector finds endpoints that are slower than their peers and returns the
// fraction of work to withhold from each, by ID. Only the control goroutine calls it.
type OutlierDetector interface {
	Decide(samples []policy.EndpointLatency, now time.Time) map[string]float64
}

// Options configures a Manager. Zero durations and numbers select the defaults.
type Options struct {
	ID            string
	Address       string // host:port of the interface for other entries
	FailureDomain string
	Region        string
	// Incarnation increases with each start of the entry; it defaults to the Unix
	// time in milliseconds.
	Incarnation int64

	// Config stores the class document.
	Config *config.Store
	// List is the platform's list of instances.
	List keyvalue.InstanceList
	// Peers calls other entries.
	Peers exchange.Caller
	// Loads reads load reports.
	Loads LoadReader
	// Suspects supplies and merges the suspected requests that entries exchange; it
	// may be nil.
	Suspects exchange.Suspects
	// NewOutlierDetector returns the detector for the endpoints of one model; it
	// defaults to policy.Outliers.
	NewOutlierDetector func() OutlierDetector
	// Snapshots receives the snapshots of the control state; it is required.
	Snapshots *Snapshots

	// RoundInterval is the time between two rounds of exchanges; default 500 ms.
	RoundInterval time.Duration
	// RoundPeers is the number of peers in a round; default 2.
	RoundPeers int
	// ListInterval is the time between two readings of the list; default 1 s.
	ListInterval time.Duration
	// LoadInterval is the minimum time between two reads of one load report;
	// default 500 ms.
	LoadInterval time.Duration
	// FollowAll is the number of endpoints up to which an entry follows all of them;
	// default 64.
	FollowAll int
	// Followers is the number of entries that follow one endpoint if there are more
	// than FollowAll endpoints; default 4.
	Followers int
	// Now reads the clock; default time.Now.
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

// Intervals and timeouts of the control goroutine.
const (
	// flushInterval is how long changes that are not urgent are batched before a
	// snapshot is published.
	flushInterval = 50 * time.Millisecond
	// settleTime is how long a starting entry waits for updates about the other listed
	// entries before it counts as settled.
	settleTime = 3 * time.Second
	// clockGap is the minimum time between two clock readings after which the process
	// is considered to have been frozen.
	clockGap = 2 * time.Second
	// exchangeTimeout bounds one exchange with a peer.
	exchangeTimeout = time.Second
	// listTimeout bounds one reading of the list.
	listTimeout = 2 * time.Second
	// loadTimeout bounds one reading of a load report.
	loadTimeout = time.Second
	// watchWait and noPeersWatchWait are how long one watch call for the class document
	// waits with and without live peers. Live peers confirm the document in the
	// meantime.
	watchWait        = 20 * time.Second
	noPeersWatchWait = 2 * time.Second
	// peerReplyWindow is how recently any peer must have answered for peers to count
	// as reachable.
	peerReplyWindow = 4 * time.Second
	// leavingReportLag is how long after the first report that an endpoint is leaving
	// the endpoint's own load reports may not show it yet.
	leavingReportLag = 30 * time.Second
	// demotionInterval is the time between two evaluations of slow endpoints.
	demotionInterval = time.Second
	// demotionRepeat is the time after which an unchanged demotion is sent again.
	demotionRepeat = 10 * time.Second
)

// Limits of the control goroutine.
const (
	inputBuffer         = 256
	observationBuffer   = 1024
	maxExchanges        = 16
	maxLoadReads        = 16
	urgentPeers         = 3
	failuresToUnready   = 3
	minFollowedPerModel = 8
	// minPollSpacing limits reads of load reports to 50 per second, and largePollSpacing to
	// 10 per second if not all endpoints are followed.
	minPollSpacing   = 20 * time.Millisecond
	largePollSpacing = 100 * time.Millisecond
	// largeFleet is the number of live peers above which a round goes to half as many
	// peers.
	largeFleet = 64
	// confirmQuorum is the number of peers without a recent confirmation of their own
	// that together confirm the class document, or all live peers if there are fewer.
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
	if o.NewOutlierDetector == nil {
		o.NewOutlierDetector = func() OutlierDetector { return &policy.Outliers{} }
	}
	return o
}

func setDefault[T int | int64 | time.Duration](value *T, standard T) {
	if *value <= 0 {
		*value = standard
	}
}
