package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Bounds of the rule BUDGET, on items that can never be done, and parameters of the case.
const (
	maxRejections = 3
	submissions   = 5
	endlessEvents = 5000
)

func init() { cases["reject"] = caseRejectedAgain }

// caseRejectedAgain: an item is answered 422 whenever it runs. Another item of its group has a
// long text, so that the group comes again in later batch submissions.
func caseRejectedAgain(w *world, trouble bool) (outcome, error) {
	var mu sync.Mutex
	rejections, again := 0, 0
	engine := func(r *replica, writer http.ResponseWriter, request *http.Request) {
		readBody(request)
		id := request.Header.Get("X-Request-Id")
		if trouble && id == "x1" {
			mu.Lock()
			defer mu.Unlock()
			if rejections >= maxRejections {
				again++
			}
			rejections++
			w.note("item x1 reaches %s and is answered 422 (time %d)", r.id, rejections)
			r.head(writer, request)
			writer.WriteHeader(http.StatusUnprocessableEntity)
			return
		}
		events := textEvents
		if id == "x2" {
			events = endlessEvents
		}
		r.streamEvents(writer, request, events, eventGap, nil)
	}
	plain := func(r *replica, writer http.ResponseWriter, request *http.Request) {
		readBody(request)
		r.head(writer, request)
		fmt.Fprint(writer, "scored")
	}
	if err := w.startRollouts(engine, plain); err != nil {
		return outcome{}, err
	}
	for step := range submissions {
		id := fmt.Sprintf("lot-%d", step)
		items := append([]item{{"x1", "x", "reward-" + id + "-x1"}, {"x2", "x", "reward-" + id + "-x2"}}, groups(fmt.Sprintf("g%d", step), 2)...)
		if err := w.submit(id, submission(step, 1, 2, items)); err != nil {
			return outcome{}, err
		}
		// Both other groups and the first item of the group with the long text.
		listed, err := w.results(id, 5, 6*time.Second)
		if err != nil || len(listed) < 5 {
			return outcome{}, fmt.Errorf("%d of 5 results of %s came: %w", len(listed), id, err)
		}
		if err := w.end(id); err != nil {
			return outcome{}, err
		}
		time.Sleep(trainTime)
	}
	mu.Lock()
	defer mu.Unlock()
	text := fmt.Sprintf("item x1 was answered 422 %d times, and reached a replica %d times after %d of these answers", rejections, again, maxRejections)
	return outcome{broken: again > 0, text: text}, nil
}
