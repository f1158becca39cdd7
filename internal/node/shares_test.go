package node

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/call"
	"github.com/comfreyfront/comfreyfront/internal/explain"
	"github.com/comfreyfront/comfreyfront/internal/fleet"
	"github.com/comfreyfront/comfreyfront/internal/operator"
	"github.com/comfreyfront/comfreyfront/internal/route"
	"github.com/comfreyfront/comfreyfront/internal/share"
	"github.com/comfreyfront/comfreyfront/platform/platformtest"
)

// setRoom is the room that a test sets. It is given once.
type setRoom struct{ free atomic.Int64 }

// Room implements Room.
func (r *setRoom) Room(string, time.Time) float64 { return float64(r.free.Swap(0)) }

// shortSystem starts a node with accounts and the given room.
func shortSystem(t *testing.T, room Room) (*system, *testNode, *logBuffer) {
	s, logs := newAccountSystem(t, 0)
	s.prepare = func(n *Node) { n.gates.room = room }
	return s, s.start("n1"), logs
}

// TestASmallAccountIsServedBesideAFlood lets many requests of one account wait before one of
// another account comes. Two of them get room: one of each account.
func TestASmallAccountIsServedBesideAFlood(t *testing.T) {
	const flood = 40
	room := &setRoom{}
	s, n, _ := shortSystem(t, room)
	held := platformtest.NewEndpoint(&platformtest.Endpoint{ID: "held-0", Service: "held", Zone: "z", Hold: make(chan struct{})})
	t.Cleanup(held.Close)
	s.store.Write(held.Key(), held.Record("ready"))
	require.Eventually(t, func() bool { return len(n.node.directory.Of("held")) == 1 }, waitLimit, pollInterval)
	patient := &route.Route{Name: "held", Kind: route.Idempotent, Target: 4 * time.Hour, MaxAttempts: 1, Services: []route.Target{{Service: "held", Weight: 1}}}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, flood+1)
	send := func(id, account string) {
		go func() {
			_, err := n.node.Do(ctx, patient, &call.Request{ID: id, Method: "POST", URI: "/held/x", Host: platformtest.Host, Header: http.Header{}, Account: account})
			ended <- err
		}()
	}
	gate := n.node.gates.of("held")
	for i := range flood {
		send(fmt.Sprint("large-", i), "a")
	}
	require.Eventually(t, func() bool { return gate.Waiting() == flood }, waitLimit, pollInterval)
	send("small", "b")
	require.Eventually(t, func() bool { return gate.Waiting() == flood+1 }, waitLimit, pollInterval)
	gate.SetFree(2, time.Now())
	require.Eventually(t, func() bool { return held.AllRuns() == 2 }, waitLimit, pollInterval)
	require.Equal(t, 1, held.Runs("small"))
	cancel()
	for range flood + 1 {
		<-ended
	}
	require.Zero(t, gate.Waiting())
}

// TestARefusalForAShareIsExplained follows a request that finds no room: it does not run,
// its caller learns when to retry, and the operator sees the cause.
func TestARefusalForAShareIsExplained(t *testing.T) {
	s, n, logs := shortSystem(t, &setRoom{})
	request, err := platformtest.Request("POST", n.address, "/lookup/x", "r1", nil)
	require.NoError(t, err)
	platformtest.SetKey(request, keyA)
	response, err := s.client.Do(request)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.NotEmpty(t, response.Header.Get("Retry-After"))
	require.Empty(t, s.plain.Sent("r1"))
	var timeline strings.Builder
	_, err = explain.Timeline("r1", strings.NewReader(logs.String()), &timeline)
	require.NoError(t, err)
	require.Contains(t, timeline.String(), "refused for its share")
	require.Contains(t, timeline.String(), "no room")
	server := httptest.NewServer(n.node.metricsHandler())
	t.Cleanup(server.Close)
	text, err := operator.NewClient(strings.TrimPrefix(server.URL, "http://"), s.client).AccountReport(t.Context(), "a")
	require.NoError(t, err)
	require.Contains(t, text, "wanted room: 1, got it: 0")
	require.Contains(t, text, "no_room       1")
}

// TestWithoutAccountsNothingWaits checks that a configuration without accounts has no gates.
func TestWithoutAccountsNothingWaits(t *testing.T) {
	s := newSystem(t)
	s.prepare = func(n *Node) { n.gates.room = &setRoom{} }
	status, _ := s.call(s.start("n1"), "POST", "/lookup/x", "r1", nil)
	require.Equal(t, http.StatusOK, status)
}

// BenchmarkRoom measures the room of a service that is not short, which is computed at most
// every roomLife. It does not depend on the number of nodes.
func BenchmarkRoom(b *testing.B) {
	for _, endpoints := range []int{15, 150, 1500} {
		b.Run(fmt.Sprintf("endpoints=%d", endpoints), func(b *testing.B) {
			n := &Node{directory: fleet.NewDirectory(slog.New(slog.DiscardHandler))}
			for i := range endpoints {
				n.directory.Set(&fleet.Endpoint{ID: fmt.Sprint(i), Service: "app", Slots: 6})
			}
			n.directory.Publish()
			b.ReportAllocs()
			for now := time.Now(); b.Loop(); {
				if n.Room("app", now) <= 0 {
					b.Fatal("no room")
				}
			}
		})
	}
}

// BenchmarkEnter measures the admission of a request that has room.
func BenchmarkEnter(b *testing.B) {
	for _, accounts := range []int{87, 100, 1000, 10_000} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			room := &setRoom{}
			gates := gates{room: room}
			names := make([]string, accounts)
			for i := range names {
				names[i] = fmt.Sprintf("account-%05d", i)
			}
			ctx := context.Background()
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				room.free.Store(1 << 30)
				gate := gates.of("app")
				if err := gate.enter(ctx, share.Work{Account: names[i*7919%accounts], Hold: time.Second}); err != nil {
					b.Fatal(err)
				}
				gate.leave()
			}
		})
	}
}
