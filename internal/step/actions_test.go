package step

import (
	"fmt"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// actions returns the actions of the stateful test, by name.
func (w *world) actions() map[string]func(*rapid.T) {
	entry := func(t *rapid.T) *fakeEntry { return rapid.SampledFrom(w.entries).Draw(t, "entry") }
	generate := func(t *rapid.T) {
		if len(w.running()) == 0 {
			t.Skip("no generation is running")
		}
		w.advanceJob(rapid.IntRange(0, len(w.running())-1).Draw(t, "job"), rapid.IntRange(0, 4).Draw(t, "what"))
	}
	return map[string]func(*rapid.T){
		"generate": generate, "generate more": generate, "generate most": generate,
		"pull": func(t *rapid.T) { w.pull(routed{entry(t).router}, "") },
		"pull at any entry": func(t *rapid.T) {
			e := entry(t)
			w.pull(e.caller, fmt.Sprintf("%s.%d", e.id, e.incarnation))
		},
		"deliver": func(t *rapid.T) {
			if len(w.replies) == 0 {
				t.Skip("no replies")
			}
			w.deliver(rapid.IntRange(0, len(w.replies)-1).Draw(t, "reply"))
		},
		"deliver newest": func(t *rapid.T) {
			if len(w.replies) == 0 {
				t.Skip("no replies")
			}
			w.deliver(len(w.replies) - 1)
		},
		"kill":          func(t *rapid.T) { w.kill(entry(t)) },
		"lease expires": func(t *rapid.T) { w.expireLease(rapid.Bool().Draw(t, "notify")) },
		"reported dead": func(t *rapid.T) { e := entry(t); e.reportedDead = !e.reportedDead },
		"outage":        func(*rapid.T) { w.storeOutage = !w.storeOutage },
		"new weights":   func(*rapid.T) { w.engineVersion++ },
		"trainer advances": func(t *rapid.T) {
			if w.trainerVersion == w.engineVersion {
				t.Skip("no newer weights")
			}
			w.trainerVersion++
		},
		"trainer restarts": func(t *rapid.T) {
			if w.restart == nil {
				t.Skip("this trainer cannot restart")
			}
			w.restartTrainer(rapid.IntRange(0, len(w.accepted)).Draw(t, "held"))
		},
		"wait": func(*rapid.T) { <-time.After(time.Second); synctest.Wait() },
	}
}
