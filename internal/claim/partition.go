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

// withdrawnLimit is the number of claimants remembered that gave their claim
// up before it arrived.
const withdrawnLimit = 1024

// partition is the owner's side of one partition. claim and settle are safe for
// concurrent use; run commits what they ask for.
type partition struct {
	number  uint32
	epoch   int64
	options Options
	logger  *slog.Logger
	metrics *metrics
	log     *commitLog
	wake    chan struct{}
	// segments and lastSweep belong to run.
	segments  *segmentIndex
	lastSweep time.Time

	mu    sync.Mutex
	table *table
	// forming are the rows of the groups to come, in order.
	forming       []*pendingRow
	formingUrgent int
	firstForming  time.Time
	// newestEnding is the ending that was enqueued last.
	newestEnding *pendingRow
	// undecided are the claims whose group is not known to be durable.
	undecided map[Key]*pendingRow
	withdrawn *simplelru.LRU[uint64, struct{}]
	// stalled: the last write failed, so claims are refused until it succeeds.
	stalled bool
	// draining: no claims are taken any more.
	draining bool
	closed   bool
}

// pendingRow is a row on its way into the log.
type pendingRow struct {
	key    Key
	logged *claimpb.Row
	claim  bool
	// withdrawn: its claimant was not told of a grant, so it will not run.
	withdrawn bool
	done      chan struct{}
	err       error // set before done closes
	resolved  bool
}

// urgent reports whether somebody waits for the row to be durable.
func (r *pendingRow) urgent() bool {
	return r.claim || State(r.logged.GetState()) == NotRun
}

// openPartition takes a partition's log over and reads the window back.
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
	if err := p.readBack(ctx, sealed); err != nil {
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

// readBack fills the table from the segments and then the ring.
func (p *partition) readBack(ctx context.Context, sealed sealedLog) error {
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
	for _, logged := range rows {
		if err := p.table.put(logged, now); err != nil {
			return err
		}
	}
	return nil
}

// unresolved returns the claims that were in doubt when the partition closed;
// their claimants were told that they did not get them.
func (p *partition) unresolved() []*pendingRow {
	p.mu.Lock()
	defer p.mu.Unlock()
	rows := make([]*pendingRow, 0, len(p.undecided))
	for _, pending := range p.undecided {
		rows = append(rows, pending)
	}
	return rows
}

// release frees the keys of claims that turn out to be durable although their
// claimants were told that they did not get them.
func (p *partition) release(rows []*pendingRow) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pending := range rows {
		if p.table.runningFor(pending.key, pending.logged.GetClaimant()) {
			p.releaseWithdrawn(pending, now)
		}
	}
}

// count returns the number of claims held.
func (p *partition) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.count
}

// isClosed reports whether the partition will grant nothing any more.
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
