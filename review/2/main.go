// Command 2 shows that one read of results from a far position stops the work on all
// submissions of the engines for good. See claim.txt.
package main

import (
	"fmt"
	"net/http"
	"os"
	"time"

	rig "github.com/comfreyfront/comfreyfront/review/platform"
)

const (
	host     = "ficu95.example"
	model    = "daka510000"
	engines  = 9
	replicas = 4
	groups   = 22
	size     = 8
	// readAt is when the other client reads, counted from the submission, and far the
	// position from which it reads. It reads twice, at two nodes: one of them may be the
	// owner, where the read does no harm.
	readAt = time.Second
	reads  = 2
	far    = 3_000_000_000
	// due is when the step is due, and steady how long an item may be at no replica.
	due    = 15 * time.Second
	steady = 5 * time.Second
)

func main() { os.Exit(run()) }

func run() int {
	record := rig.OpenRecord()
	defer record.Close()
	d := rig.NewDeployment(6)
	defer d.Close()
	d.Configure()
	var all []*rig.Engine
	for i := range engines {
		e := &rig.Engine{
			ID: fmt.Sprintf("i-%d", i), Service: "dele69a", Zone: rig.Zones[i%len(rig.Zones)], Model: model, Slots: 8,
			Load: 900 * time.Millisecond, Events: func(string) int { return 100 }, Gap: 20 * time.Millisecond, Record: record,
		}
		e.Start(d, 1)
		all = append(all, e)
	}
	for i := range replicas {
		e := &rig.Replica{
			ID: fmt.Sprintf("a-%d", i), Service: "xano55b", Zone: rig.Zones[i%len(rig.Zones)], Slots: 6, Record: record,
			Work: func(*http.Request) time.Duration { return 40 * time.Millisecond },
		}
		e.Start(d)
	}
	d.Start()
	time.Sleep(3 * time.Second)

	var fronts []string
	for _, n := range d.Nodes {
		fronts = append(fronts, n.Front())
	}
	client := rig.NewClient()
	s := submission(0)
	began := time.Now()
	if client.Submit(fronts, s, record) != http.StatusAccepted {
		return rig.NotRun
	}
	time.Sleep(time.Until(began.Add(readAt)))
	if rig.Trouble() {
		for _, n := range d.Nodes[:reads] {
			page, outcome := client.Read(n.Front(), host, s.ID, far)
			record.Say("read from position %d at %s: status %d, %d of %d results", far, n.Name, outcome.Status, len(page.Results), page.Total)
		}
	}
	listed := read(client, fronts, s, began.Add(due), record)
	code := judge(record, s, listed, all, began)
	if code == rig.Broken {
		next(record, client, fronts, all)
	}
	return code
}

func submission(k int) rig.Submission {
	s := rig.Submission{
		ID: fmt.Sprintf("lot%04d", k), Host: host, Path: "/pule252/7c41e0", Step: int64(k), Model: model, MinVersion: 1, Target: groups,
	}
	for g := range groups {
		for i := range size {
			s.Items = append(s.Items, rig.Item{ID: fmt.Sprintf("it%04d-%d-%d", k, g, i), Group: fmt.Sprintf("g%d-%d", k, g),
				Reward: fmt.Sprintf("rw%04d-%d-%d", k, g, i), RewardPath: "/pufi791/5e07"})
		}
	}
	return s
}

// read reads the results until all are there or the step's time is over.
func read(client *rig.Client, fronts []string, s rig.Submission, until time.Time, record *rig.Record) map[string]bool {
	listed := map[string]bool{}
	after := 0
	for k := 0; time.Now().Before(until) && after < len(s.Items); k++ {
		page, outcome := client.Read(fronts[k%len(fronts)], host, s.ID, after)
		record.Line("read from position %d: status %d, %d results, %v", after, outcome.Status, len(page.Results), outcome.Err)
		for _, r := range page.Results {
			listed[r.ID] = true
		}
		after += len(page.Results)
		time.Sleep(400 * time.Millisecond)
	}
	return listed
}

// judge applies LOST to the step: its time is over while items that no replica has finished
// have been at no replica for 5 s, others of the step had begun, and the replicas were under
// half full.
func judge(record *rig.Record, s rig.Submission, listed map[string]bool, all []*rig.Engine, began time.Time) int {
	now := time.Now()
	last, complete, running := map[string]time.Time{}, map[string]bool{}, 0
	for _, e := range all {
		runs, open := e.Runs()
		running += open
		for _, r := range runs {
			if r.Ended.After(last[r.Item]) {
				last[r.Item] = r.Ended
			}
			complete[r.Item] = complete[r.Item] || r.Complete
		}
	}
	lost := 0
	for _, i := range s.Items {
		since := began
		if at, ran := last[i.ID]; ran {
			since = at
		}
		if !listed[i.ID] && !complete[i.ID] && now.Sub(since) > steady {
			lost++
			record.Line("LOST: %s has been at no replica for %.1f s", i.ID, now.Sub(since).Seconds())
		}
	}
	record.Say("step of %d items, %.1f s after its submission: %d listed, %d begun at a replica, %d running now on %d slots, %d at no replica for over 5 s and not finished",
		len(s.Items), now.Sub(began).Seconds(), len(listed), len(last), running, engines*8, lost)
	switch {
	case len(last) == 0:
		return rig.NotRun
	case lost > 0 && running < engines*8/2:
		return rig.Broken
	}
	return rig.Held
}

// next shows what becomes of a further step; it isn't judged.
func next(record *rig.Record, client *rig.Client, fronts []string, all []*rig.Engine) {
	s := submission(1)
	status := client.Submit(fronts, s, record)
	time.Sleep(6 * time.Second)
	begun := map[string]bool{}
	for _, e := range all {
		runs, _ := e.Runs()
		for _, r := range runs {
			begun[r.Item] = true
		}
	}
	n := 0
	for _, i := range s.Items {
		if begun[i.ID] {
			n++
		}
	}
	record.Say("a further step of %d items was answered %d; 6 s later %d of them have run", len(s.Items), status, n)
}
