package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// Size of a replica of the plain service.
const (
	replicaSlots = 2
	replicaQueue = 1
	// copyShare is the share of its answers of which a replica sends late copies.
	copyShare = 0.03
)

// replica is a plain service as PROTOCOL.md describes it: it serves a few requests at a time, queues a
// few more, and answers 503 with X-Not-Run beyond that, on channels with one request at a time. While
// it spoils answers, it sends a second copy of a few of them late, at the point where the next answer
// on that channel is expected.
type replica struct {
	id     string
	began  time.Time
	random *rand.Rand

	mu               sync.Mutex
	freed            chan struct{} // closed when a slot becomes free
	running, waiting int
	runs             map[string]int
	history          map[string]string
	spoils           bool
	answers, copies  int // while it spoils
}

// newReplica starts a replica and writes its record.
func (w *world) newReplica(id string, seed uint64) (*replica, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &replica{
		id: id, began: w.began, random: rand.New(rand.NewPCG(seed, 0)), freed: make(chan struct{}),
		runs: map[string]int{}, history: map[string]string{},
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go r.serve(conn)
		}
	}()
	w.store.Write("servers/"+id, fmt.Appendf(nil,
		`{"service":"app","address":%q,"zone":"zone-0","version":"v1","slots":%d,"state":"ready","cold_left_ms":0,"seq":1,"born":1}`, listener.Addr(), replicaSlots))
	return r, nil
}

// serve serves one channel.
func (r *replica) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	late := "" // the copy to send where the next answer is expected
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if _, err := io.WriteString(conn, late); err != nil {
			return
		}
		answer := r.answer(request)
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
		late = ""
		if r.chosen(request.Header.Get("X-Request-Id")) {
			late = answer
		}
	}
}

// answer runs a request, or refuses it, and returns the answer.
func (r *replica) answer(request *http.Request) string {
	id := request.Header.Get("X-Request-Id")
	switch {
	case request.Header.Get("X-Expect-Instance") != r.id:
		return answerText("421 Misdirected Request", id, "X-Not-Run: 1\r\n", "")
	case !r.admit(id):
		return answerText("503 Service Unavailable", id, "X-Not-Run: 1\r\n", "")
	}
	time.Sleep(updateWork)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
	close(r.freed)
	r.freed = make(chan struct{})
	return answerText("200 OK", id, "X-Response-Stamp: stamp-"+id+"\r\n", "answer to "+id)
}

func answerText(status, id, fields, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nX-Request-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, id, fields, len(body), body)
}

// admit takes a slot for a request, after a wait in the queue if none is free. It returns false if the
// queue is full.
func (r *replica) admit(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running >= replicaSlots && r.waiting >= replicaQueue {
		r.add(id, "refused")
		return false
	}
	for r.running >= replicaSlots {
		freed := r.freed
		r.waiting++
		r.mu.Unlock()
		<-freed
		r.mu.Lock()
		r.waiting--
	}
	r.running++
	r.runs[id]++
	r.add(id, "runs")
	return true
}

// add adds an event to the history of a request. The caller holds r.mu.
func (r *replica) add(id, event string) {
	r.history[id] += fmt.Sprintf(" %s at %s at %.3f;", event, r.id, time.Since(r.began).Seconds())
}

// chosen reports whether a copy of the answer that was just sent is to be sent late.
func (r *replica) chosen(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.spoils {
		return false
	}
	r.answers++
	if r.random.Float64() >= copyShare || float64(r.copies+1) > copyShare*float64(r.answers) {
		return false
	}
	r.copies++
	r.add(id, "late copy due")
	return true
}

// garble makes the replica spoil some of its answers from now on, or stop that.
func (r *replica) garble(spoils bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.spoils = spoils
}

// historyOf returns how often a request ran here, and what became of it.
func (r *replica) historyOf(id string) (runs int, history string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id], r.history[id]
}
