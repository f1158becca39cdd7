package submission

import (
	"github.com/comfreyfront/comfreyfront/internal/fleet"
	"github.com/comfreyfront/comfreyfront/internal/submission/recordpb"
)

// engineMemory counts the tokens of the items on each engine. All items of a service run
// through one owner, so that it sees all items of an engine. An engine whose memory is exceeded
// preempts runs or crashes.
type engineMemory struct {
	// limit is the number of tokens that an engine's memory holds; zero means unknown.
	limit int64
	used  map[string]int64
}

// fits reports whether an engine can hold an item of the given number of tokens as well. An item
// that no engine can hold fits on an engine without items, which refuses it.
func (m engineMemory) fits(e *fleet.Endpoint, tokens int64) bool {
	used := m.used[e.ID]
	return m.limit <= 0 || used == 0 || used+tokens <= m.limit
}

// add counts tokens on an engine; negative ones are taken away.
func (m engineMemory) add(endpoint string, tokens int64) {
	if m.used != nil {
		m.used[endpoint] += tokens
	}
}

// reservedEstimates is how many times the estimated length of a text is set aside for it. Texts
// are often longer than estimated, yet seldom as long as their requests allow; an engine whose
// texts outgrow its memory preempts the newest.
const reservedEstimates = 2

// memoryTokens returns how much of an engine's memory an item is expected to occupy at most.
func memoryTokens(record *recordpb.Item) int64 {
	if record.GetPromptTokens() <= 0 || record.GetExpectedTokens() <= 0 {
		return record.GetTokens()
	}
	return min(record.GetPromptTokens()+reservedEstimates*record.GetExpectedTokens(), record.GetTokens())
}

// engineMemory returns the tokens of the running items on each engine. The caller holds o.mu.
func (o *Owner) engineMemory() engineMemory {
	m := engineMemory{used: map[string]int64{}}
	if configuration := o.options.Routes.Load(); configuration != nil {
		m.limit = configuration.Services[o.options.Service].MemoryTokens
	}
	for _, i := range o.items {
		if i.run != nil && i.state == running {
			m.add(i.run.endpoint.ID, memoryTokens(i.record))
		}
	}
	return m
}
