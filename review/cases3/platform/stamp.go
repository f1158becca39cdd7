package main

import (
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Load of the stamp case.
const (
	streamReplicas = 6
	streamEvents   = 8
	eventGap       = 10 * time.Millisecond
	streamsPerS    = 60
	stampLength    = 60 * time.Second
	streamDeadline = 2 * time.Second
	// spoiling replicas spoil spoilShare of their answers for spoilLength in each spoilPeriod: the
	// first garble of the troubles of the site file, with a share of 0.35.
	spoiling    = streamReplicas * 35 / 100
	spoilShare  = 0.02
	spoilLength = 5500 * time.Millisecond
	spoilPeriod = 6 * time.Second
)

const streamConfiguration = `{"version":1,"routes":[
 {"name":"chat","host":"h.example","prefix":"/chat/","kind":"stream","resumable":true,"timeout_ms":5000,"target_latency_ms":400,"service":"app","max_attempts":3}],
 "services":[{"name":"app","max_conns":96}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":33554432,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// streamReplica answers requests with streams. While it spoils answers, a byte of the head of a few of
// them is wrong: the one that makes the stamp's field another field.
type streamReplica struct {
	id     string
	spoils atomic.Bool

	mu               sync.Mutex
	random           *rand.Rand
	answers, spoiled int // while it spoils
	history          map[string]string
}

func (w *world) newStreamReplica(id string, seed uint64) (*streamReplica, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &streamReplica{id: id, random: rand.New(rand.NewPCG(seed, 0)), history: map[string]string{}}
	server := &http.Server{Handler: r, ErrorLog: log.New(io.Discard, "", 0), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	w.store.Write("servers/"+id, fmt.Appendf(nil,
		`{"service":"app","address":%q,"zone":"zone-0","version":"v1","slots":8,"state":"ready","cold_left_ms":0,"seq":1,"born":1}`, listener.Addr()))
	return r, nil
}

// ServeHTTP implements http.Handler.
func (r *streamReplica) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if request.Header.Get("X-Expect-Instance") != r.id {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	field := "X-Response-Stamp"
	if r.chosen(id) {
		field = "X-Response-Ctamp"
	}
	w.Header().Set(field, "stamp-"+id)
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	after := 0
	_, _ = fmt.Sscan(request.Header.Get("Last-Event-Id"), &after) // without the field, the stream begins at its start
	for n := after + 1; n <= streamEvents; n++ {
		fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", n, id, n)
		if flusher.Flush() != nil {
			return
		}
		time.Sleep(eventGap)
	}
}

// chosen reports whether the answer to a request is spoiled.
func (r *streamReplica) chosen(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	event := "runs"
	spoil := false
	if r.spoils.Load() {
		r.answers++
		spoil = r.random.Float64() < spoilShare && float64(r.spoiled+1) <= spoilShare*float64(r.answers)
	}
	if spoil {
		r.spoiled++
		event = "runs, with a spoiled head,"
	}
	r.history[id] += fmt.Sprintf(" %s at %s;", event, r.id)
	return spoil
}

// playStamp sends requests that are answered by streams, and checks the head of each success.
func playStamp(w *world) error {
	replicas := make([]*streamReplica, streamReplicas)
	for i := range replicas {
		var err error
		if replicas[i], err = w.newStreamReplica(fmt.Sprintf("app-%d", i+1), uint64(i+1)); err != nil {
			return err
		}
	}
	w.store.Write("op/config", []byte(streamConfiguration))
	if err := w.startNodes(6); err != nil {
		return err
	}
	var group sync.WaitGroup
	began := time.Now()
	for i := range int(stampLength.Seconds()) * streamsPerS {
		time.Sleep(time.Until(began.Add(time.Duration(i) * time.Second / streamsPerS)))
		for _, r := range replicas[:spoiling] {
			r.spoils.Store(w.trouble && time.Since(began)%spoilPeriod < spoilLength)
		}
		n, id := w.nodes[i%len(w.nodes)], fmt.Sprintf("c%d", i)
		group.Go(func() {
			sent := time.Now()
			status, header, content := exchange(n, http.MethodPost, "/chat/x", id, []byte("body of "+id), streamDeadline)
			history := ""
			for _, r := range replicas {
				r.mu.Lock()
				history += r.history[id]
				r.mu.Unlock()
			}
			stamp := header.Get("X-Response-Stamp")
			w.noteAt(sent, "%s sent to %s, answered %d with %d bytes and the stamp %q;%s", id, n.name, status, len(content), stamp, history)
			if status/100 == 2 && stamp != "stamp-"+id {
				w.violation("MIXED: %s got a success without the stamp of its replica", id)
			}
		})
	}
	group.Wait()
	for _, r := range replicas {
		w.note("%s sent %d answers while it spoiled some, and spoiled %d", r.id, r.answers, r.spoiled)
	}
	return nil
}
