package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/comfreyfront/comfreyfront/platform/platformtest"
)

// Load of the memory case.
const (
	openSubmissions = 12
	itemsPerStep    = 4096
	// largePrompt and usualPrompt are the sizes of an item's body with and without the trouble.
	largePrompt  = 3300
	usualPrompt  = 600
	submitTries  = 8
	submitWait   = 3 * time.Second
	submitLimit  = 30 * time.Second
	watchedFor   = 60 * time.Second
	sampling     = 10 * time.Millisecond
	restartDelay = 500 * time.Millisecond
	// A fault, by RULES.md: so many processes end by themselves so often.
	faultMachines, faultEnds = 2, 3
)

const trainingConfiguration = `{"version":1,"routes":[
 {"name":"score","host":"h.example","prefix":"/score/","kind":"idempotent","timeout_ms":2000,"target_latency_ms":400,"service":"app","max_attempts":4},
 {"name":"draft","host":"h.example","prefix":"/draft/","kind":"rollout","timeout_ms":10000,"target_latency_ms":400,"run_deadline_ms":7500,"max_queue_s":60,"service":"lm","max_attempts":3}],
 "services":[{"name":"app","max_conns":96},{"name":"lm","max_conns":130,"engine":{"kv_capacity":47695,"models":[{"name":"m"}]}}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":33554432,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// playMemory has trainers submit large steps, and ends each process that uses more memory than its
// machine has, as the platform does.
func playMemory(w *world) error {
	for i := range 9 {
		w.addEndpoint(&platformtest.Endpoint{ID: fmt.Sprintf("lm-%d", i+1), Service: "lm", Zone: "zone-0", Model: "m", Events: 20, Gap: 30 * time.Millisecond})
	}
	for i := range 4 {
		w.addEndpoint(&platformtest.Endpoint{ID: fmt.Sprintf("app-%d", i+1), Service: "app", Zone: "zone-0"})
	}
	w.store.Write("op/config", []byte(trainingConfiguration))
	if err := w.startNodes(6); err != nil {
		return err
	}
	p := &memoryLimit{world: w, ends: map[string]int{}, peaks: map[string]int{}, stop: make(chan struct{})}
	var group sync.WaitGroup
	group.Go(p.watch)
	size := usualPrompt
	if w.trouble {
		size = largePrompt
	}
	submitEnd := time.Now().Add(submitLimit)
	for k := range openSubmissions {
		w.submit(k, step(stepID(k), size), submitEnd)
	}
	for end := time.Now().Add(watchedFor); time.Now().Before(end); time.Sleep(5 * time.Second) {
		w.noteProgress()
	}
	close(p.stop)
	group.Wait()
	p.check()
	return nil
}

func (w *world) addEndpoint(e *platformtest.Endpoint) {
	e = platformtest.NewEndpoint(e)
	w.store.Write(e.Key(), e.Record("ready"))
}

func stepID(k int) string { return fmt.Sprintf("step%d", k+1) }

// step returns a trainer's submission whose items have bodies of the given size.
func step(id string, size int) []byte {
	items := make([]map[string]any, itemsPerStep)
	for i := range items {
		items[i] = map[string]any{
			"id": fmt.Sprintf("%s-%d", id, i), "path": "/draft/x", "body": bytes.Repeat([]byte("p"), size), "tokens": 310, "group": fmt.Sprintf("%s-g%d", id, i/groupSize),
			"headers":    map[string]string{"X-Model": "m", "X-Token-Count": "270,40"},
			"scorer_url": map[string]any{"id": fmt.Sprintf("s-%s-%d", id, i), "host": host, "path": "/score/x", "body": []byte("text")},
		}
	}
	encoded, err := json.Marshal(map[string]any{"step": 0, "model": "m", "min_version": 0, "target_groups": itemsPerStep / groupSize * 9 / 10, "items": items})
	if err != nil {
		panic(err) // cannot happen: the values are plain
	}
	return encoded
}

// submit submits a step, again at another node after each failure and until the given time at most.
func (w *world) submit(k int, body []byte, end time.Time) {
	for try := range submitTries {
		if time.Now().After(end) {
			return
		}
		n := w.nodes[(k+try)%len(w.nodes)]
		status, answer := call(n, http.MethodPost, "/draft/a", stepID(k), body, submitWait)
		w.note("%s of %d bytes submitted to %s, answered %d %.80s", stepID(k), len(body), n.name, status, strings.TrimSpace(string(answer)))
		if status == http.StatusAccepted {
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// noteProgress reads the results of each step and records how many there are.
func (w *world) noteProgress() {
	var listed []string
	for k := range openSubmissions {
		status, content := call(w.nodes[k%len(w.nodes)], http.MethodGet, platformtest.ResultsPath(stepID(k))+"?after=0", "read", nil, time.Second)
		if page, err := platformtest.DecodePage(content); err == nil && status == http.StatusOK {
			listed = append(listed, strconv.Itoa(page.Next))
			continue
		}
		listed = append(listed, fmt.Sprintf("(%d)", status))
	}
	w.note("results on the first page of each step, or the status: %s", strings.Join(listed, " "))
}

// memoryLimit ends processes that use more memory than their machine has, and starts them again.
type memoryLimit struct {
	world *world
	stop  chan struct{}
	// ends and peaks are by node; only watch changes them.
	ends, peaks map[string]int
}

// watch samples the memory of all nodes until stop is closed.
func (p *memoryLimit) watch() {
	var restarts sync.WaitGroup
	defer restarts.Wait()
	for {
		select {
		case <-p.stop:
			return
		case <-time.After(sampling):
		}
		for _, n := range p.world.nodes {
			process := n.running()
			if process == nil {
				continue
			}
			used := residentMB(process.ID())
			p.peaks[n.name] = max(p.peaks[n.name], used)
			if used <= memoryMB {
				continue
			}
			p.ends[n.name]++
			p.world.note("%s uses %d MB of %d: ended by the platform, for the %d. time", n.name, used, memoryMB, p.ends[n.name])
			n.kill()
			restarts.Go(func() {
				time.Sleep(restartDelay)
				if err := n.start(); err != nil {
					p.world.note("%s did not start again: %v", n.name, err)
				}
			})
		}
	}
}

// check checks the rule on processes that end by themselves. watch must have returned.
func (p *memoryLimit) check() {
	often := 0
	for _, n := range p.world.nodes {
		p.world.note("%s: ended %d times, %d MB at most", n.name, p.ends[n.name], p.peaks[n.name])
		if p.ends[n.name] >= faultEnds {
			often++
		}
	}
	if often >= faultMachines {
		p.world.violation("Fault: processes of %d machines ended by themselves %d times or more", often, faultEnds)
	}
}

// residentMB returns the memory of a process in MB, or zero if it has ended.
func residentMB(pid int) int {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(content)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kilobytes, _ := strconv.Atoi(fields[1])
			return kilobytes >> 10
		}
	}
	return 0
}
