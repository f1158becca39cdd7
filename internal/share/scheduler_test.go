package share

import (
	"fmt"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var testStart = time.Unix(1_000_000, 0)

// TestRoomIsNeverIdleWhileWorkWaits lets requests come, end, be cancelled and time out in any
// order. Nothing waits while there is room, each request gets one decision, and no more are
// admitted than there is room for.
func TestRoomIsNeverIdleWhileWorkWaits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g, now := NewGate(), testStart
		slots := rapid.IntRange(1, 5).Draw(t, "slots")
		g.SetFree(float64(slots), now)
		running := 0
		var open []*Ticket
		settle := func() {
			var still []*Ticket
			for _, ticket := range open {
				select {
				case err := <-ticket.Decision():
					if err == nil {
						running++
					}
				default:
					still = append(still, ticket)
				}
			}
			open = still
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				w := Work{
					Account: rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "account"), Priority: rapid.IntRange(0, 3).Draw(t, "priority"),
					Hold: time.Duration(rapid.IntRange(0, 400).Draw(t, "hold")) * time.Millisecond, Spread: rapid.Float64Range(0, 1).Draw(t, "spread"),
				}
				ticket, err := g.Offer(w, now)
				switch {
				case err != nil:
					after, ok := RetryAfter(err)
					require.True(t, ok)
					require.GreaterOrEqual(t, after, minRetryAfter)
					require.LessOrEqual(t, after, maxRetryAfter)
					require.Equal(t, slots, running, "refused while there is room")
				case ticket == nil:
					running++
				default:
					open = append(open, ticket)
				}
			},
			"end": func(*rapid.T) {
				if running > 0 {
					running--
					g.Ended(now)
				}
			},
			"cancel": func(t *rapid.T) {
				if len(open) == 0 {
					return
				}
				i := rapid.IntRange(0, len(open)-1).Draw(t, "open")
				require.False(t, g.Cancel(open[i]))
				open = append(open[:i], open[i+1:]...)
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
				g.SetFree(float64(slots-running), now)
			},
			"": func(t *rapid.T) {
				settle()
				require.LessOrEqual(t, running, slots)
				require.Equal(t, len(open), g.Waiting())
				if g.Waiting() > 0 {
					require.Equal(t, slots, running, "room is idle while a request waits")
				}
			},
		})
	})
}

// TestUnfairnessIsBounded checks that two accounts of one priority that wait all the time
// get the same, up to the costs of two pieces of work, and that nobody starves.
func TestUnfairnessIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxCost = 10
		s, now := NewScheduler[string](), testStart
		accounts := rapid.IntRange(2, 8).Draw(t, "accounts")
		got := make(map[string]float64)
		push := func(name string) {
			s.Push(name, 0, float64(rapid.IntRange(1, maxCost).Draw(t, "cost")), name, now)
		}
		for i := range accounts {
			for range 2 {
				push(fmt.Sprint(i))
			}
		}
		for range 200 {
			e := s.Next(now)
			got[e.Value] += e.cost
			push(e.Value)
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
		}
		for i := range accounts {
			for j := range accounts {
				require.LessOrEqual(t, got[fmt.Sprint(i)]-got[fmt.Sprint(j)], 2.0*maxCost)
			}
		}
	})
}

// TestTheLessUrgentDoesNotStarve checks the floor under strict priority.
func TestTheLessUrgentDoesNotStarve(t *testing.T) {
	s, now := NewScheduler[int](), testStart
	got := map[int]int{}
	for range 3000 {
		for priority := range 3 {
			s.Push("a", priority, 1, priority, now)
		}
		got[s.Next(now).Value]++
		now = now.Add(time.Millisecond)
	}
	for priority := range 3 {
		require.GreaterOrEqual(t, float64(got[priority])/3000, quarter*3000/9000, "priority %d", priority)
	}
	require.Greater(t, got[0], got[1]+got[2])
}

// TestUnusedSharesGoToTheOthers checks that one account alone gets all room.
func TestUnusedSharesGoToTheOthers(t *testing.T) {
	g := NewGate()
	g.SetFree(100, testStart)
	for range 100 {
		ticket, err := g.Offer(Work{Account: "a"}, testStart)
		require.NoError(t, err)
		require.Nil(t, ticket)
	}
}

// TestRefusalsNameTheirCause checks that the account that uses most is told so, and another
// one that there is no room, and that the first waits longer before it retries.
func TestRefusalsNameTheirCause(t *testing.T) {
	g, now := NewGate(), testStart
	g.SetFree(1, now)
	_, err := g.Offer(Work{Account: "large"}, now)
	require.NoError(t, err)
	for range 50 {
		_, err = g.Offer(Work{Account: "large", Hold: time.Second}, now)
		require.NoError(t, err, "the rate is not known yet")
	}
	_, err = g.Offer(Work{Account: "small", Hold: time.Second}, now)
	require.NoError(t, err)
	for range 20 {
		now = now.Add(10 * time.Millisecond)
		g.Ended(now)
	}
	_, err = g.Offer(Work{Account: "large", Hold: 20 * time.Millisecond}, now)
	require.True(t, errorx.IsOfType(err, ErrExceeded), "%v", err)
	exceeded, _ := RetryAfter(err)
	_, err = g.Offer(Work{Account: "other"}, now)
	require.True(t, errorx.IsOfType(err, ErrNoRoom), "%v", err)
	noRoom, _ := RetryAfter(err)
	require.Greater(t, exceeded, noRoom)
}

// TestIdleAccountsAreForgotten bounds what a scheduler remembers.
func TestIdleAccountsAreForgotten(t *testing.T) {
	s := NewScheduler[int]()
	for i := range 10_000 {
		s.Pass(fmt.Sprint(i), 0, 1, testStart)
	}
	require.Equal(t, 10_000, len(s.flows))
	s.Pass("a", 0, 1, testStart.Add(2*idleTimeout))
	require.Equal(t, 1, len(s.flows))
}
