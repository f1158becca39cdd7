package claim

import (
	"time"

	"github.com/comfreyfront/comfreyfront/internal/claim/claimpb"
)

// tableShards is the number of parts that a table is swept in.
const tableShards = 64

// table holds the claims of one partition within the window. It is not safe
// for concurrent use.
type table struct {
	window  time.Duration
	shards  [tableShards]map[Key]row
	count   int
	sweeper int
	// claimants of the running claims.
	claimants map[Key]uint64
	answers   *answers
}

// row is what is held of a claim in memory.
type row struct {
	fingerprint Fingerprint
	claimedAt   uint32 // seconds of Unix time
	state       State
}

func newTable(window time.Duration, answersLimit int) *table {
	t := &table{window: window, claimants: map[Key]uint64{}, answers: newAnswers(answersLimit)}
	for i := range t.shards {
		t.shards[i] = map[Key]row{}
	}
	return t
}

func shardOf(key Key) int {
	return int(key[KeySize-1]) % tableShards
}

// get returns the claim of a key if it is within the window at now.
func (t *table) get(key Key, now time.Time) (row, bool) {
	r, ok := t.shards[shardOf(key)][key]
	return r, ok && !t.expired(r.claimedAt, now)
}

func (t *table) expired(claimedAt uint32, now time.Time) bool {
	return now.Sub(time.Unix(int64(claimedAt), 0)) > t.window
}

// put takes a row over from the log or into it.
func (t *table) put(logged *claimpb.Row, now time.Time) error {
	key, ok := keyFrom(logged.GetKey())
	if !ok {
		return ErrCorrupt.New("row with a key of %d bytes", len(logged.GetKey()))
	}
	if t.expired(logged.GetClaimedAt(), now) {
		return nil
	}
	t.set(key, logged)
	return nil
}

func (t *table) set(key Key, logged *claimpb.Row) {
	shard := t.shards[shardOf(key)]
	before := len(shard)
	shard[key] = row{
		fingerprint: Fingerprint(logged.GetFingerprint()),
		claimedAt:   logged.GetClaimedAt(),
		state:       State(logged.GetState()),
	}
	t.count += len(shard) - before
	if State(logged.GetState()) == Running {
		t.claimants[key] = logged.GetClaimant()
	} else {
		delete(t.claimants, key)
	}
	t.answers.set(key, answerFrom(logged.GetAnswer()))
}

// prior returns how the claim of a key ended, with the answer if it is held.
func (t *table) prior(key Key, r row) Ending {
	return Ending{State: r.state, Answer: t.answers.get(key)}
}

// runningFor reports whether the claim of a key is running for a claimant.
func (t *table) runningFor(key Key, claimant uint64) bool {
	held, running := t.claimants[key]
	return running && held == claimant
}

// sweep removes expired claims from the next shard.
func (t *table) sweep(now time.Time) {
	shard := t.shards[t.sweeper]
	t.sweeper = (t.sweeper + 1) % tableShards
	for key, r := range shard {
		if t.expired(r.claimedAt, now) {
			delete(shard, key)
			delete(t.claimants, key)
			t.answers.set(key, nil)
			t.count--
		}
	}
}
