package listclient_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/keyvalue"
	"github.com/comfreyfront/comfreyfront/internal/keyvalue/listclient"
	"github.com/comfreyfront/comfreyfront/internal/standin/fault"
	"github.com/comfreyfront/comfreyfront/internal/standin/list"
)

func TestInstanceListLagsBehindRegistrations(t *testing.T) {
	now := time.Unix(1000, 0)
	server := list.New(list.Options{Lag: 2 * time.Second, TTL: 10 * time.Second, Now: func() time.Time { return now }})
	listener := httptest.NewServer(server.Handler())
	defer listener.Close()
	client := listclient.New(listclient.Options{Address: strings.TrimPrefix(listener.URL, "http://")})
	defer client.Close()
	instances := func() []keyvalue.Instance {
		listed, err := client.Instances(t.Context())
		require.NoError(t, err)
		return listed
	}
	engine := keyvalue.Instance{ID: "e1", Kind: keyvalue.KindEngine, Address: "127.0.0.1:1", Serves: "m"}
	server.Register(engine)
	require.Empty(t, instances())
	now = now.Add(2 * time.Second)
	require.Equal(t, []keyvalue.Instance{engine}, instances())
	server.MarkLeaving("e1")
	require.False(t, instances()[0].Leaving)
	now = now.Add(2 * time.Second)
	server.Register(engine)
	require.True(t, instances()[0].Leaving, "a renewal must not clear the leaving flag")
	now = now.Add(11 * time.Second)
	require.Empty(t, server.Current(), "an instance that is not renewed within its TTL must be removed")
	require.Len(t, instances(), 1)
	now = now.Add(2 * time.Second)
	require.Empty(t, instances())
}

// TestPartialResponsesMatchWholeList changes a list at random and compares a client that
// keeps its cursor with a new client, also across a restart of the list server and with
// cursors that are too old.
func TestPartialResponsesMatchWholeList(t *testing.T) {
	server := list.New(list.Options{})
	handler := server.Handler()
	listener := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { handler.ServeHTTP(w, r) }))
	defer listener.Close()
	options := listclient.Options{Address: strings.TrimPrefix(listener.URL, "http://")}
	persistent := listclient.New(options)
	random := rand.New(rand.NewPCG(1, 1))
	for round := range 300 {
		changes := random.IntN(4)
		if round%100 == 99 {
			changes = 5000 // more changes than the server's history holds
		}
		for range changes {
			id := fmt.Sprint("e", random.IntN(20))
			switch random.IntN(3) {
			case 0:
				server.Register(keyvalue.Instance{ID: id, Address: fmt.Sprint("10.0.0.1:", random.IntN(1000))})
			case 1:
				server.MarkLeaving(id)
			case 2:
				server.Deregister(id)
			}
		}
		if round == 150 {
			server = list.New(list.Options{})
			handler = server.Handler()
		}
		got, err := persistent.Instances(t.Context())
		require.NoError(t, err)
		fresh := listclient.New(options)
		want, err := fresh.Instances(t.Context())
		require.NoError(t, err)
		fresh.Close()
		require.Equal(t, want, got, "round %d", round)
	}
	persistent.Close()
}

func TestFailureIsUnavailable(t *testing.T) {
	server := list.New(list.Options{})
	listener := httptest.NewServer(server.Handler())
	defer listener.Close()
	client := listclient.New(listclient.Options{Address: strings.TrimPrefix(listener.URL, "http://")})
	server.Gate.Set(fault.Fault{Down: true})
	_, err := client.Instances(t.Context())
	require.True(t, errorx.IsOfType(err, keyvalue.ErrUnavailable))
}
