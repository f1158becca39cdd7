package submission

import (
	"math"

	"github.com/comfreyfront/comfreyfront/internal/submission/recordpb"
	"github.com/comfreyfront/comfreyfront/internal/textlimit"
)

// eventOverhead is the memory of an event beside its data, in bytes.
const eventOverhead = 32

// textLimit is how long the text of an item may become.
type textLimit struct {
	events int
	bytes  int
}

// limitOf returns the limit for the text of an item. Each event has at least one token.
func limitOf(record *recordpb.Item) textLimit {
	limit := textLimit{events: textlimit.MaxBytes / eventOverhead, bytes: textlimit.Bytes(record.GetTokens())}
	if tokens := record.GetTokens(); tokens > 0 {
		limit.events = int(min(tokens, math.MaxInt32))
	}
	return limit
}

// checkLimit returns ErrOverlong if an event must not be added to the text.
func (t *text) checkLimit(data string, limit textLimit) error {
	if len(t.events) >= limit.events {
		return ErrOverlong.New("more than %d events", limit.events)
	}
	if t.bytes+len(data) > limit.bytes {
		return ErrOverlong.New("more than %d bytes", limit.bytes)
	}
	return nil
}

// bytesOf returns the size of events.
func bytesOf(events []string) int {
	bytes := 0
	for _, data := range events {
		bytes += len(data)
	}
	return bytes
}
