package dispatch

import "github.com/comfreyfront/comfreyfront/internal/class"

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
}

// Over reports whether the answer is known to be beyond the versions that the
// target allows. A target of an age is not judged.
func (w Weights) Over(target class.Freshness) bool {
	limit, bounded := target.VersionLimit()
	return bounded && w.Known && w.Behind > int64(limit)
}

// weightsOf judges a whole answer against the newest version known now.
func (d *Dispatcher) weightsOf(model string, answer *Progress) Weights {
	newest := d.options.Snapshots.Load().Versions[model].Newest
	oldest, known := answer.oldest()
	if !known || newest == 0 {
		return Weights{Used: true}
	}
	return Weights{Used: true, Known: true, Behind: max(newest-oldest, 0)}
}
