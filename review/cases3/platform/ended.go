package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/comfreyfront/comfreyfront/platform/platformtest"
)

// Load and times of the case of ended steps.
const (
	endedRounds = 10
	endedLength = 8 * time.Second
	endedItems  = 400
	engineSlots = 8
	engineCount = 3
	// Texts have minEvents to maxEvents events.
	minEvents, maxEvents = 5, 35
	engineGap            = 25 * time.Millisecond
	cancelBound          = 3 * time.Second // cancel_ms
	// beforeSilence is the shortest time from a submission to the silence, which comes up to
	// silenceSpread later.
	beforeSilence = time.Second
	silenceSpread = time.Second
	endingWait    = 2 * time.Second
	// endedNodes is the number of nodes. With two of them both watch the store themselves; with more
	// than two the others watch those.
	endedNodes    = 2
	engineService = "drafts"
)

const endedConfiguration = `{"version":1,"routes":[
 {"name":"draft","host":"h.example","prefix":"/draft/","kind":"rollout","timeout_ms":10000,"target_latency_ms":400,"run_deadline_ms":7500,"max_queue_s":40,"service":"` + engineService + `","max_attempts":3}],
 "services":[{"name":"` + engineService + `","max_conns":130,"engine":{"kv_capacity":47695,"models":[{"name":"m"}]}}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":33554432,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// engine is a model replica that records when items reach it.
type engine struct {
	id string

	mu       sync.Mutex
	running  int
	arrivals []arrival
}

func (w *world) newEngine(id string) (*engine, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{id: id}
	server := &http.Server{Handler: e, ErrorLog: log.New(io.Discard, "", 0), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	w.store.Write("servers/"+id, fmt.Appendf(nil,
		`{"service":%q,"address":%q,"zone":"zone-0","version":"v1","slots":%d,"state":"ready","cold_left_ms":0,"seq":1,"born":1,"models":[{"name":"m","version":1}]}`,
		engineService, listener.Addr(), engineSlots))
	return e, nil
}

// take takes a slot for an item and returns false if all are taken.
func (e *engine) take(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running >= engineSlots {
		return false
	}
	e.running++
	e.arrivals = append(e.arrivals, arrival{id, time.Now()})
	return true
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if request.Header.Get("X-Expect-Instance") != e.id {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !e.take(id) {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	w.Header().Set("X-Response-Stamp", "stamp-"+id)
	w.Header().Set("X-Weight-Versions", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	after, events := 0, minEvents
	_, _ = fmt.Sscan(request.Header.Get("Last-Event-Id"), &after) // without the field, the text begins at its start
	for _, c := range []byte(id) {
		events = minEvents + (events*31+int(c))%(maxEvents-minEvents+1)
	}
	for n := after + 1; n <= events; n++ {
		fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", n, id, n)
		if flusher.Flush() != nil {
			return
		}
		select {
		case <-request.Context().Done():
			return
		case <-time.After(engineGap):
		}
	}
}

// playEnded ends steps just after the owner's open channels to the store have gone silent.
func playEnded(w *world) error {
	var ways []*channels
	for range endedNodes {
		c, err := newChannels(w.address)
		if err != nil {
			return err
		}
		ways = append(ways, c)
		w.addresses = append(w.addresses, c.listener.Addr().String())
	}
	var engines []*engine
	for i := range engineCount {
		e, err := w.newEngine(fmt.Sprintf("engine-%d", i+1))
		if err != nil {
			return err
		}
		engines = append(engines, e)
	}
	w.store.Write("op/config", []byte(endedConfiguration))
	if err := w.startNodes(endedNodes); err != nil {
		return err
	}
	time.Sleep(stableBound) // all machines are in touch
	random := rand.New(rand.NewPCG(1, 0))
	for round := range endedRounds {
		if err := w.endStep(round, beforeSilence+time.Duration(random.Int64N(int64(silenceSpread))), ways, engines); err != nil {
			return err
		}
	}
	return nil
}

// endStep submits a step, silences the owner's channels after a while, ends the step at another node
// and checks when items of it reach engines.
func (w *world) endStep(round int, pause time.Duration, ways []*channels, engines []*engine) error {
	began, id := time.Now(), fmt.Sprintf("step%d", round+1)
	status, _ := call(w.nodes[round%len(w.nodes)], http.MethodPost, "/draft/a", id, plainStep(id), endingWait)
	w.note("%s submitted, answered %d", id, status)
	time.Sleep(pause)
	owner := w.ownerOf("engines/" + engineService)
	if status != http.StatusAccepted || owner < 0 {
		return fmt.Errorf("%s was answered %d; its owner is node %d", id, status, owner)
	}
	silenced := time.Now()
	if w.trouble {
		w.noteAt(silenced, "%d open channels of %s, which owns the engines, to the store go silent", ways[owner].silence(), w.nodes[owner].name)
	}
	other := w.nodes[(owner+1)%len(w.nodes)]
	status, _ = call(other, http.MethodDelete, platformtest.ResultsPath(id), "end-"+id, nil, endingWait)
	confirmed := time.Now()
	w.noteAt(confirmed, "the end of %s is answered %d by %s", id, status, other.name)
	if status != http.StatusOK {
		return fmt.Errorf("the end of %s was answered %d", id, status)
	}
	time.Sleep(time.Until(began.Add(endedLength)))
	inTouch := silenced.Add(stableBound + boundsMargin)
	for _, e := range engines {
		e.mu.Lock()
		arrivals := e.arrivals
		e.mu.Unlock()
		for _, a := range arrivals {
			late := a.at.Sub(confirmed)
			if !strings.HasPrefix(a.id, id+"-") || late <= 0 {
				continue
			}
			w.noteAt(a.at, "%s reaches %s, %.3f s after the end was confirmed", a.id, e.id, late.Seconds())
			if late > cancelBound+boundsMargin && a.at.After(inTouch) {
				w.violation("UNASKED: %s reached %s and ran %.3f s after the end was confirmed, and %.3f s after the channels went silent",
					a.id, e.id, late.Seconds(), a.at.Sub(silenced).Seconds())
			}
		}
	}
	return nil
}

// plainStep returns a trainer's submission without reward calls.
func plainStep(id string) []byte {
	items := make([]map[string]any, endedItems)
	for i := range items {
		items[i] = map[string]any{
			"id": fmt.Sprintf("%s-%d", id, i), "path": "/draft/x", "body": bytes.Repeat([]byte("p"), 100), "tokens": 310, "group": fmt.Sprintf("%s-g%d", id, i/groupSize),
			"headers": map[string]string{"X-Model": "m", "X-Token-Count": "270,40"},
		}
	}
	encoded, err := json.Marshal(map[string]any{"step": 0, "model": "m", "min_version": 0, "target_groups": endedItems / groupSize * 9 / 10, "items": items})
	if err != nil {
		panic(err) // cannot happen: the values are plain
	}
	return encoded
}

// ownerOf returns the index of the node that owns a unit, or -1.
func (w *world) ownerOf(unit string) int {
	found, err := w.store.Get(context.Background(), "live/unit/"+unit)
	if err != nil {
		return -1
	}
	var record struct{ Owner string }
	if json.Unmarshal(found.Value, &record) != nil {
		return -1
	}
	for i, n := range w.nodes {
		if n.name == record.Owner {
			return i
		}
	}
	return -1
}
