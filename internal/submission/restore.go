package submission

import (
	"context"
	"log/slog"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/metastore"
	"github.com/comfreyfront/comfreyfront/internal/submission/recordpb"
	"github.com/comfreyfront/comfreyfront/internal/wait"
)

// Times of reading saved texts, page by page.
const (
	restoreTimeout = 3 * time.Second
	restorePause   = 200 * time.Millisecond
)

// Restore takes the texts that the owners before saved, page by page. Submissions
// may be open already: their items go on from where they were. It returns once all
// were read, or when the owner stops.
func (o *Owner) Restore() {
	began := time.Now()
	r := restoring{texts: map[string]text{}}
	for o.ctx.Err() == nil {
		page, err := o.readCheckpoints(r.after)
		if err != nil {
			event.TextsNotRestored.Log(o.ctx, o.options.Logger, slog.String("unit", o.options.Unit.Name), slog.String("cause", err.Error()))
			wait.For(o.ctx, restorePause)
			continue
		}
		o.resumePage(&r, page.Items)
		if !page.More || len(page.Items) == 0 {
			o.restored(&r, began)
			return
		}
	}
}

// restoring is what was read of saved texts so far.
type restoring struct {
	texts map[string]text // by item
	after string          // the last key
	keys  int
	bytes int
	// resumed counts how often an item went on from a saved text.
	resumed int
}

func (o *Owner) readCheckpoints(after string) (metastore.Page, error) {
	ctx, cancel := context.WithTimeout(o.ctx, restoreTimeout)
	defer cancel()
	return o.options.Store.Range(ctx, checkpointKeys(o.options.Unit.Name), after)
}

// resumePage puts saved parts together, in order of their keys, and lets items go
// on from what they make.
func (o *Owner) resumePage(r *restoring, found []metastore.Item) {
	o.mu.Lock()
	defer o.mu.Unlock()
	grown := map[string]struct{}{}
	for _, one := range found {
		r.after = one.Key
		r.keys++
		r.bytes += len(one.Value)
		number, saved, err := decodeCheckpoint(o.options.Unit.Name, one)
		if err != nil {
			event.RecordBroken.Log(o.ctx, o.options.Logger, slog.String("key", one.Key), slog.String("cause", err.Error()))
			continue
		}
		o.saved.next = max(o.saved.next, number+1)
		for _, p := range saved.GetTexts() {
			o.saved.items[number] = append(o.saved.items[number], p.GetItemId())
			if r.join(p) {
				grown[p.GetItemId()] = struct{}{}
			}
		}
	}
	now := time.Now()
	for id := range grown {
		if o.resume(id, r.texts[id], now) {
			r.resumed++
		}
	}
	o.Poke()
}

// join adds a part to the text that it goes on, or begins one; false when it
// belongs to none.
func (r *restoring) join(p *recordpb.Text) bool {
	before := text{base: int(p.GetBase())}
	if p.GetSkipped() > 0 {
		before = r.texts[p.GetItemId()]
	}
	joined, ok := before.join(p)
	if ok {
		r.texts[p.GetItemId()] = joined
	}
	return ok
}

func (o *Owner) restored(r *restoring, began time.Time) {
	o.mu.Lock()
	o.saved.known = true
	o.mu.Unlock()
	event.TextsRestored.Log(o.ctx, o.options.Logger, slog.String("unit", o.options.Unit.Name), slog.Int("keys", r.keys),
		slog.Int("bytes", r.bytes), slog.Int("texts", len(r.texts)), slog.Int("resumed", r.resumed), slog.Int64("took_ms", time.Since(began).Milliseconds()))
}

func decodeCheckpoint(unit string, one metastore.Item) (int, *recordpb.Texts, error) {
	number, err := strconv.Atoi(strings.TrimPrefix(one.Key, checkpointKeys(unit)))
	if err != nil {
		return 0, nil, ErrMalformed.Wrap(err, "key of texts")
	}
	texts := &recordpb.Texts{}
	if err := proto.Unmarshal(one.Value, texts); err != nil {
		return 0, nil, ErrMalformed.Wrap(err, "texts")
	}
	return number, texts, nil
}

// resume lets an item go on from a saved text, if that is more than the item has;
// o.mu is held. It reports whether it does.
func (o *Owner) resume(id string, t text, now time.Time) bool {
	i := o.items[id]
	switch {
	case i == nil:
		o.items[id] = &item{restored: true, orphanedAt: now, text: t}
		return true
	case i.text.complete || i.state == finished || len(t.events) <= len(i.text.events):
		return false
	case i.of != nil && !t.fits(i.of.record.GetMinVersion(), o.single(i.of)):
		return false
	}
	i.drop()
	i.text = t
	if i.of != nil && t.complete {
		o.score(i)
	}
	return true
}

// join returns the text with a part that was saved later; false when what is
// between them is missing, or the part is of another text.
func (t text) join(p *recordpb.Text) (text, bool) {
	skipped := int(p.GetSkipped())
	if skipped > len(t.events) || int(p.GetBase()) != t.base {
		return text{}, false
	}
	events := append(t.events[:skipped:skipped], p.GetEvents()...)
	return text{events: events, versions: p.GetVersions(), complete: p.GetComplete(), saved: len(events), base: t.base}, true
}
