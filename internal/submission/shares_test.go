package submission

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/comfreyfront/comfreyfront/internal/account"
	"github.com/comfreyfront/comfreyfront/internal/fleet"
	"github.com/comfreyfront/comfreyfront/internal/route"
)

// shortOwner returns an owner with four slots for 27 waiting items: two steps of a large
// account, then a more urgent one and one of another account.
func shortOwner(t *testing.T, accounts *account.Directory, now time.Time) (*Owner, []candidate) {
	f := newFixture(1)
	c := route.New(2, f.routes.Load().Routes, nil, route.Limits{})
	c.Accounts = accounts
	f.routes.Offer(c)
	o := f.owner(t, "n")
	for i, s := range []struct {
		id, account     string
		priority, items int
	}{{"large-1", "large", 1, 8}, {"large-2", "large", 1, 8}, {"urgent", "other", 0, 3}, {"small", "small", 1, 8}} {
		record := submissionOf(s.id, s.items, 1, 1)
		record.WantedGroups = int32(s.items / 2)
		record.Priority = proto.Int32(int32(s.priority))
		for _, item := range record.GetItems() {
			item.Id = s.id + "/" + item.GetId()
		}
		o.Open(record, head{Account: s.account, AcceptedMillis: now.UnixMilli() + int64(i)}, nil, 0)
	}
	var items []candidate
	for _, i := range o.items {
		items = append(items, o.candidateOf(i))
	}
	return o, items
}

// orderOf returns the submissions in the order of their first items.
func orderOf(items []candidate) []string {
	var order []string
	for _, c := range items {
		if len(order) == 0 || order[len(order)-1] != c.submission.id {
			order = append(order, c.submission.id)
		}
	}
	return order
}

func TestStepsOfAccountsShareShortEngines(t *testing.T) {
	now := testNow()
	accounts, err := account.NewDirectory(nil)
	require.NoError(t, err)
	for _, row := range []struct {
		name     string
		accounts *account.Directory
		want     []string
	}{
		{"accounts", accounts, []string{"urgent", "large-1", "small", "large-2", "urgent", "large-1", "small", "large-2"}},
		{"no accounts", nil, []string{"large-1", "large-2", "urgent", "small"}},
	} {
		o, items := shortOwner(t, row.accounts, now)
		e := newEngines(o.options.Directory.Of("s"), fleet.NewLoadSlope(), "z", now)
		o.sortForPlacing(items, e, now)
		require.Equal(t, row.want, orderOf(items), "%s: each step is kept whole, what no trainer waits for is last", row.name)
	}
	o, items := shortOwner(t, accounts, now)
	for i := range 10 {
		o.options.Directory.Set(&fleet.Endpoint{ID: fmt.Sprint("more", i), Service: "s", Slots: 4, Versions: map[string]int64{"m": 1}})
	}
	o.options.Directory.Publish()
	o.sortForPlacing(items, newEngines(o.options.Directory.Of("s"), fleet.NewLoadSlope(), "z", now), now)
	require.Equal(t, []string{"large-1", "large-2", "urgent", "small"}, orderOf(items), "with room for all the order stays")
	o, items = shortOwner(t, accounts, now)
	o.options.Routes.Load().Routes[0].RunDeadline = time.Hour
	o.sortForPlacing(items, newEngines(o.options.Directory.Of("s"), fleet.NewLoadSlope(), "z", now), now)
	require.Equal(t, []string{"large-1", "large-2", "urgent", "small"}, orderOf(items), "a burst that can be done in time is no shortage")
}

// TestWantedGroupsGoFirst checks that the groups that need least go first, as many as the
// trainer waits for.
func TestWantedGroupsGoFirst(t *testing.T) {
	o := newFixture(1).owner(t, "n")
	for range 50 {
		o.lengths.observe(10, 10)
	}
	record := submissionOf("a", 3, 2, 1)
	record.WantedGroups = 2
	for _, item := range record.GetItems()[:2] {
		item.Tokens = 1000
	}
	o.Open(record, head{}, nil, 0)
	require.Equal(t, map[string]bool{"g1": true, "g2": true}, o.wantedGroups(o.submissions["a"]))
}
