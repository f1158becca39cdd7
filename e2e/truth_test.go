package e2e

import (
	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/proctest"
	standin "github.com/comfreyfront/comfreyfront/internal/standin/engine"
	"github.com/comfreyfront/comfreyfront/internal/standin/service"
)

// serviceTruth returns the calls that truly ran, by idempotency key.
func (w *world) serviceTruth() map[string][]service.Record {
	w.t.Helper()
	truth := map[string][]service.Record{}
	for _, endpoint := range w.Endpoints() {
		if endpoint.Kind != "service" {
			continue
		}
		records, err := service.ReadJournal(endpoint.Journal)
		require.NoError(w.t, err)
		for _, record := range records {
			truth[record.Key] = append(truth[record.Key], record)
		}
	}
	return truth
}

// engineTruth returns the records of all engines, by prompt.
func (w *world) engineTruth() map[string][]standin.Record {
	w.t.Helper()
	truth := map[string][]standin.Record{}
	for _, endpoint := range w.Endpoints() {
		if endpoint.Kind != "engine" {
			continue
		}
		for _, record := range w.engineJournal(endpoint.Journal) {
			truth[record.Prompt] = append(truth[record.Prompt], record)
		}
	}
	return truth
}

func (w *world) engineJournal(path string) []standin.Record {
	w.t.Helper()
	records, err := standin.ReadJournal(path)
	require.NoError(w.t, err)
	return records
}

// begun returns the number of times that a request truly began to run.
func begun(records []standin.Record) int {
	count := 0
	for _, record := range records {
		if record.Event == standin.Begun {
			count++
		}
	}
	return count
}

// serviceRuns is the number of calls that a service truly ran.
func (w *world) serviceRuns(endpoint *proctest.Endpoint) int {
	w.t.Helper()
	records, err := service.ReadJournal(endpoint.Journal)
	require.NoError(w.t, err)
	return len(records)
}
