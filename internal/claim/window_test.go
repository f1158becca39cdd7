package claim

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/keyvalue"
	"github.com/comfreyfront/comfreyfront/internal/keyvalue/memstore"
)

// claimEach claims the keys from..to-1 one at a time, so that each claim is a group of its
// own.
func claimEach(t *testing.T, p *partition, from, to int) {
	t.Helper()
	for key := from; key < to; key++ {
		grant, err := p.claim(context.Background(), requestOf(key, "first"))
		require.NoError(t, err)
		require.Equal(t, Granted, grant.Verdict)
	}
}

func settle(t *testing.T, p *partition, key Key, claimant string, ending Ending) {
	t.Helper()
	_, err := p.settle(context.Background(), key, claimant, ending)
	require.NoError(t, err)
}

// TestNewOwnerLoadsTheWholeWindow checks that all claims of the window survive several wraps
// of the ring and several changes of owner.
func TestNewOwnerLoadsTheWholeWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const perOwner, owners = 3 * ringSlots, 3
		store := memstore.New(nil)
		for owner := range owners {
			p, end := startPartition(t, store, int64(owner+1), Options{})
			require.Equal(t, owner*perOwner, p.count())
			claimEach(t, p, owner*perOwner, (owner+1)*perOwner)
			end()
		}
		p, end := startPartition(t, store, owners+1, Options{})
		defer end()
		for key := range owners * perOwner {
			grant, err := p.claim(context.Background(), requestOf(key, "repeat"))
			require.NoError(t, err)
			require.Equal(t, Taken, grant.Verdict)
		}
	})
}

// TestManySealsLoseNoClaims checks that seals alone do not overwrite groups in the ring that
// are not yet in a segment.
func TestManySealsLoseNoClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memstore.New(nil)
		p, end := startPartition(t, store, 1, Options{})
		claimEach(t, p, 0, 20)
		end()
		for epoch := range 2 * ringSlots {
			_, err := openPartition(context.Background(), store, 0, int64(epoch+2), Options{}.withDefaults(), quiet, nil)
			require.NoError(t, err)
		}
		p, end = startPartition(t, store, 3*ringSlots, Options{})
		defer end()
		require.Equal(t, 20, p.count())
	})
}

// TestExpiredClaimsAreRemoved checks that claims are removed from memory and from the store
// after the window.
func TestExpiredClaimsAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, store := context.Background(), memstore.New(nil)
		options := Options{Window: time.Hour}
		p, end := startPartition(t, store, 1, options)
		defer end()
		claimEach(t, p, 0, 4*segmentGroups)
		<-time.After(2 * time.Hour)
		require.Zero(t, p.count())
		claimEach(t, p, 0, 1)
		<-time.After(time.Hour)
		values, _, err := store.List(ctx, "claims/0/segment/")
		require.NoError(t, err)
		require.LessOrEqual(t, len(values), 1)
	})
}

// TestRingIsNotOverwrittenBeforeItsSegmentsAreStored checks that the ring is not overwritten
// while segments cannot be written.
func TestRingIsNotOverwrittenBeforeItsSegmentsAreStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, store := context.Background(), memstore.New(nil)
		p, end := startPartition(t, store, 1, Options{})
		store.Intercept(func(_ context.Context, op memstore.Operation, key string) error {
			if op == memstore.OpCompareAndSwap && strings.Contains(key, "/segment/") {
				return keyvalue.ErrUnavailable.New("segments cannot be written")
			}
			return nil
		})
		claimEach(t, p, 0, ringSlots-1) // the seal uses one slot
		_, err := p.claim(ctx, requestOf(ringSlots, "first"))
		require.True(t, errorx.IsOfType(err, ErrUnavailable))
		store.Intercept(nil)
		<-time.After(2 * DefaultRetryInterval)
		claimEach(t, p, ringSlots+1, 2*ringSlots)
		end()
		p, end = startPartition(t, store, 2, Options{})
		defer end()
		require.Equal(t, 2*ringSlots-1, p.count())
	})
}

func TestLimitsOnClaimsAndAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		p, end := startPartition(t, memstore.New(nil), 1, Options{ClaimLimit: 2, AnswerLimit: 100})
		defer end()
		claimEach(t, p, 0, 2)
		_, err := p.claim(ctx, requestOf(2, "first"))
		require.True(t, errorx.IsOfType(err, ErrUnavailable))
		large := &Answer{Status: 200, Body: make([]byte, 101)}
		settle(t, p, requestOf(0, "").Key, "first", Ending{State: Answered, Answer: large})
		grant, err := p.claim(ctx, requestOf(0, "repeat"))
		require.NoError(t, err)
		require.Equal(t, Ending{State: Answered}, grant.Prior)
	})
}

// TestStoredAnswerSurvivesChangeOfOwner checks that a new owner returns a stored answer while
// its group is in the ring.
func TestStoredAnswerSurvivesChangeOfOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, store := context.Background(), memstore.New(nil)
		p, end := startPartition(t, store, 1, Options{})
		claimEach(t, p, 0, 1)
		answer := &Answer{Status: 201, ContentType: "text/plain", Body: []byte("done")}
		settle(t, p, requestOf(0, "").Key, "first", Ending{State: Answered, Answer: answer})
		<-time.After(2 * DefaultSettleDelay)
		end()
		p, end = startPartition(t, store, 2, Options{})
		defer end()
		grant, err := p.claim(ctx, requestOf(0, "repeat"))
		require.NoError(t, err)
		require.Equal(t, Ending{State: Answered, Answer: answer}, grant.Prior)
	})
}

// TestWithdrawalThatArrivesBeforeItsClaim checks that such a withdrawal prevents the grant.
func TestWithdrawalThatArrivesBeforeItsClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		p, end := startPartition(t, memstore.New(nil), 1, Options{})
		defer end()
		settle(t, p, requestOf(0, "").Key, "late", Ending{State: NotRun})
		_, err := p.claim(ctx, requestOf(0, "late"))
		require.True(t, errorx.IsOfType(err, ErrUnavailable))
		grant, err := p.claim(ctx, requestOf(0, "next"))
		require.NoError(t, err)
		require.Equal(t, Granted, grant.Verdict)
	})
}
