package claim

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/keyvalue"
	"github.com/comfreyfront/comfreyfront/internal/keyvalue/memstore"
)

// startPartition opens and runs a partition. It returns the partition and a function that
// stops it.
func startPartition(t *testing.T, store keyvalue.Store, epoch int64, options Options) (*partition, func()) {
	t.Helper()
	p, err := openPartition(context.Background(), store, 0, epoch, options.withDefaults(), quiet, nil)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.run(ctx)
	}()
	return p, func() { cancel(); <-done }
}

func requestOf(key int, claimant string) Request {
	return Request{Key: KeyOf("tenant", "application", fmt.Sprint(key)), Claimant: claimant}
}

// TestStaleOwnerInFlightIsFenced checks that a stale owner that had a write in flight when
// it was replaced, and did not notice the replacement, grants nothing: neither with that
// write nor later.
func TestStaleOwnerInFlightIsFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, root := context.Background(), memstore.New(nil)
		staleStore, resume := root.View(), make(chan struct{})
		stale, endStale := startPartition(t, staleStore, 1, Options{})
		defer endStale()
		staleStore.Intercept(func(context.Context, memstore.Operation, string) error { <-resume; return nil })
		result := make(chan error, 1)
		go func() {
			_, err := stale.claim(ctx, requestOf(1, "first"))
			result <- err
		}()
		synctest.Wait()
		successor, endSuccessor := startPartition(t, root.View(), 2, Options{})
		defer endSuccessor()
		grant, err := successor.claim(ctx, requestOf(1, "second"))
		require.NoError(t, err)
		require.Equal(t, Granted, grant.Verdict)
		close(resume)
		require.True(t, errorx.IsOfType(<-result, ErrFenced))
		_, err = stale.claim(ctx, requestOf(2, "third"))
		require.True(t, errorx.IsOfType(err, ErrFenced))
		require.True(t, stale.isClosed())
	})
}

func TestOlderEpochCannotSeal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memstore.New(nil)
		_, end := startPartition(t, store, 2, Options{})
		defer end()
		_, err := openPartition(context.Background(), store, 0, 1, Options{}.withDefaults(), quiet, nil)
		require.True(t, errorx.IsOfType(err, ErrFenced))
	})
}

// TestFailedClaimThatBecomesDurableIsFreed checks that a claim is freed if its write took
// effect although its claimant got an error.
func TestFailedClaimThatBecomesDurableIsFreed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, store := context.Background(), memstore.New(nil)
		p, end := startPartition(t, store, 1, Options{})
		defer end()
		store.LoseReplies(1)
		store.Intercept(downAfter(store, 1))
		_, err := p.claim(ctx, requestOf(1, "first"))
		require.True(t, errorx.IsOfType(err, ErrUnavailable))
		_, err = p.claim(ctx, requestOf(1, "second"))
		require.True(t, errorx.IsOfType(err, ErrUnavailable))
		store.Intercept(nil)
		store.SetDown(false)
		<-time.After(2 * DefaultRetryInterval)
		grant, err := p.claim(ctx, requestOf(1, "third"))
		require.NoError(t, err)
		require.Equal(t, Granted, grant.Verdict)
	})
}

// downAfter returns an interceptor that takes the store down after a number of calls.
func downAfter(store *memstore.Store, calls int) func(context.Context, memstore.Operation, string) error {
	return func(context.Context, memstore.Operation, string) error {
		if calls--; calls < 0 {
			store.SetDown(true)
		}
		return nil
	}
}

// TestGroupWriteWithLostResponseIsRecognised checks that a lost response to a group write
// neither fails the claim nor allows a second grant.
func TestGroupWriteWithLostResponseIsRecognised(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, store := context.Background(), memstore.New(nil)
		p, end := startPartition(t, store, 1, Options{})
		defer end()
		store.LoseReplies(1)
		grant, err := p.claim(ctx, requestOf(1, "first"))
		require.NoError(t, err)
		require.Equal(t, Granted, grant.Verdict)
		grant, err = p.claim(ctx, requestOf(1, "second"))
		require.NoError(t, err)
		require.Equal(t, Taken, grant.Verdict)
	})
}

func storedValue(data []byte) keyvalue.Value { return keyvalue.Value{Key: "stored", Data: data} }
