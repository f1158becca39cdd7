package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { cases["bodyless"] = casePoisonWithoutBody }

// casePoisonWithoutBody: a request without a body, which may run once, crashes each replica that
// begins to run it, and its client sends it again at other nodes.
func casePoisonWithoutBody(w *world, trouble bool) (outcome, error) {
	record := &poisonRecord{counted: map[string]bool{}}
	serve := func(r *replica, writer http.ResponseWriter, request *http.Request) {
		if trouble && strings.HasSuffix(request.URL.Path, poisonMark) {
			record.reached(w, r, request.Header.Get("X-Request-Id"))
			r.crash(crashPause)
			<-request.Context().Done()
			return
		}
		r.head(writer, request)
		fmt.Fprint(writer, "done")
	}
	if err := w.store.configure(1, []object{updateRoute()}, services()); err != nil {
		return outcome{}, err
	}
	for i := range 4 {
		if _, err := w.startReplica(plainService, fmt.Sprintf("s-%d", i), fmt.Sprintf("zone-%d", i%2), serve); err != nil {
			return outcome{}, err
		}
	}
	if err := w.startNodes("front-1", "front-2", "front-3", "front-4", "front-5", "front-6"); err != nil {
		return outcome{}, err
	}
	run := poisonRun{path: "/update/" + poisonMark, ordinaryPath: "/update/a", interval: 4 * time.Second, length: 36 * time.Second}
	ordinary, served := run.play(w)
	if served < ordinary/4 {
		return outcome{}, fmt.Errorf("only %d of %d ordinary requests were served", served, ordinary)
	}
	return record.outcome(), nil
}
