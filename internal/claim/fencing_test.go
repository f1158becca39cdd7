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

// opened starts a partition against a store and returns it with its end.
func opened(t *testing.T, store keyvalue.Store, epoch int64, options Options) (*partition, func()) {
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

// A stale owner whose write was on its way when it was replaced, and who never
// noticed, grants nothing: neither in the write's slot nor later.
func TestStaleOwnerInFlightIsFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, root := context.Background(), memstore.New(nil)
		staleStore, resume := root.View(), make(chan struct{})
		stale, endStale := opened(t, staleStore, 1, Options{})
		defer endStale()
		staleStore.Intercept(func(context.Context, memstore.Operation, string) error { <-resume; return nil })
		result := make(chan error, 1)
		go func() {
			_, err := stale.claim(ctx, requestOf(1, "first"))
			result <- err
		}()
		synctest.Wait()
		successor, endSuccessor := opened(t, root.View(), 2, Options{})
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
		_, end := opened(t, store, 2, Options{})
		defer end()
		_, err := openPartition(context.Background(), store, 0, 1, Options{}.withDefaults(), quiet, nil)
		require.True(t, errorx.IsOfType(err, ErrFenced))
	})
}

// A claim whose group landed although its claimant was told otherwise is freed.
func TestClaimInDoubtIsFreedWhenItLands(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, store := context.Background(), memstore.New(nil)
		p, end := opened(t, store, 1, Options{})
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

// downAfter takes the store down after some calls.
func downAfter(store *memstore.Store, calls int) func(context.Context, memstore.Operation, string) error {
	return func(context.Context, memstore.Operation, string) error {
		if calls--; calls < 0 {
			store.SetDown(true)
		}
		return nil
	}
}

// A lost reply alone neither refuses nor doubles the claim.
func TestLostReplyOfAGroupIsReadBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, store := context.Background(), memstore.New(nil)
		p, end := opened(t, store, 1, Options{})
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
