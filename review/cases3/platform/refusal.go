package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Load of the refusal case. Five replicas run 250 requests a second at most, so that some requests
// meet full replicas.
const (
	updateReplicas = 5
	updateWork     = 40 * time.Millisecond
	updatesPerS    = 300
	refusalLength  = 84 * time.Second
	updateDeadline = 2 * time.Second
	// garbled replicas send late copies for garbleLength in each garblePeriod: a share of 0.6 for 5 s,
	// as in the troubles of the site file.
	garbled      = updateReplicas * 6 / 10
	garblePeriod = 7 * time.Second
	garbleLength = 5 * time.Second
)

const updateConfiguration = `{"version":1,"routes":[
 {"name":"update","host":"h.example","prefix":"/update/","kind":"non_idempotent","timeout_ms":2000,"target_latency_ms":400,"service":"app","max_attempts":2}],
 "services":[{"name":"app","max_conns":96}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":33554432,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// update is one request of a client.
type update struct {
	id, node string
	sent     time.Time
	status   int
}

// playRefusal sends updates, which may run once at most, to replicas that are full at times and that
// send a few of their answers a second time, late.
func playRefusal(w *world) error {
	replicas := make([]*replica, updateReplicas)
	for i := range replicas {
		var err error
		if replicas[i], err = w.newReplica(fmt.Sprintf("app-%d", i+1), uint64(i+1)); err != nil {
			return err
		}
	}
	w.store.Write("op/config", []byte(updateConfiguration))
	if err := w.startNodes(6); err != nil {
		return err
	}
	w.note("clients send %d updates a second for %s; with trouble (%t), %d of %d replicas send late copies for %s of each %s",
		updatesPerS, refusalLength, w.trouble, garbled, updateReplicas, garbleLength, garblePeriod)
	updates := make([]update, int(refusalLength.Seconds())*updatesPerS)
	var group sync.WaitGroup
	began := time.Now()
	for i := range updates {
		time.Sleep(time.Until(began.Add(time.Duration(i) * time.Second / updatesPerS)))
		spoil := w.trouble && time.Since(began)%garblePeriod < garbleLength
		for _, r := range replicas[:garbled] {
			r.garble(spoil)
		}
		u, n := &updates[i], w.nodes[i%len(w.nodes)]
		*u = update{id: fmt.Sprintf("u%d", i), node: n.name, sent: time.Now()}
		group.Go(func() {
			u.status, _ = call(n, http.MethodPost, "/update/x", u.id, []byte("body of "+u.id), updateDeadline)
		})
	}
	group.Wait()
	time.Sleep(time.Second) // for runs that begin after the answer
	w.checkUpdates(updates, replicas)
	return nil
}

// checkUpdates records what became of the updates and checks the rules TWICE and REFUSED.
func (w *world) checkUpdates(updates []update, replicas []*replica) {
	byStatus := map[int]int{}
	for _, u := range updates {
		byStatus[u.status]++
		runs, history := 0, ""
		for _, r := range replicas {
			n, events := r.historyOf(u.id)
			runs += n
			history += events
		}
		w.noteAt(u.sent, "%s sent to %s, answered %d;%s", u.id, u.node, u.status, history)
		switch {
		case runs > 1:
			w.violation("TWICE: %s ran %d times", u.id, runs)
		case runs > 0 && promisesNotRun(u.status):
			w.violation("REFUSED: %s ran and was answered %d", u.id, u.status)
		}
	}
	w.note("answers to clients by status: %v", byStatus)
	for _, r := range replicas {
		w.note("%s sent %d answers while it spoiled some, and %d late copies", r.id, r.answers, r.copies)
	}
}

// promisesNotRun reports whether a status promises that the request has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
