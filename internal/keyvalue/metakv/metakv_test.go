package metakv_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/keyvalue"
	"github.com/comfreyfront/comfreyfront/internal/keyvalue/metakv"
	"github.com/comfreyfront/comfreyfront/internal/standin/fault"
	"github.com/comfreyfront/comfreyfront/internal/standin/kv"
	"github.com/comfreyfront/comfreyfront/platform"
	"github.com/comfreyfront/comfreyfront/platform/platformtest"
)

func start(t *testing.T, options kv.Options) (*kv.Server, *metakv.Store) {
	t.Helper()
	server := kv.New(options)
	listener := httptest.NewServer(server.Handler())
	t.Cleanup(listener.Close)
	return server, newClient(listener, "a")
}

func newClient(listener *httptest.Server, id string) *metakv.Store {
	address := strings.TrimPrefix(listener.URL, "http://")
	return &metakv.Store{Metadata: platform.NewNamedStoreClient(address, id)}
}

func requireType(t *testing.T, err error, want *errorx.Type) {
	t.Helper()
	require.Error(t, err)
	require.True(t, errorx.IsOfType(err, want), "%+v", err)
}

func TestCompareAndSwap(t *testing.T) {
	_, client := start(t, kv.Options{})
	ctx := t.Context()
	_, err := client.Get(ctx, "k")
	requireType(t, err, keyvalue.ErrNotFound)
	first, err := client.CompareAndSwap(ctx, "k", 0, []byte("one"), 0)
	require.NoError(t, err)
	current, err := client.CompareAndSwap(ctx, "k", 0, []byte("two"), 0)
	requireType(t, err, keyvalue.ErrConflict)
	require.Equal(t, first, current)
	second, err := client.CompareAndSwap(ctx, "k", first.Revision, []byte("two"), 0)
	require.NoError(t, err)
	read, err := client.Get(ctx, "k")
	require.NoError(t, err)
	require.Equal(t, second.Revision, read.Revision)
	require.Equal(t, first.CreateRevision, read.CreateRevision)
	require.Greater(t, second.Revision, first.Revision)
	requireType(t, client.Delete(ctx, "k", first.Revision), keyvalue.ErrConflict)
	require.NoError(t, client.Delete(ctx, "k", second.Revision))
	requireType(t, client.Delete(ctx, "k", second.Revision), keyvalue.ErrNotFound)
	again, err := client.CompareAndSwap(ctx, "k", 0, nil, 0)
	require.NoError(t, err)
	require.Greater(t, again.CreateRevision, second.CreateRevision)
}

func TestMaximumValueSize(t *testing.T) {
	_, client := start(t, kv.Options{})
	_, err := client.CompareAndSwap(t.Context(), "k", 0, make([]byte, platformtest.MaxValue), 0)
	require.NoError(t, err)
	_, err = client.CompareAndSwap(t.Context(), "l", 0, make([]byte, platformtest.MaxValue+1), 0)
	requireType(t, err, keyvalue.ErrUnavailable)
}

func TestListIsOrderedAndPrefixed(t *testing.T) {
	_, client := start(t, kv.Options{})
	var last keyvalue.Value
	for _, key := range []string{"a/2", "b/1", "a/1"} {
		var err error
		last, err = client.CompareAndSwap(t.Context(), key, 0, []byte(key), 0)
		require.NoError(t, err)
	}
	values, revision, err := client.List(t.Context(), "a/")
	require.NoError(t, err)
	require.Equal(t, last.Revision, revision)
	require.Len(t, values, 2)
	require.Equal(t, "a/1", values[0].Key)
	require.Equal(t, "a/2", values[1].Key)
}

func TestExpiredLeaseDeletesItsKeys(t *testing.T) {
	now := time.Unix(1000, 0)
	_, client := start(t, kv.Options{Now: func() time.Time { return now }})
	ctx := t.Context()
	lease, err := client.Grant(ctx, 10*time.Second)
	require.NoError(t, err)
	leased, err := client.CompareAndSwap(ctx, "k", 0, nil, lease)
	require.NoError(t, err)
	now = now.Add(9 * time.Second)
	require.NoError(t, client.KeepAlive(ctx, lease))
	now = now.Add(9 * time.Second)
	_, err = client.Get(ctx, "k")
	require.NoError(t, err)
	now = now.Add(time.Second)
	_, err = client.Get(ctx, "k")
	requireType(t, err, keyvalue.ErrNotFound)
	requireType(t, client.KeepAlive(ctx, lease), keyvalue.ErrLeaseLapsed)
	_, err = client.CompareAndSwap(ctx, "l", 0, nil, lease)
	requireType(t, err, keyvalue.ErrLeaseLapsed)
	changes, _, err := client.Watch(ctx, "k", leased.Revision, time.Second)
	require.NoError(t, err)
	require.Len(t, changes, 1)
	require.True(t, changes[0].Deleted)
}

func TestRevokeDeletesKeys(t *testing.T) {
	_, client := start(t, kv.Options{})
	lease, err := client.Grant(t.Context(), time.Minute)
	require.NoError(t, err)
	_, err = client.CompareAndSwap(t.Context(), "k", 0, nil, lease)
	require.NoError(t, err)
	require.NoError(t, client.Revoke(t.Context(), lease))
	_, err = client.Get(t.Context(), "k")
	requireType(t, err, keyvalue.ErrNotFound)
}

func TestWatchWaitsForAChange(t *testing.T) {
	server, client := start(t, kv.Options{})
	type result struct {
		changes []keyvalue.Change
		err     error
	}
	done := make(chan result, 1)
	go func() {
		changes, _, err := client.Watch(t.Context(), "a/", 0, time.Minute)
		done <- result{changes, err}
	}()
	require.Eventually(t, func() bool { return server.Calls().ByPath[platformtest.PathWatch] == 1 }, time.Minute, time.Millisecond)
	_, err := client.CompareAndSwap(t.Context(), "b/1", 0, nil, 0)
	require.NoError(t, err)
	_, err = client.CompareAndSwap(t.Context(), "a/1", 0, []byte("x"), 0)
	require.NoError(t, err)
	got := <-done
	require.NoError(t, got.err)
	require.Len(t, got.changes, 1)
	require.Equal(t, "a/1", got.changes[0].Value.Key)
	require.EqualValues(t, 1, server.Calls().ByPath[platformtest.PathWatch])
}

func TestWatchFromBeforeTheHistoryIsCompacted(t *testing.T) {
	_, client := start(t, kv.Options{History: 2})
	var revisions []int64
	for _, key := range []string{"1", "2", "3"} {
		value, err := client.CompareAndSwap(t.Context(), key, 0, nil, 0)
		require.NoError(t, err)
		revisions = append(revisions, value.Revision)
	}
	_, _, err := client.Watch(t.Context(), "", 0, time.Second)
	requireType(t, err, keyvalue.ErrCompacted)
	changes, next, err := client.Watch(t.Context(), "", revisions[0], time.Second)
	require.NoError(t, err)
	require.Len(t, changes, 2)
	require.Equal(t, revisions[2], next)
	_, _, err = client.Watch(t.Context(), "", 99, time.Second)
	requireType(t, err, keyvalue.ErrCompacted)
}

func TestWriteWithLostResponseIsOutcomeUnknownAndTakesEffect(t *testing.T) {
	server, client := start(t, kv.Options{})
	server.Gate.Set(fault.Fault{LoseReplies: 1})
	_, err := client.CompareAndSwap(t.Context(), "k", 0, []byte("x"), 0)
	requireType(t, err, keyvalue.ErrOutcomeUnknown)
	value, err := client.Get(t.Context(), "k")
	require.NoError(t, err)
	require.Equal(t, "x", string(value.Data))
	require.EqualValues(t, 1, server.Calls().ByPath[platformtest.PathTxn], "the client must not retry a write")
}

func TestWriteToAServiceThatIsDownIsUnavailable(t *testing.T) {
	server, client := start(t, kv.Options{})
	server.Gate.Set(fault.Fault{Down: true})
	_, err := client.CompareAndSwap(t.Context(), "k", 0, nil, 0)
	requireType(t, err, keyvalue.ErrUnavailable)
	server.Gate.Clear()
	_, err = client.Get(t.Context(), "k")
	requireType(t, err, keyvalue.ErrNotFound)
}

func TestDroppedWriteIsOutcomeUnknownAndDroppedReadIsUnavailable(t *testing.T) {
	server, client := start(t, kv.Options{})
	server.Gate.Set(fault.Fault{Drop: true})
	_, err := client.CompareAndSwap(t.Context(), "k", 0, nil, 0)
	requireType(t, err, keyvalue.ErrOutcomeUnknown)
	_, err = client.Get(t.Context(), "k")
	requireType(t, err, keyvalue.ErrUnavailable)
}

func TestTimeoutOfASentWriteIsOutcomeUnknown(t *testing.T) {
	server, client := start(t, kv.Options{})
	server.Gate.Set(fault.Fault{Freeze: true})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		for server.Calls().Total == 0 {
			<-time.After(time.Millisecond)
		}
		cancel()
	}()
	_, err := client.CompareAndSwap(ctx, "k", 0, nil, 0)
	requireType(t, err, keyvalue.ErrOutcomeUnknown)
	server.Gate.Clear()
}

func TestRefusedConnectionIsUnavailable(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	client := &metakv.Store{Metadata: platform.NewStoreClient(address)}
	_, err = client.CompareAndSwap(t.Context(), "k", 0, nil, 0)
	requireType(t, err, keyvalue.ErrUnavailable)
}

func TestMalformedResponseToAWriteIsOutcomeUnknown(t *testing.T) {
	listener := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("{"))
	}))
	defer listener.Close()
	_, err := newClient(listener, "a").CompareAndSwap(t.Context(), "k", 0, nil, 0)
	requireType(t, err, keyvalue.ErrOutcomeUnknown)
}

func TestFaultOfOneClientDoesNotAffectOthers(t *testing.T) {
	server := kv.New(kv.Options{})
	listener := httptest.NewServer(server.Handler())
	defer listener.Close()
	server.Gate.Set(fault.Fault{Client: "a", Drop: true})
	_, err := newClient(listener, "a").Get(t.Context(), "k")
	requireType(t, err, keyvalue.ErrUnavailable)
	_, err = newClient(listener, "b").Get(t.Context(), "k")
	requireType(t, err, keyvalue.ErrNotFound)
}
