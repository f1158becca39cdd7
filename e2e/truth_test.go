package e2e

import (
	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/proctest"
	standin "github.com/comfreyfront/comfreyfront/internal/standin/engine"
	"github.com/comfreyfront/comfreyfront/internal/standin/service"
)

// serviceRecords returns the calls in the journals of all services, by idempotency key.
func (env *environment) serviceRecords() map[string][]service.Record {
	env.t.Helper()
	byKey := map[string][]service.Record{}
	for _, endpoint := range env.Endpoints() {
		if endpoint.Kind != "service" {
			continue
		}
		records, err := service.ReadJournal(endpoint.Journal)
		require.NoError(env.t, err)
		for _, record := range records {
			byKey[record.Key] = append(byKey[record.Key], record)
		}
	}
	return byKey
}

// engineRecords returns the records in the journals of all engines, by prompt.
func (env *environment) engineRecords() map[string][]standin.Record {
	env.t.Helper()
	byPrompt := map[string][]standin.Record{}
	for _, endpoint := range env.Endpoints() {
		if endpoint.Kind != "engine" {
			continue
		}
		for _, record := range env.engineJournal(endpoint.Journal) {
			byPrompt[record.Prompt] = append(byPrompt[record.Prompt], record)
		}
	}
	return byPrompt
}

func (env *environment) engineJournal(path string) []standin.Record {
	env.t.Helper()
	records, err := standin.ReadJournal(path)
	require.NoError(env.t, err)
	return records
}

// countBegun returns the number of records that report the start of a generation.
func countBegun(records []standin.Record) int {
	count := 0
	for _, record := range records {
		if record.Event == standin.Begun {
			count++
		}
	}
	return count
}

// serviceRuns returns the number of calls in a service's journal.
func (env *environment) serviceRuns(endpoint *proctest.Endpoint) int {
	env.t.Helper()
	records, err := service.ReadJournal(endpoint.Journal)
	require.NoError(env.t, err)
	return len(records)
}
