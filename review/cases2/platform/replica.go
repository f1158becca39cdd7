package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// replica is the stand-in of one replica. It answers requests with its serve function.
type replica struct {
	world   *world
	id      string
	service string
	address string
	zone    string
	serve   func(r *replica, w http.ResponseWriter, request *http.Request)

	mu      sync.Mutex
	server  *http.Server
	born    int64
	crashes int
	version int64
	changes int64
}

// startReplica starts a replica and writes its record.
func (w *world) startReplica(service, id, zone string, serve func(*replica, http.ResponseWriter, *http.Request)) (*replica, error) {
	r := &replica{world: w, id: id, service: service, zone: zone, serve: serve, version: 1}
	addresses, err := freeAddresses(1)
	if err != nil {
		return nil, err
	}
	r.address = addresses[0]
	if err := r.listen(); err != nil {
		return nil, err
	}
	w.atEnd(r.stop)
	return r, r.register()
}

// listen starts the process of the replica.
func (r *replica) listen() error {
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.born = time.Now().UnixMilli()
	r.changes = 0
	r.server = &http.Server{Handler: http.HandlerFunc(r.handle)}
	go func(server *http.Server) { _ = server.Serve(listener) }(r.server) // Serve returns when the replica ends
	return nil
}

// stop ends the process: its listener and all of its connections are closed.
func (r *replica) stop() {
	r.mu.Lock()
	server := r.server
	r.server = nil
	r.mu.Unlock()
	if server != nil {
		_ = server.Close() // nothing is left to be done
	}
}

// register writes the record of the replica.
func (r *replica) register() error {
	r.mu.Lock()
	record := object{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "1", "slots": 8,
		"state": "ready", "cold_left_ms": 0, "seq": r.changes, "born": r.born,
	}
	if r.service == engineService {
		record["phase"] = "both"
		record["models"] = []object{{"name": modelName, "version": r.version, "adapters": []string{}}}
	}
	r.mu.Unlock()
	return r.world.store.put("servers/"+r.id, record)
}

// unregister removes the record of the replica.
func (r *replica) unregister() { r.world.store.Remove("servers/" + r.id) }

// crash ends the process at once and starts it again after a pause.
func (r *replica) crash(pause time.Duration) {
	r.mu.Lock()
	r.crashes++
	r.mu.Unlock()
	go func() {
		r.stop()
		time.Sleep(pause)
		if err := r.listen(); err != nil {
			r.world.note("replica %s could not start again: %v", r.id, err)
			return
		}
		if err := r.register(); err != nil {
			r.world.note("replica %s could not register again: %v", r.id, err)
		}
	}()
}

// handle answers what all replicas answer alike.
func (r *replica) handle(w http.ResponseWriter, request *http.Request) {
	if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch request.URL.Path {
	case "/health":
		w.Header().Set("X-Instance-Id", r.id)
		w.WriteHeader(http.StatusOK)
	case "/report":
		r.mu.Lock()
		defer r.mu.Unlock()
		fmt.Fprintf(w, `{"phase":"both","models":[{"name":%q,"version":%d,"adapters":[]}],"busy":false,"seq":%d,"num_waiting":0,"num_running":0,"kv_used":0,"kv_total":47695,"handles":0}`,
			modelName, r.version, r.changes)
	default:
		r.serve(r, w, request)
	}
}

// head sets the headers of an answer to a request that runs.
func (r *replica) head(w http.ResponseWriter, request *http.Request) {
	w.Header().Set("X-Request-Id", request.Header.Get("X-Request-Id"))
	w.Header().Set("X-Response-Stamp", stampOf(r, request))
}

// stampOf returns the MAC of an answer.
func stampOf(r *replica, request *http.Request) string {
	return "stamp." + r.id + "." + request.Header.Get("X-Request-Id")
}

// eventText returns the data of an event of an item's text.
func eventText(id string, n int) string { return fmt.Sprintf("%s.%d", id, n) }

// streamEvents answers with the events that follow Last-Event-Id, up to the given number. It
// returns false if the channel was closed. Before an event is sent, stop may end the answer.
func (r *replica) streamEvents(w http.ResponseWriter, request *http.Request, events int, gap time.Duration, stop func(n int) bool) bool {
	r.head(w, request)
	r.mu.Lock()
	version := r.version
	r.mu.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Weight-Versions", strconv.FormatInt(version, 10))
	after, _ := strconv.Atoi(request.Header.Get("Last-Event-Id")) // absent: from the first event on
	control := http.NewResponseController(w)
	for n := after + 1; n <= events; n++ {
		if stop != nil && stop(n) {
			return false
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, eventText(request.Header.Get("X-Request-Id"), n)); err != nil {
			return false
		}
		if err := control.Flush(); err != nil {
			return false
		}
		select {
		case <-time.After(gap):
		case <-request.Context().Done():
			return false
		}
	}
	return true
}

// readBody reads the body of a request.
func readBody(request *http.Request) string {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return ""
	}
	return string(body)
}
