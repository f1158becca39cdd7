package main

import (
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"
)

// Load and times of the silence case.
const (
	silenceRounds = 10
	// roundLength is the time from one silence to the next.
	roundLength = 8 * time.Second
	// drainAfter is when a replica reports that it drains, after the channels have gone silent.
	drainAfter   = 300 * time.Millisecond
	lookupsPerS  = 120
	lookupWait   = 1500 * time.Millisecond
	plainWork    = 10 * time.Millisecond
	linger       = 3 * time.Second // how much longer than drain_ms a replica serves
	drainBound   = 2 * time.Second // drain_ms
	stableBound  = 3 * time.Second // stable_ms
	boundsMargin = 30 * time.Millisecond
)

const lookupConfiguration = `{"version":1,"routes":[
 {"name":"lookup","host":"h.example","prefix":"/lookup/","kind":"idempotent","timeout_ms":1500,"target_latency_ms":200,"service":"app","max_attempts":2}],
 "services":[{"name":"app","max_conns":96}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":33554432,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// channels is the way of one node to the store. Its open channels can go silent for good, while new
// ones work.
type channels struct {
	target   string
	listener net.Listener

	mu   sync.Mutex
	open map[*channel]struct{}
}

// channel is one connection of a node to the store.
type channel struct {
	mu     sync.Mutex
	silent bool
}

func newChannels(target string) (*channels, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &channels{target: target, listener: listener, open: map[*channel]struct{}{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go c.serve(conn)
		}
	}()
	return c, nil
}

func (c *channels) serve(near net.Conn) {
	far, err := net.Dial("tcp", c.target)
	if err != nil {
		_ = near.Close()
		return
	}
	ch := &channel{}
	c.mu.Lock()
	c.open[ch] = struct{}{}
	c.mu.Unlock()
	var group sync.WaitGroup
	group.Go(func() { ch.copy(far, near) })
	group.Go(func() { ch.copy(near, far) })
	group.Wait()
	c.mu.Lock()
	delete(c.open, ch)
	c.mu.Unlock()
	_, _ = near.Close(), far.Close()
}

// copy forwards bytes until one side ends, and drops them while the channel is silent.
func (ch *channel) copy(to, from net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		ch.mu.Lock()
		silent := ch.silent
		ch.mu.Unlock()
		if n > 0 && !silent {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	ch.mu.Lock()
	silent := ch.silent
	ch.mu.Unlock()
	if !silent {
		_, _ = to.Close(), from.Close()
	}
}

// silence makes the open channels silent and returns their number.
func (c *channels) silence() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for ch := range c.open {
		ch.mu.Lock()
		ch.silent = true
		ch.mu.Unlock()
	}
	return len(c.open)
}

// plainReplica is a replica of the plain service that records when requests reach it.
type plainReplica struct {
	id, address string
	server      *http.Server

	mu       sync.Mutex
	arrivals []arrival
}

type arrival struct {
	id string
	at time.Time
}

func (w *world) newPlainReplica(id string) (*plainReplica, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &plainReplica{id: id, address: listener.Addr().String()}
	r.server = &http.Server{Handler: r, ErrorLog: log.New(io.Discard, "", 0), ReadHeaderTimeout: time.Minute}
	go func() { _ = r.server.Serve(listener) }()
	r.report(w, "ready", 1)
	return r, nil
}

// report writes the replica's record and returns when the store has confirmed it.
func (r *plainReplica) report(w *world, state string, seq int) time.Time {
	w.store.Write("servers/"+r.id, fmt.Appendf(nil,
		`{"service":"app","address":%q,"zone":"zone-0","version":"v1","slots":6,"state":%q,"cold_left_ms":0,"seq":%d,"born":1}`, r.address, state, seq))
	return time.Now()
}

// ServeHTTP implements http.Handler.
func (r *plainReplica) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if request.Header.Get("X-Expect-Instance") != r.id {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.mu.Lock()
	r.arrivals = append(r.arrivals, arrival{id, time.Now()})
	r.mu.Unlock()
	time.Sleep(plainWork)
	w.Header().Set("X-Response-Stamp", "stamp-"+id)
	fmt.Fprintf(w, "answer to %s", id)
}

// playSilence lets the open channels of all nodes to the store go silent, and a replica drain soon
// after that, several times.
func playSilence(w *world) error {
	var ways []*channels
	for range 6 {
		c, err := newChannels(w.address)
		if err != nil {
			return err
		}
		ways = append(ways, c)
		w.addresses = append(w.addresses, c.listener.Addr().String())
	}
	staying, err := w.newPlainReplica("app-stays")
	if err != nil {
		return err
	}
	w.store.Write("op/config", []byte(lookupConfiguration))
	if err := w.startNodes(6); err != nil {
		return err
	}
	time.Sleep(stableBound) // all machines are in touch
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() { w.sendLookups(stop) })
	for round := range silenceRounds {
		if err := w.playRound(round, ways); err != nil {
			return err
		}
	}
	close(stop)
	clients.Wait()
	w.note("%d requests reached the replica that stays", len(staying.arrivals))
	return nil
}

// sendLookups sends lookups to the nodes in turn until stop is closed.
func (w *world) sendLookups(stop chan struct{}) {
	var group sync.WaitGroup
	defer group.Wait()
	ticker := time.NewTicker(time.Second / lookupsPerS)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		n, id := w.nodes[i%len(w.nodes)], fmt.Sprintf("l%d", i)
		group.Go(func() {
			sent := time.Now()
			status, _ := call(n, http.MethodPost, "/lookup/x", id, []byte("body of "+id), lookupWait)
			w.noteAt(sent, "%s sent to %s, answered %d", id, n.name, status)
		})
	}
}

// playRound adds a replica, silences the channels, lets the replica drain and checks what reaches it.
func (w *world) playRound(round int, ways []*channels) error {
	began := time.Now()
	r, err := w.newPlainReplica(fmt.Sprintf("app-%d", round+1))
	if err != nil {
		return err
	}
	time.Sleep(2*time.Second + time.Duration(round)*90*time.Millisecond)
	silenced := time.Now()
	if w.trouble {
		open := 0
		for _, c := range ways {
			open += c.silence()
		}
		w.noteAt(silenced, "the open channels to the store go silent: %d", open)
	}
	time.Sleep(time.Until(silenced.Add(drainAfter)))
	confirmed := r.report(w, "draining", 2)
	w.noteAt(confirmed, "the store has confirmed that %s drains", r.id)
	time.Sleep(drainBound + linger)
	w.store.Remove("servers/" + r.id)
	r.mu.Lock()
	arrivals := r.arrivals
	r.mu.Unlock()
	inTouch := silenced.Add(stableBound + boundsMargin)
	for _, a := range arrivals {
		late := a.at.Sub(confirmed)
		if late > 0 {
			w.noteAt(a.at, "%s reaches %s, %.3f s after the confirmation", a.id, r.id, late.Seconds())
		}
		if late > drainBound+boundsMargin && (a.at.After(inTouch) || !w.trouble) {
			w.violation("DRAIN: %s reached %s %.3f s after the confirmation, and %.3f s after the channels went silent", a.id, r.id, late.Seconds(), a.at.Sub(silenced).Seconds())
		}
	}
	time.Sleep(time.Until(began.Add(roundLength)))
	return r.server.Close()
}
