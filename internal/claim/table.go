package claim

import (
	"time"

	"github.com/comfreyfront/comfreyfront/internal/claim/claimpb"
)

// tableShards is the number of shards of a table. A sweep covers one shard.
const tableShards = 64

// table stores the claims of one partition that are within the window. It is not safe for
// concurrent use.
type table struct {
	window    time.Duration
	shards    [tableShards]map[Key]row
	count     int
	nextSweep int
	// claimants contains the claimants of the running claims.
	claimants map[Key]uint64
	answers   *answers
}

// row is the in-memory form of a claim. It is packed because a table can contain millions
// of claims.
type row struct {
	// fingerprint is the lower half of the request's fingerprint.
	fingerprint uint32
	// stamp is the Unix time of the claim in seconds, with the state in its lowest
	// bits.
	stamp uint32
}

const (
	stateBits = 2
	stateMask = 1<<stateBits - 1
)

// packRow replaces the lowest two bits of the time with the state, which reduces the
// resolution of the time to four seconds.
func packRow(fingerprint, claimedAt uint32, state State) row {
	return row{fingerprint: fingerprint, stamp: claimedAt&^stateMask | uint32(state-Running)}
}

func (r row) state() State { return State(r.stamp&stateMask) + Running }

// claimedAt returns the Unix time of the claim in seconds.
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

// get returns the claim of a key and reports whether the claim is within the window at
// time now.
func (t *table) get(key Key, now time.Time) (row, bool) {
	r, ok := t.shards[shardOf(key)][key]
	return r, ok && !t.expired(r.claimedAt(), now)
}

func (t *table) expired(claimedAt uint32, now time.Time) bool {
	return now.Sub(time.Unix(int64(claimedAt), 0)) > t.window
}

// put validates a row from the log and stores it, unless it is older than the window.
func (t *table) put(stored *claimpb.Row, now time.Time) error {
	key, ok := keyFrom(stored.GetKey())
	if !ok {
		return ErrCorrupt.New("row with a key of %d bytes", len(stored.GetKey()))
	}
	if state := State(stored.GetState()); state < Running || state > Unknown {
		return ErrCorrupt.New("row with state %d", state)
	}
	if t.expired(stored.GetClaimedAt(), now) {
		return nil
	}
	t.set(key, stored)
	return nil
}

func (t *table) set(key Key, stored *claimpb.Row) {
	shard := t.shards[shardOf(key)]
	before := len(shard)
	shard[key] = packRow(stored.GetFingerprint(), stored.GetClaimedAt(), State(stored.GetState()))
	t.count += len(shard) - before
	if State(stored.GetState()) == Running {
		t.claimants[key] = stored.GetClaimant()
	} else {
		delete(t.claimants, key)
	}
	t.answers.set(key, answerFromRecord(stored.GetAnswer()))
}

// prior returns the ending of a key's claim, with the answer if it is cached.
func (t *table) prior(key Key, r row) Ending {
	return Ending{State: r.state(), Answer: t.answers.get(key)}
}

// runningFor reports whether a key has a running claim of the claimant.
func (t *table) runningFor(key Key, claimant uint64) bool {
	current, running := t.claimants[key]
	return running && current == claimant
}

// sweep removes expired claims from the next shard.
func (t *table) sweep(now time.Time) {
	shard := t.shards[t.nextSweep]
	t.nextSweep = (t.nextSweep + 1) % tableShards
	for key, r := range shard {
		if t.expired(r.claimedAt(), now) {
			delete(shard, key)
			delete(t.claimants, key)
			t.answers.set(key, nil)
			t.count--
		}
	}
}
