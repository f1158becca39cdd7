package dispatch

import (
	"time"

	"github.com/comfreyfront/comfreyfront/internal/class"
)

// Weights says how old the weights behind an answer are. The zero value is an
// answer that no weights were newly used for, such as that of a plain service.
type Weights struct {
	// Used: a model produced the answer.
	Used bool
	// Known: Behind is known.
	Known bool
	// Behind is how many versions the oldest tokens were behind the newest, when
	// the answer was whole.
	Behind int64
	// Age is how long ago those oldest tokens' weights had been replaced, zero for
	// the newest; at least so long if AgeKnown is not set.
	Age      time.Duration
	AgeKnown bool
}

// Exceeds reports whether the answer is known to be beyond the versions or the age
// that the target allows.
func (w Weights) Exceeds(target class.Freshness) bool {
	if limit, bounded := target.VersionLimit(); bounded {
		return w.Known && w.Behind > int64(limit)
	}
	limit, bounded := target.AgeLimit()
	return bounded && w.Age > limit
}

// weightsOf judges a whole answer against the newest version known now.
func (d *Dispatcher) weightsOf(model string, answer *Progress) Weights {
	versions := d.options.Snapshots.Load().Versions[model]
	oldest, known := answer.oldest()
	if !known || versions.Newest == 0 {
		return Weights{Used: true}
	}
	age, ageKnown := versions.ReplacedFor(oldest, d.now())
	return Weights{Used: true, Known: true, Behind: max(versions.Newest-oldest, 0), Age: age, AgeKnown: ageKnown}
}
