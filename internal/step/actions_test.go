package step

import (
	"fmt"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// actions returns the actions of the stateful test, by name.
func (sim *simulation) actions() map[string]func(*rapid.T) {
	entry := func(t *rapid.T) *fakeEntry { return rapid.SampledFrom(sim.entries).Draw(t, "entry") }
	generate := func(t *rapid.T) {
		if len(sim.running()) == 0 {
			t.Skip("no generation is running")
		}
		sim.advanceJob(rapid.IntRange(0, len(sim.running())-1).Draw(t, "job"), rapid.IntRange(0, 4).Draw(t, "what"))
	}
	return map[string]func(*rapid.T){
		"generate": generate, "generate more": generate, "generate most": generate,
		"pull": func(t *rapid.T) { sim.pull(routed{entry(t).router}, "") },
		"pull at any entry": func(t *rapid.T) {
			e := entry(t)
			sim.pull(e.caller, fmt.Sprintf("%s.%d", e.id, e.incarnation))
		},
		"deliver": func(t *rapid.T) {
			if len(sim.replies) == 0 {
				t.Skip("no replies")
			}
			sim.deliver(rapid.IntRange(0, len(sim.replies)-1).Draw(t, "reply"))
		},
		"deliver newest": func(t *rapid.T) {
			if len(sim.replies) == 0 {
				t.Skip("no replies")
			}
			sim.deliver(len(sim.replies) - 1)
		},
		"kill":          func(t *rapid.T) { sim.kill(entry(t)) },
		"lease expires": func(t *rapid.T) { sim.expireLease(rapid.Bool().Draw(t, "notify")) },
		"reported dead": func(t *rapid.T) { e := entry(t); e.reportedDead = !e.reportedDead },
		"outage":        func(*rapid.T) { sim.storeOutage = !sim.storeOutage },
		"new weights":   func(*rapid.T) { sim.engineVersion++ },
		"trainer advances": func(t *rapid.T) {
			if sim.trainerVersion == sim.engineVersion {
				t.Skip("no newer weights")
			}
			sim.trainerVersion++
		},
		"trainer restarts": func(t *rapid.T) {
			if sim.restart == nil {
				t.Skip("this trainer cannot restart")
			}
			sim.restartTrainer(rapid.IntRange(0, len(sim.accepted)).Draw(t, "held"))
		},
		"wait": func(*rapid.T) { <-time.After(time.Second); synctest.Wait() },
	}
}
