package route

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestMatchPrefersLongestPrefixOfHost(t *testing.T) {
	short := &Route{Name: "short", Host: "a.example", Prefix: "/"}
	long := &Route{Name: "long", Host: "a.example", Prefix: "/x/y/"}
	other := &Route{Name: "other", Host: "b.example", Prefix: "/x/"}
	c := New(1, []*Route{short, long, other}, nil, Limits{})
	for _, row := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "long"},
		{"A.Example:80", "/x/y/", "long"},
		{"a.example", "/x/y", "short"},
		{"b.example", "/x/y/z", "other"},
		{"b.example", "/", ""},
		{"c.example", "/x/y/z", ""},
	} {
		t.Run(row.host+row.path, func(t *testing.T) {
			matched, ok := c.Match(row.host, row.path)
			require.Equal(t, row.want != "", ok)
			if ok {
				require.Equal(t, row.want, matched.Name)
			}
		})
	}
}

func TestHolderKeepsNewestVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h Holder
		newest := int64(0)
		for range rapid.IntRange(1, 30).Draw(t, "offers") {
			version := rapid.Int64Range(1, 20).Draw(t, "version")
			accepted := h.Offer(&Configuration{Version: version})
			if accepted != (version > newest) {
				t.Fatalf("version %d after %d: accepted %v", version, newest, accepted)
			}
			newest = max(newest, version)
			if h.Load().Version != newest {
				t.Fatalf("version %d is in force, want %d", h.Load().Version, newest)
			}
		}
	})
}

func TestSplitFollowsWeights(t *testing.T) {
	r := &Route{Services: []Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "none", Weight: 0}}}
	count := map[string]int{}
	const requests = 10000
	for i := range requests {
		key := fmt.Sprintf("request-%d", i)
		service := r.ServiceFor(key)
		require.Equal(t, service, r.ServiceFor(key))
		count[service]++
	}
	require.Zero(t, count["none"])
	require.InDelta(t, 0.9, float64(count["a"])/requests, 0.03)
	require.Empty(t, (&Route{}).ServiceFor("x"))
}

func TestRepeatable(t *testing.T) {
	for _, row := range []struct {
		route Route
		want  bool
	}{
		{Route{}, false},
		{Route{Kind: NonIdempotent, Resumable: true}, false},
		{Route{Kind: Idempotent}, true},
		{Route{Kind: Stream}, false},
		{Route{Kind: Stream, Resumable: true}, true},
		{Route{Kind: Batch}, true},
	} {
		require.Equal(t, row.want, row.route.Repeatable(), "%+v", row.route)
	}
}
