package claim

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"log/slog"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/comfreyfront/comfreyfront/internal/claim/claimpb"
	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/keyvalue"
)

// withdrawnLimit is the maximum number of stored claimants whose claim was withdrawn
// before it arrived.
const withdrawnLimit = 1024

// partition is the state of one partition at its owner. claim and settle are safe for
// concurrent use; run commits the rows that they enqueue.
type partition struct {
	number  uint32
	epoch   int64
	options Options
	logger  *slog.Logger
	metrics *metrics
	log     *commitLog
	wake    chan struct{}
	// segments and lastSweep are used only by run.
	segments  *segmentIndex
	lastSweep time.Time

	mu    sync.Mutex
	table *table
	// queue contains the rows of the next groups, in order.
	queue        []*pendingRow
	queuedUrgent int
	queuedSince  time.Time
	// newestEnding is the most recently enqueued ending.
	newestEnding *pendingRow
	// undecided contains the claims whose group is not yet known to be durable.
	undecided map[Key]*pendingRow
	withdrawn *simplelru.LRU[uint64, struct{}]
	// stalled is set after a failed write; claims are rejected until a write succeeds.
	stalled bool
	// draining is set when the partition no longer accepts claims.
	draining bool
	closed   bool
}

// pendingRow is a row that is not yet known to be in the log.
type pendingRow struct {
	key    Key
	record *claimpb.Row
	claim  bool
	// withdrawn is set if the claimant does not get the grant, so that the request will
	// not run.
	withdrawn bool
	done      chan struct{}
	err       error // set before done closes
	resolved  bool
}

// urgent reports whether a caller waits until the row is durable.
func (r *pendingRow) urgent() bool {
	return r.claim || State(r.record.GetState()) == NotRun
}

// openPartition takes over a partition's log and loads the claims of the window.
func openPartition(ctx context.Context, store keyvalue.Store, number uint32, epoch int64, options Options, logger *slog.Logger, m *metrics) (*partition, error) {
	started := time.Now()
	p := &partition{
		number: number, epoch: epoch, options: options, logger: logger, metrics: m,
		log: &commitLog{
			store: store, partition: number, epoch: epoch, writer: randomWriter(),
			callTimeout: options.CallTimeout,
		},
		wake:      make(chan struct{}, 1),
		table:     newTable(options.Window, options.AnswersLimit),
		undecided: map[Key]*pendingRow{},
	}
	p.withdrawn, _ = simplelru.NewLRU[uint64, struct{}](withdrawnLimit, nil)
	sealed, err := p.log.seal(ctx)
	if err != nil {
		return nil, err
	}
	if err := p.load(ctx, sealed); err != nil {
		return nil, err
	}
	event.PartitionOpened.Log(ctx, logger, slog.Int("partition", int(number)), slog.Int64("epoch", epoch),
		slog.Int("claims", p.table.count), slog.Duration("took", time.Since(started)))
	return p, nil
}

func randomWriter() uint64 {
	var random [8]byte
	_, _ = rand.Read(random[:])
	return binary.BigEndian.Uint64(random[:])
}

// load fills the table from the segments and then from the ring.
func (p *partition) load(ctx context.Context, sealed sealedLog) error {
	now := time.Now()
	p.segments = sealed.segments
	p.segments.newest = nil
	from, first := p.segments.from, true
	err := p.log.readSegments(ctx, from, p.segments.to, func(segment *claimpb.Segment) error {
		if first {
			p.segments.from, first = segment.GetIndex(), false
		}
		p.segments.newest = append(p.segments.newest, newestClaim(segment))
		return p.putAll(segment.GetRows(), now)
	})
	if err != nil {
		return err
	}
	if first {
		p.segments.from = p.segments.to
	}
	for _, group := range sealed.groups {
		if err := p.putAll(group.GetRows(), now); err != nil {
			return err
		}
	}
	return nil
}

func (p *partition) putAll(rows []*claimpb.Row, now time.Time) error {
	for _, r := range rows {
		if err := p.table.put(r, now); err != nil {
			return err
		}
	}
	return nil
}

// unresolved returns the claims whose outcome was unknown when the partition closed. Their
// claimants got an error.
func (p *partition) unresolved() []*pendingRow {
	p.mu.Lock()
	defer p.mu.Unlock()
	rows := make([]*pendingRow, 0, len(p.undecided))
	for _, pending := range p.undecided {
		rows = append(rows, pending)
	}
	return rows
}

// releaseUnresolved frees the keys of claims that are found durable after the takeover
// although their claimants got an error.
func (p *partition) releaseUnresolved(rows []*pendingRow) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pending := range rows {
		if p.table.runningFor(pending.key, pending.record.GetClaimant()) {
			p.releaseWithdrawn(pending, now)
		}
	}
}

// count returns the number of claims in memory.
func (p *partition) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.count
}

// isClosed reports whether the partition no longer grants claims.
func (p *partition) isClosed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closed || p.draining
}

// signal wakes run.
func (p *partition) signal() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}
