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

// Pauses between two requests of one kind, or between two configuration changes.
const (
	lookupPause    = 20 * time.Millisecond
	updatePause    = 20 * time.Millisecond
	configurePause = 700 * time.Millisecond
	// settleTime is how long after a fault requests may still be affected by it.
	settleTime = 2 * time.Second
	// stableTime is how long the store and a node must have been undisturbed before a node must
	// know of a removed endpoint within its bound.
	stableTime = 3 * time.Second
)

// updateRoute is a non-idempotent route: each of its requests may run at most once. versionRoute is
// a route that exists in only one version of the configuration, so that a request to it shows
// whether a node serves that version.
const (
	updateRoute  = `,{"name":"update","host":"h","prefix":"/update/","kind":"non_idempotent","timeout_ms":2000,"service":"app","max_attempts":3}`
	versionRoute = `,{"name":"only","host":"h","prefix":"/only-%d/","kind":"idempotent","timeout_ms":2000,"service":"app","max_attempts":2}`
)

// send sends a request to a node on a connection of its own. The status is zero if no
// complete response arrived.
func (env *environment) send(n *node, method, path, id string, body []byte) (int, []byte) {
	return env.sendBy(env.client, n, method, path, id, body)
}

// sendBy sends a request to a node by a client. The status is zero if no complete response
// arrived.
func (env *environment) sendBy(client *http.Client, n *node, method, path, id string, body []byte) (int, []byte) {
	request, err := platformtest.Request(method, n.callerAddress(), path, id, body)
	if err != nil {
		env.report.recordViolation("creating a request failed: %v", err)
		return 0, nil
	}
	response, err := client.Do(request)
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

// randomNode returns any node, running or not.
func (env *environment) randomNode(random *rand.Rand) *node {
	return env.nodes[random.IntN(len(env.nodes))]
}

// meansNotRun reports whether a status guarantees that the request did not run and will not run.
func meansNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// outcome classifies a status for the counts of the report.
func outcome(status int) string {
	switch {
	case status == http.StatusOK:
		return "answered"
	case meansNotRun(status):
		return "refused"
	}
	return "unknown"
}

// sendLookups sends lookups until ctx is done.
func (env *environment) sendLookups(ctx context.Context, random *rand.Rand) {
	for i := 0; wait.For(ctx, lookupPause); i++ {
		env.sendAndCheck(random, "lookup", fmt.Sprintf("lookup-%d", i))
	}
}

// sendAndCheck sends a request to a random node and returns the status. A response with status 200
// must belong to this request and not to another one. A request that an endpoint runs while there
// is planned work at most must get a response.
func (env *environment) sendAndCheck(random *rand.Rand, kind, id string) (status int) {
	client := env.kept
	if random.IntN(2) == 0 {
		client = env.client
	}
	began := time.Now()
	status, body := env.sendBy(client, env.randomNode(random), http.MethodPost, "/"+kind+"/x", id, []byte("body"))
	if status == 0 && env.calmFor(settleTime, began) && env.runs(id) > 0 {
		env.report.recordViolation("%s ran and got no response, with no fault but planned work", id)
	}
	env.report.count(kind + "s " + outcome(status))
	if status == http.StatusOK && string(body) != platformtest.Answer(id) {
		env.report.recordViolation("%s got the response %q", id, body)
	}
	return status
}

// disturb records the begin of a fault that is not planned work, and calm its end.
func (env *environment) disturb() {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.disturbances++
}

func (env *environment) calm() {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.disturbances--
	env.calmSince = time.Now()
}

// calmFor reports whether no fault that is not planned work is in progress, and all of them had
// ended more than the given duration before a time.
func (env *environment) calmFor(duration time.Duration, t time.Time) bool {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.disturbances == 0 && t.Sub(env.calmSince) > duration
}

// sendUpdates sends requests that may run at most once and stores their statuses, until ctx is
// done.
func (env *environment) sendUpdates(ctx context.Context, random *rand.Rand) {
	for i := 0; wait.For(ctx, updatePause); i++ {
		id := fmt.Sprintf("update-%d", i)
		status := env.sendAndCheck(random, "update", id)
		env.mu.Lock()
		env.updates[id] = status
		env.mu.Unlock()
	}
}

// checkUpdates compares the status that each update got with the number of times that it ran.
func (env *environment) checkUpdates() {
	env.mu.Lock()
	statuses := env.updates
	env.mu.Unlock()
	for id, status := range statuses {
		runs := env.runs(id)
		switch {
		case runs > 1:
			env.report.recordViolation("%s ran %d times", id, runs)
		case runs > 0 && meansNotRun(status):
			env.report.recordViolation("%s ran and got status %d, which means that it did not run", id, status)
		case runs == 0 && status == http.StatusOK:
			env.report.recordViolation("%s did not run and got status 200", id)
		}
	}
}

// writeNextConfiguration writes the next version of the configuration, with a route that only this
// version has.
func (env *environment) writeNextConfiguration() {
	env.mu.Lock()
	env.configVersion++
	version := env.configVersion
	env.mu.Unlock()
	env.store.Configure(version, updateRoute+fmt.Sprintf(versionRoute, version))
}

// changeConfiguration writes new versions of the configuration until ctx is done, and checks after
// each that no node serves an older version than before.
func (env *environment) changeConfiguration(ctx context.Context, random *rand.Rand) {
	for wait.For(ctx, configurePause) {
		env.writeNextConfiguration()
		env.report.count("configurations written")
		for _, n := range env.nodes {
			env.checkConfiguration(n)
		}
	}
}

// checkConfiguration finds out which of the last two versions of the configuration a node serves,
// if any, and reports whether it is the newest. Serving an older version than before in the same
// process is a violation.
func (env *environment) checkConfiguration(n *node) bool {
	env.mu.Lock()
	newest := env.configVersion
	env.mu.Unlock()
	n.mu.Lock()
	starts := n.starts
	n.mu.Unlock()
	for version := newest; version > max(newest-2, 0); version-- {
		status, _ := env.send(n, http.MethodPost, fmt.Sprintf("/only-%d/x", version), fmt.Sprintf("only-%d", version), nil)
		if status != http.StatusOK {
			continue
		}
		n.mu.Lock()
		if n.starts == starts && version < n.servedVersion {
			env.report.recordViolation("%s served configuration version %d after version %d", n.name, version, n.servedVersion)
		}
		if n.starts == starts {
			n.servedVersion = max(n.servedVersion, version)
		}
		n.mu.Unlock()
		return version == newest
	}
	return false
}

// awaitConfiguration checks that each node serves the newest version within the wait limit.
func (env *environment) awaitConfiguration(ctx context.Context, waitLimit time.Duration) {
	for _, n := range env.nodes {
		if !waitUntil(ctx, waitLimit, func() bool { return env.checkConfiguration(n) }) {
			env.report.recordViolation("%s does not serve the newest configuration", n.name)
		}
	}
}
