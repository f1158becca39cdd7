// Command 3 shows that a request of a non_idempotent route can run twice. See claim.txt.
package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	rig "github.com/comfreyfront/comfreyfront/review/platform"
)

// The disruption: answer_lost, how reset, with the share, count and length that the site
// file names.
const (
	lostShare = 0.5
	lostX     = 0.05
	lostFor   = 4 * time.Second
)

const (
	host     = "ficu95.example"
	replicas = 4
	before   = 3 * time.Second
	after    = 3 * time.Second
	workMean = 21 * time.Millisecond
	deadline = 1500 * time.Millisecond
)

func main() { os.Exit(run()) }

func run() int {
	record := rig.OpenRecord()
	defer record.Close()
	d := rig.NewDeployment(6)
	defer d.Close()
	d.Configure()
	var losing atomic.Bool
	var all []*rig.Replica
	for i := range replicas {
		e := &rig.Replica{
			ID: fmt.Sprintf("i-%d", i), Service: "xano55b", Zone: rig.Zones[i%len(rig.Zones)], Slots: 6, Record: record,
			Work: func(*http.Request) time.Duration { return workMean/2 + rand.N(workMean) },
		}
		if i < int(lostShare*replicas) {
			e.LoseAnswer = func(*http.Request) bool { return losing.Load() && rand.Float64() < lostX }
		}
		e.Start(d)
		all = append(all, e)
	}
	d.Start()

	var mu sync.Mutex
	outcomes := map[string]rig.Outcome{}
	var stop atomic.Bool
	var clients sync.WaitGroup
	for n, node := range d.Nodes {
		for _, method := range []string{http.MethodPost, http.MethodGet} {
			clients.Go(func() {
				client := rig.NewClient()
				for k := 0; !stop.Load(); k++ {
					id := fmt.Sprintf("%s-%d-%d", method, n, k)
					body := ""
					if method == http.MethodPost {
						body = "bag " + id
					}
					outcome := client.Send(method, node.Front(), host, "/lohu930/bag?id="+id, id, body, deadline)
					record.Line("sent %s to %s: status %d, %v", id, node.Name, outcome.Status, outcome.Err)
					mu.Lock()
					outcomes[id] = outcome
					mu.Unlock()
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(before)
	if rig.Trouble() {
		record.Say("answers are lost from now on")
		losing.Store(true)
	}
	time.Sleep(lostFor)
	losing.Store(false)
	time.Sleep(after)
	stop.Store(true)
	clients.Wait()
	return judge(record, outcomes, all)
}

// judge counts the runs of each request: TWICE, and REFUSED for those that were refused.
func judge(record *rig.Record, outcomes map[string]rig.Outcome, all []*rig.Replica) int {
	runs := map[string]int{}
	for _, e := range all {
		for _, r := range e.Runs() {
			runs[r.ID]++
		}
	}
	twice, refused := map[string]int{}, 0
	for id, n := range runs {
		method, _, _ := cut(id)
		if n > 1 {
			twice[method]++
			record.Say("TWICE: %s ran %d times, status %d", id, n, outcomes[id].Status)
		}
		if outcomes[id].Promise() {
			refused++
			record.Say("REFUSED: %s ran, status %d", id, outcomes[id].Status)
		}
	}
	record.Say("%d requests sent, %d ran; more than once: %d GET, %d POST; refused and run: %d", len(outcomes), len(runs), twice["GET"], twice["POST"], refused)
	if len(runs) < 100 {
		return rig.NotRun
	}
	if len(twice) > 0 || refused > 0 {
		return rig.Broken
	}
	return rig.Held
}

func cut(id string) (string, string, bool) {
	for i := range id {
		if id[i] == '-' {
			return id[:i], id[i+1:], true
		}
	}
	return id, "", false
}
