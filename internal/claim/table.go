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

// row is what is held of a claim in memory, packed because there are millions.
type row struct {
	// fingerprint is the low half of the request's.
	fingerprint uint32
	// stamp is the time of the claim in seconds of Unix time, with the state in
	// its lowest bits.
	stamp uint32
}

const (
	stateBits = 2
	stateMask = 1<<stateBits - 1
)

// packRow gives up the lowest bits of the time, and so four seconds, for the state.
func packRow(fingerprint, claimedAt uint32, state State) row {
	return row{fingerprint: fingerprint, stamp: claimedAt&^stateMask | uint32(state-Running)}
}

func (r row) state() State { return State(r.stamp&stateMask) + Running }

// claimedAt is in seconds of Unix time.
func (r row) claimedAt() uint32 { return r.stamp &^ stateMask }

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
	return r, ok && !t.expired(r.claimedAt(), now)
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
	if state := State(logged.GetState()); state < Running || state > Unknown {
		return ErrCorrupt.New("row with state %d", state)
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
	shard[key] = packRow(logged.GetFingerprint(), logged.GetClaimedAt(), State(logged.GetState()))
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
	return Ending{State: r.state(), Answer: t.answers.get(key)}
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
		if t.expired(r.claimedAt(), now) {
			delete(shard, key)
			delete(t.claimants, key)
			t.answers.set(key, nil)
			t.count--
		}
	}
}
