// Command 4 shows that a node that is stopped as planned breaks off requests well before
// the end of its grace time. See claim.txt.
package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	rig "github.com/comfreyfront/comfreyfront/review/platform"
)

const (
	host     = "ficu95.example"
	replicas = 4
	deadline = 12 * time.Second
	grace    = 8 * time.Second
	// lastSixth is where the last sixth of the grace time begins: a request on which a
	// replica still works then isn't counted.
	lastSixth = grace * 5 / 6
	// ends is when the replicas end the requests, counted from the SIGTERM.
	ends = 6350 * time.Millisecond
)

// sends are when the requests are sent, counted from the SIGTERM.
var sends = []time.Duration{-500 * time.Millisecond, 0, 400 * time.Millisecond, 800 * time.Millisecond}

const perSend = 4

var prefixes = []string{"/lohu930/", "/pufi791/"}

func main() { os.Exit(run()) }

func run() int {
	record := rig.OpenRecord()
	defer record.Close()
	d := rig.NewDeployment(6)
	defer d.Close()
	d.Configure()
	var stoppedAt atomic.Int64 // Unix nanoseconds
	var all []*rig.Replica
	for i := range replicas {
		e := &rig.Replica{
			ID: fmt.Sprintf("i-%d", i), Service: "xano55b", Zone: rig.Zones[i%len(rig.Zones)], Slots: 6, Record: record,
			Work: func(*http.Request) time.Duration { return time.Until(time.Unix(0, stoppedAt.Load()).Add(ends)) },
		}
		e.Start(d)
		all = append(all, e)
	}
	d.Start()
	node := d.Nodes[0]
	time.Sleep(2 * time.Second)

	stopAt := time.Now().Add(time.Second)
	stoppedAt.Store(stopAt.UnixNano())
	var mu sync.Mutex
	outcomes := map[string]rig.Outcome{}
	var clients sync.WaitGroup
	for n, send := range sends {
		for k := range perSend {
			clients.Go(func() {
				time.Sleep(time.Until(stopAt.Add(send)))
				id := fmt.Sprintf("q-%d-%d", n, k)
				record.Line("send %s to %s", id, node.Name)
				outcome := rig.NewClient().Send(http.MethodPost, node.Front(), host, prefixes[k%len(prefixes)]+"x", id, "bag "+id, deadline)
				record.Line("answer to %s: %.2f s after the SIGTERM, status %d, %v", id, time.Since(stopAt).Seconds(), outcome.Status, outcome.Err)
				mu.Lock()
				outcomes[id] = outcome
				mu.Unlock()
			})
		}
	}
	time.Sleep(time.Until(stopAt))
	exited := make(chan time.Duration, 1)
	if rig.Trouble() {
		record.Say("SIGTERM to %s", node.Name)
		node.Process().Signal(syscall.SIGTERM)
		go func() {
			<-node.Process().Done()
			exited <- time.Since(stopAt)
		}()
	}
	clients.Wait()
	if rig.Trouble() {
		select {
		case after := <-exited:
			record.Say("%s exited %.2f s after the SIGTERM", node.Name, after.Seconds())
		case <-time.After(time.Until(stopAt.Add(grace))):
			record.Say("%s still runs at the end of its grace time", node.Name)
		}
	}
	return judge(record, outcomes, all, stopAt)
}

// judge applies LOST: a process has read the whole request and passed it on to a replica,
// and the channel ended without a complete answer. Requests on which a replica still
// worked in the last sixth of the grace time aren't counted.
func judge(record *rig.Record, outcomes map[string]rig.Outcome, all []*rig.Replica, stopAt time.Time) int {
	ran := map[string]string{}
	for _, e := range all {
		for _, r := range e.Runs() {
			ran[r.ID] = "broke off at"
			if r.Ended {
				ran[r.ID] = "ended at"
			}
			ran[r.ID] += " " + e.ID
		}
	}
	if ends >= lastSixth || time.Since(stopAt) > deadline {
		return rig.NotRun
	}
	lost, served, passed := 0, 0, 0
	for id, outcome := range outcomes {
		if ran[id] != "" {
			passed++
		}
		switch {
		case outcome.Status == http.StatusOK && strings.HasPrefix(outcome.Body, rig.Answer(id)):
			served++
		case outcome.Status == 0 && ran[id] != "":
			lost++
			record.Say("LOST: %s was passed on, the work %s, and the channel ended: %v", id, ran[id], outcome.Err)
		default:
			record.Say("%s: status %d", id, outcome.Status)
		}
	}
	record.Say("%d requests sent, %d passed on to a replica, %d answered whole, %d lost", len(outcomes), passed, served, lost)
	switch {
	case lost > 0:
		return rig.Broken
	case passed == 0:
		return rig.NotRun
	}
	return rig.Held
}
