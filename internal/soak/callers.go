package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/wait"
	"github.com/comfreyfront/comfreyfront/platform/platformtest"
)

// Pauses between what one caller sends.
const (
	lookupPause    = 20 * time.Millisecond
	updatePause    = 20 * time.Millisecond
	configurePause = 700 * time.Millisecond
)

// updateRoute is a route whose requests may run once at most, and versionRoute one
// that only one version of the configuration has.
const (
	updateRoute  = `,{"name":"update","host":"h","prefix":"/update/","kind":"non_idempotent","timeout_ms":2000,"service":"app","max_attempts":3}`
	versionRoute = `,{"name":"only","host":"h","prefix":"/only-%d/","kind":"idempotent","timeout_ms":2000,"service":"app","max_attempts":2}`
)

// send makes a call at a node; the status is zero when no whole answer came.
func (w *world) send(n *node, method, path, id string, body []byte) (int, []byte) {
	request, err := platformtest.Request(method, n.callers(), path, id, body)
	if err != nil {
		w.report.breach("a request could not be made: %v", err)
		return 0, nil
	}
	response, err := w.client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, content
}

func (w *world) any(random *rand.Rand) *node { return w.nodes[random.IntN(len(w.nodes))] }

// isPromise reports whether a status promises that nothing ran and nothing will.
func isPromise(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

func outcome(status int) string {
	switch {
	case status == http.StatusOK:
		return "answered"
	case isPromise(status):
		return "refused"
	}
	return "unknown"
}

// look sends lookups: an answer is the one to the caller's own request.
func (w *world) look(ctx context.Context, random *rand.Rand) {
	for i := 0; wait.For(ctx, lookupPause); i++ {
		w.call(random, "lookup", fmt.Sprintf("lookup-%d", i))
	}
}

// call sends a request to any node and checks that an answer is its own.
func (w *world) call(random *rand.Rand, kind, id string) (status int) {
	status, body := w.send(w.any(random), http.MethodPost, "/"+kind+"/x", id, []byte("body"))
	w.report.count(kind + "s " + outcome(status))
	if status == http.StatusOK && string(body) != platformtest.Answer(id) {
		w.report.breach("%s got %q", id, body)
	}
	return status
}

// update sends requests that may run once at most.
func (w *world) update(ctx context.Context, random *rand.Rand) {
	for i := 0; wait.For(ctx, updatePause); i++ {
		id := fmt.Sprintf("update-%d", i)
		status := w.call(random, "update", id)
		w.mu.Lock()
		w.updates[id] = status
		w.mu.Unlock()
	}
}

// checkUpdates compares what callers were told with what ran.
func (w *world) checkUpdates() {
	w.mu.Lock()
	told := w.updates
	w.mu.Unlock()
	for id, status := range told {
		runs := w.runs(id)
		switch {
		case runs > 1:
			w.report.breach("%s ran %d times", id, runs)
		case runs > 0 && isPromise(status):
			w.report.breach("%s ran and was answered %d", id, status)
		case runs == 0 && status == http.StatusOK:
			w.report.breach("%s did not run and was answered", id)
		}
	}
}

// nextConfiguration writes a new version, which alone has its own route.
func (w *world) nextConfiguration() {
	w.mu.Lock()
	w.version++
	version := w.version
	w.mu.Unlock()
	w.store.Configure(version, updateRoute+fmt.Sprintf(versionRoute, version))
}

// configure changes the configuration and watches that no node goes back.
func (w *world) configure(ctx context.Context, random *rand.Rand) {
	for wait.For(ctx, configurePause) {
		w.nextConfiguration()
		w.report.count("configurations written")
		for _, n := range w.nodes {
			w.ask(n)
		}
	}
}

// ask finds out which of the last two versions a node serves. It reports whether
// that is the newest.
func (w *world) ask(n *node) bool {
	w.mu.Lock()
	newest := w.version
	w.mu.Unlock()
	n.mu.Lock()
	life := n.life
	n.mu.Unlock()
	for version := newest; version > max(newest-2, 0); version-- {
		status, _ := w.send(n, http.MethodPost, fmt.Sprintf("/only-%d/x", version), fmt.Sprintf("only-%d", version), nil)
		if status != http.StatusOK {
			continue
		}
		n.mu.Lock()
		if n.life == life && version < n.seen {
			w.report.breach("%s served version %d after version %d", n.name, version, n.seen)
		}
		if n.life == life {
			n.seen = max(n.seen, version)
		}
		n.mu.Unlock()
		return version == newest
	}
	return false
}

// awaitConfiguration checks that all nodes come to serve the newest version.
func (w *world) awaitConfiguration(ctx context.Context, patience time.Duration) {
	for _, n := range w.nodes {
		if !until(ctx, patience, func() bool { return w.ask(n) }) {
			w.report.breach("%s does not serve the newest configuration", n.name)
		}
	}
}
