package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of the plain replicas, in the figures of the site's sheet and of its days.
const (
	rewardWork = 80 * time.Millisecond
	// longRewardWork is the longest work of a reward call on the sheet.
	longRewardWork = 600 * time.Millisecond
	slowFactor     = 3.7
	slowFor        = 8 * time.Second
	// longRewards is the number of items whose reward call is a long one.
	longRewards = 8
	// moreEvents is how many events the text of each of these items has more than the last one's.
	moreEvents = 3
	// shortTimeout is the timeout of the reward calls' route in milliseconds.
	shortTimeout = 1000
)

func init() { cases["slow"] = caseSlowRewards }

// answeredRewards counts the answers to reward calls by id and status.
type answeredRewards struct {
	mu   sync.Mutex
	byID map[string]map[int]int
	// trouble means that the replicas turn slow as the first long call arrives, at slowAt.
	trouble bool
	slowAt  time.Time
}

func (a *answeredRewards) count(id string, status int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.byID[id] == nil {
		a.byID[id] = map[int]int{}
	}
	a.byID[id][status]++
}

// work returns how long a reward call takes that begins now.
func (a *answeredRewards) work(id string) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	work := rewardWork
	if strings.HasPrefix(id, "reward-long") {
		work = longRewardWork
		if a.trouble && a.slowAt.IsZero() {
			a.slowAt = time.Now()
		}
	}
	if !a.slowAt.IsZero() && time.Since(a.slowAt) < slowFor {
		return time.Duration(slowFactor * float64(work))
	}
	return work
}

// rewardedEvents returns the number of events of an item's text. Those with a long reward call have
// different lengths, so that their reward calls don't all begin and end at the same moment.
func rewardedEvents(id string) int {
	number, long := strings.CutPrefix(id, "long")
	if !long {
		return textEvents
	}
	n, _ := strconv.Atoi(number) // the ids of this case end with a number
	return textEvents + n*moreEvents
}

// answer serves a reward call: it stops at the deadline that came with it.
func (a *answeredRewards) answer(w *world, r *replica, writer http.ResponseWriter, request *http.Request) {
	began := time.Now()
	readBody(request)
	id := request.Header.Get("X-Request-Id")
	status := http.StatusOK
	work := a.work(id)
	if left, err := strconv.Atoi(request.Header.Get("X-Deadline-Ms")); err == nil && time.Duration(left)*time.Millisecond < work {
		work, status = time.Duration(left)*time.Millisecond, http.StatusGatewayTimeout
	}
	select {
	case <-time.After(time.Until(began.Add(work))):
	case <-request.Context().Done():
		return
	}
	a.count(id, status)
	w.note("reward call %s at %s: %d after %d ms", id, r.id, status, time.Since(began).Milliseconds())
	r.head(writer, request)
	writer.WriteHeader(status)
	fmt.Fprint(writer, "scored")
}

// caseSlowRewards: the plain replicas turn slow for some seconds, so that the longest reward calls
// miss their deadline there.
func caseSlowRewards(w *world, trouble bool) (outcome, error) {
	rewards := &answeredRewards{byID: map[string]map[int]int{}, trouble: trouble}
	engine := func(r *replica, writer http.ResponseWriter, request *http.Request) {
		readBody(request)
		r.streamEvents(writer, request, rewardedEvents(request.Header.Get("X-Request-Id")), eventGap, nil)
	}
	plain := func(r *replica, writer http.ResponseWriter, request *http.Request) {
		rewards.answer(w, r, writer, request)
	}
	if err := w.startRollouts(shortTimeout, engine, plain); err != nil {
		return outcome{}, err
	}
	items := groups("a", 4)
	for n := range longRewards {
		items = append(items, item{fmt.Sprintf("long%d", n), fmt.Sprintf("long-%d", n/4), fmt.Sprintf("reward-long%d", n)})
	}
	if trouble {
		w.note("the plain replicas take %.1f times as long for %s from the first long reward call on", slowFactor, slowFor)
	}
	if err := w.submit("lot-a", submission(0, 1, 6, items)); err != nil {
		return outcome{}, err
	}
	listed, err := w.results("lot-a", len(items), 12*time.Second)
	if err != nil {
		return outcome{}, err
	}
	if len(listed) < len(items) && !trouble {
		return outcome{}, fmt.Errorf("only %d of %d results came", len(listed), len(items))
	}
	return rewards.judge(listed), nil
}

// judge compares the results with the rule.
func (a *answeredRewards) judge(listed []result) outcome {
	a.mu.Lock()
	defer a.mu.Unlock()
	early, text := 0, ""
	for _, r := range listed {
		answers := a.byID["reward-"+r.ID]
		if r.State == "abandoned" && answers[http.StatusInternalServerError] < rewardAttempts {
			early++
			text = fmt.Sprintf("; %s after these answers to its reward call: %v", r.ID, answers)
		}
	}
	return outcome{broken: early > 0, text: fmt.Sprintf("%d of %d listed items were abandoned before %d answers of 500%s", early, len(listed), rewardAttempts, text)}
}
