// Command 5 shows that a text of a single_version route is made under two versions after
// the owner of the engines was stopped as planned. See claim.txt.
package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	rig "github.com/comfreyfront/comfreyfront/review/platform"
)

const (
	host    = "ficu95.example"
	model   = "daka510000"
	engines = 9
	// replicas serve the reward calls.
	replicas = 4
	groups   = 11
	size     = 8
	rounds   = 6
	// named is when the next version is named after a step was submitted, and stopped when
	// the owner gets SIGTERM after that.
	named   = 1500 * time.Millisecond
	stopped = 350 * time.Millisecond
	round   = 12 * time.Second
)

func main() { os.Exit(run()) }

func run() int {
	record := rig.OpenRecord()
	defer record.Close()
	d := rig.NewDeployment(6)
	defer d.Close()
	d.Configure()
	for i := range engines {
		e := &rig.Engine{
			ID: fmt.Sprintf("i-%d", i), Service: "dele69a", Zone: rig.Zones[i%len(rig.Zones)], Model: model, Slots: 8,
			Load: 900 * time.Millisecond, Events: events, Gap: 20 * time.Millisecond, Record: record,
		}
		e.Start(d, 1)
	}
	for i := range replicas {
		e := &rig.Replica{
			ID: fmt.Sprintf("a-%d", i), Service: "xano55b", Zone: rig.Zones[i%len(rig.Zones)], Slots: 6, Record: record,
			Work: func(*http.Request) time.Duration { return 40 * time.Millisecond },
		}
		e.Start(d)
	}
	d.Start()
	c := &check{record: record}
	version := int64(1)
	for k := range rounds {
		began := time.Now()
		s := submission(k, version)
		if rig.NewClient().Submit(fronts(d), s, record) != http.StatusAccepted {
			return rig.NotRun
		}
		var reading sync.WaitGroup
		reading.Go(func() { c.read(d, s, began.Add(round-500*time.Millisecond)) })
		time.Sleep(time.Until(began.Add(named)))
		version++
		d.NameVersion(model, version)
		record.Line("version %d is named", version)
		if rig.Trouble() {
			time.Sleep(stopped)
			stopOwner(d, record)
		}
		reading.Wait()
		rig.NewClient().End(fronts(d), host, s.ID)
		time.Sleep(time.Until(began.Add(round)))
	}
	return c.judge()
}

// events is how many events an item's text has.
func events(item string) int {
	n := 0
	for _, b := range []byte(item) {
		n = n*31 + int(b)
	}
	return 60 + n%100
}

func submission(k int, version int64) rig.Submission {
	s := rig.Submission{
		ID: fmt.Sprintf("lot%04d", k), Host: host, Path: "/pule252/7c41e0", Step: int64(k), Model: model,
		MinVersion: max(version-1, 1), Target: groups,
	}
	for g := range groups {
		for i := range size {
			s.Items = append(s.Items, rig.Item{ID: fmt.Sprintf("it%04d-%d-%d", k, g, i), Group: fmt.Sprintf("g%d-%d", k, g),
				Reward: fmt.Sprintf("rw%04d-%d-%d", k, g, i), RewardPath: "/pufi791/5e07"})
		}
	}
	return s
}

func fronts(d *rig.Deployment) []string {
	var list []string
	for _, n := range d.Nodes {
		if n.Ready() {
			list = append(list, n.Front())
		}
	}
	return list
}

// stopOwner sends SIGTERM to the node that gave the last order to an engine and starts it
// again after it has exited.
func stopOwner(d *rig.Deployment, record *rig.Record) {
	name := rig.LastHolder()
	for _, n := range d.Nodes {
		if n.Name != name {
			continue
		}
		record.Say("SIGTERM to %s", name)
		process := n.Process()
		process.Signal(syscall.SIGTERM)
		go func() {
			<-process.Done()
			n.Start()
		}()
		return
	}
	record.Say("no node has given an order yet")
}

// check collects the results.
type check struct {
	record            *rig.Record
	results, mixed    int
	wrong, incomplete int
}

// read reads the results of a submission until all are there or the time is over.
func (c *check) read(d *rig.Deployment, s rig.Submission, until time.Time) {
	client := rig.NewClient()
	after, k := 0, 0
	for time.Now().Before(until) && after < len(s.Items) {
		list := fronts(d)
		if len(list) == 0 {
			continue
		}
		k++
		page, _ := client.Read(list[k%len(list)], host, s.ID, after)
		for _, r := range page.Results {
			c.results++
			c.record.Line("result %s of %s: %s, versions %v", r.ID, s.ID, r.State, r.Versions)
			if r.State == "completed" && len(r.Versions) != 1 {
				c.mixed++
				c.record.Say("VERSION: %s on a single_version route lists the versions %v", r.ID, r.Versions)
			}
			if r.State == "completed" && r.Output != rig.WholeText(r.ID, events(r.ID)) {
				c.wrong++
				c.record.Say("MIXED: the text of %s is not whole: %s", r.ID, strings.ReplaceAll(r.Output, "\n", " "))
			}
		}
		after += len(page.Results)
		time.Sleep(200 * time.Millisecond)
	}
	c.incomplete += len(s.Items) - after
}

func (c *check) judge() int {
	c.record.Say("%d results read, %d not ready in time; of several versions: %d; wrong text: %d", c.results, c.incomplete, c.mixed, c.wrong)
	switch {
	case c.mixed > 0 || c.wrong > 0:
		return rig.Broken
	case c.results == 0:
		return rig.NotRun
	}
	return rig.Held
}
