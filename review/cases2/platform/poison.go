package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Bounds of the rule BUDGET, on requests that crash replicas.
const (
	stableTime = 3 * time.Second
	maxRetries = 3
	// crashesBefore is the number of crashes after which retries count.
	crashesBefore = 3
	// crashPause is how long a replica that crashed is away.
	crashPause = 1500 * time.Millisecond
)

// poisonMark is the body of the request that crashes each replica that begins to run it.
const poisonMark = "poison"

// poisonRecord counts the crashes that a request causes.
type poisonRecord struct {
	mu sync.Mutex
	// crashed are the times of the crashes.
	crashed []time.Time
	// counted are the client attempts that reached a replica later than stableTime after the
	// third crash.
	counted map[string]bool
}

// reached records that a client attempt reached a replica and crashes it. ids of client
// attempts are the request IDs.
func (p *poisonRecord) reached(w *world, r *replica, id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if len(p.crashed) >= crashesBefore && now.Sub(p.crashed[crashesBefore-1]) > stableTime {
		p.counted[id] = true
	}
	p.crashed = append(p.crashed, now)
	w.note("replica %s runs %s and crashes (crash %d)", r.id, id, len(p.crashed))
}

// outcome compares the record with the rule.
func (p *poisonRecord) outcome() outcome {
	p.mu.Lock()
	defer p.mu.Unlock()
	text := fmt.Sprintf("%d crashes; %d retries reached replicas later than %s after the third crash, and %d are allowed",
		len(p.crashed), len(p.counted), stableTime, maxRetries)
	return outcome{broken: len(p.counted) > maxRetries, text: text}
}

// poisonRun is the repeated sending of one request that crashes replicas.
type poisonRun struct {
	path string
	// body is the body of the request; it is empty if the path tells the request.
	body string
	// ordinaryPath is the path of the ordinary requests.
	ordinaryPath string
	interval     time.Duration
	length       time.Duration
}

// play sends the request again and again, at one node after the other, with ordinary
// requests of the same route between.
func (run poisonRun) play(w *world) (ordinary, served int) {
	began := time.Now()
	for n := 0; time.Since(began) < run.length; n++ {
		next := began.Add(time.Duration(n+1) * run.interval)
		target := w.nodes[n%len(w.nodes)]
		id := fmt.Sprintf("p%04d", n)
		got := send(target, http.MethodPost, run.path, id, 2*time.Second, nil, []byte(run.body))
		w.note("client sends %s at %s: status %d, error %v", id, target.name, got.status, got.err != nil)
		ordinary++
		if got := send(target, http.MethodPost, run.ordinaryPath, fmt.Sprintf("o%04d", n), 2*time.Second, nil, []byte(fmt.Sprint("ordinary ", n))); got.status == http.StatusOK {
			served++
		}
		time.Sleep(time.Until(next))
	}
	w.note("%d of %d ordinary requests were served", served, ordinary)
	return ordinary, served
}

func init() { cases["poison"] = casePoisonStream }

// casePoisonStream: a stream crashes each replica that begins to run it, with its first
// token, and its client sends it again.
func casePoisonStream(w *world, trouble bool) (outcome, error) {
	record := &poisonRecord{counted: map[string]bool{}}
	serve := func(r *replica, writer http.ResponseWriter, request *http.Request) {
		poisonous := trouble && strings.Contains(readBody(request), poisonMark)
		id := request.Header.Get("X-Request-Id")
		r.streamEvents(writer, request, 5, 20*time.Millisecond, func(n int) bool {
			if !poisonous || n < 2 {
				return false
			}
			record.reached(w, r, id)
			r.crash(crashPause)
			<-request.Context().Done()
			return true
		})
	}
	if err := w.store.configure(1, []object{chatRoute()}, services()); err != nil {
		return outcome{}, err
	}
	for i := range 4 {
		if _, err := w.startReplica(engineService, fmt.Sprintf("e-%d", i), fmt.Sprintf("zone-%d", i%2), serve); err != nil {
			return outcome{}, err
		}
	}
	if err := w.startNodes("front-1", "front-2", "front-3"); err != nil {
		return outcome{}, err
	}
	ordinary, served := poisonRun{path: "/chat/a", body: poisonMark, ordinaryPath: "/chat/a", interval: time.Second, length: 25 * time.Second}.play(w)
	if served < ordinary/4 {
		return outcome{}, fmt.Errorf("only %d of %d ordinary requests were served", served, ordinary)
	}
	return record.outcome(), nil
}
