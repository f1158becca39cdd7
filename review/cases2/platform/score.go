package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Texts of the case: the event gap and the numbers of events of an ordinary and of a long text.
const (
	eventGap   = 20 * time.Millisecond
	textEvents = 10
	longEvents = 400
	// rewardAttempts is max_attempts of the route of the reward calls.
	rewardAttempts = 4
	// rewardTimeout is the timeout of that route in milliseconds.
	rewardTimeout = 2000
	// trainTime is how long the trainer trains between two batch submissions.
	trainTime = 500 * time.Millisecond
)

// rewardRecord counts the answers of 500 to each reward call.
type rewardRecord struct {
	mu       sync.Mutex
	failures map[string]int
}

// fails decides whether a reward call is answered with 500, and counts that.
func (c *rewardRecord) fails(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	always := id == "reward-a-x1"
	once := id == "reward-b-x1" && c.failures[id] == 0
	if always || once {
		c.failures[id]++
	}
	return always || once
}

func (c *rewardRecord) of(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failures[id]
}

func init() { cases["score"] = caseEarlyAbandon }

// caseEarlyAbandon: the reward call of an item always fails in one batch submission. Its group
// was not complete and comes again in the next one, where the new reward call fails once.
func caseEarlyAbandon(w *world, trouble bool) (outcome, error) {
	record := &rewardRecord{failures: map[string]int{}}
	engine := func(r *replica, writer http.ResponseWriter, request *http.Request) {
		readBody(request)
		events := textEvents
		if request.Header.Get("X-Request-Id") == "x2" {
			events = longEvents
		}
		r.streamEvents(writer, request, events, eventGap, nil)
	}
	plain := func(r *replica, writer http.ResponseWriter, request *http.Request) {
		readBody(request)
		id := request.Header.Get("X-Request-Id")
		r.head(writer, request)
		if trouble && record.fails(id) {
			w.note("reward call %s at %s: 500", id, r.id)
			writer.WriteHeader(http.StatusInternalServerError)
			return
		}
		w.note("reward call %s at %s: 200", id, r.id)
		fmt.Fprint(writer, "scored")
	}
	if err := w.startRollouts(rewardTimeout, engine, plain); err != nil {
		return outcome{}, err
	}
	first := append(groups("a", 2), item{"x1", "x", "reward-a-x1"}, item{"x2", "x", "reward-a-x2"})
	if err := w.submit("lot-a", submission(0, 1, 2, first)); err != nil {
		return outcome{}, err
	}
	// Two groups of two and the first item of the third group; its second item is long.
	listed, err := w.results("lot-a", 5, 6*time.Second)
	if err != nil || len(listed) < 5 {
		return outcome{}, fmt.Errorf("%d of 5 results of the first submission came: %w", len(listed), err)
	}
	if err := w.end("lot-a"); err != nil {
		return outcome{}, err
	}
	time.Sleep(trainTime)
	second := append([]item{{"x1", "x", "reward-b-x1"}, {"x2", "x", "reward-b-x2"}}, groups("b", 1)...)
	if err := w.submit("lot-b", submission(1, 1, 2, second)); err != nil {
		return outcome{}, err
	}
	listed, err = w.results("lot-b", len(second), 20*time.Second)
	if err != nil {
		return outcome{}, err
	}
	return judgeAbandoned(listed, record)
}

// startRollouts starts a deployment with three engines, two plain replicas and three nodes.
// rewardTimeoutMS is the timeout of the reward calls' route.
func (w *world) startRollouts(rewardTimeoutMS int, engine, plain func(*replica, http.ResponseWriter, *http.Request)) error {
	if err := w.store.configure(1, []object{rolloutRoute(), rewardRoute(rewardTimeoutMS)}, services()); err != nil {
		return err
	}
	for i := range 3 {
		if _, err := w.startReplica(engineService, fmt.Sprintf("e-%d", i), fmt.Sprintf("zone-%d", i%2), engine); err != nil {
			return err
		}
	}
	for i := range 2 {
		if _, err := w.startReplica(plainService, fmt.Sprintf("s-%d", i), fmt.Sprintf("zone-%d", i), plain); err != nil {
			return err
		}
	}
	return w.startNodes("front-1", "front-2", "front-3")
}

// groups returns the items of complete groups of two.
func groups(name string, count int) []item {
	var items []item
	for g := range count {
		for n := range 2 {
			id := fmt.Sprintf("%s%d%d", name, g, n)
			items = append(items, item{id, fmt.Sprintf("%s%d", name, g), "reward-" + id})
		}
	}
	return items
}

// judgeAbandoned compares the results of the second submission with the rule.
func judgeAbandoned(listed []result, record *rewardRecord) (outcome, error) {
	for _, r := range listed {
		if r.ID != "x1" {
			continue
		}
		failures := record.of("reward-b-x1")
		text := fmt.Sprintf("item x1 is %s in the second submission; its reward call there had %d answers of 500, and %d are needed to give it up", r.State, failures, rewardAttempts)
		early := r.State == "abandoned" && failures < rewardAttempts
		if r.State == "completed" && !strings.HasSuffix(r.Score, "reward-b-x1") {
			return outcome{broken: true, text: "the score of x1 is that of another call: " + r.Score}, nil
		}
		return outcome{broken: early, text: text}, nil
	}
	return outcome{}, fmt.Errorf("item x1 was not listed in the second submission")
}
