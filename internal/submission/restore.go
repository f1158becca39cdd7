package submission

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/metastore"
	"github.com/comfreyfront/comfreyfront/internal/submission/recordpb"
	"github.com/comfreyfront/comfreyfront/internal/wait"
)

// Times of reading one page of saved texts.
const (
	restoreTimeout = 3 * time.Second
	restorePause   = 200 * time.Millisecond
)

// Restore takes the texts that the owners before saved. Submissions may be open
// already: their items go on from where they were. It returns once all were read, or
// when the owner stops.
func (o *Owner) Restore() {
	began := time.Now()
	var shards [checkpointShards][]saved
	var group errgroup.Group
	for i := range shards {
		group.Go(func() (err error) {
			shards[i], err = o.readShard(i)
			return err
		})
	}
	if group.Wait() != nil {
		return // the owner stopped
	}
	all := slices.Concat(shards[:]...)
	slices.SortFunc(all, func(a, b saved) int { return cmp.Compare(a.number, b.number) })
	o.resumeAll(all, began)
}

// saved is what one key holds.
type saved struct {
	number int
	texts  *recordpb.Texts
	bytes  int
}

// readShard reads one range of keys, page by page, until that worked or the owner
// stops.
func (o *Owner) readShard(shard int) ([]saved, error) {
	prefix := checkpointShard(o.options.Unit.Name, shard)
	var all []saved
	after := ""
	for {
		page, err := o.readPage(prefix, after)
		if o.ctx.Err() != nil {
			return nil, o.ctx.Err()
		}
		if err != nil {
			event.TextsNotRestored.Log(o.ctx, o.options.Logger, slog.String("unit", o.options.Unit.Name), slog.String("cause", err.Error()))
			wait.For(o.ctx, restorePause)
			continue
		}
		for _, one := range page.Items {
			after = one.Key
			s, err := decodeCheckpoint(prefix, one)
			if err != nil {
				event.RecordBroken.Log(o.ctx, o.options.Logger, slog.String("key", one.Key), slog.String("cause", err.Error()))
				continue
			}
			all = append(all, s)
		}
		if !page.More || len(page.Items) == 0 {
			return all, nil
		}
	}
}

func (o *Owner) readPage(prefix, after string) (metastore.Page, error) {
	ctx, cancel := context.WithTimeout(o.ctx, restoreTimeout)
	defer cancel()
	return o.options.Store.Range(ctx, prefix, after)
}

func decodeCheckpoint(prefix string, one metastore.Item) (saved, error) {
	number, err := strconv.Atoi(strings.TrimPrefix(one.Key, prefix))
	if err != nil {
		return saved{}, ErrMalformed.Wrap(err, "key of texts")
	}
	texts := &recordpb.Texts{}
	if err := proto.Unmarshal(one.Value, texts); err != nil {
		return saved{}, ErrMalformed.Wrap(err, "texts")
	}
	return saved{number: number, texts: texts, bytes: len(one.Value)}, nil
}

// resumeAll puts saved parts together, in order of their numbers, and lets items go
// on from what they make.
func (o *Owner) resumeAll(all []saved, began time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	texts := joined{}
	bytes := 0
	for _, s := range all {
		bytes += s.bytes
		o.saved.next = max(o.saved.next, s.number+1)
		for _, p := range s.texts.GetTexts() {
			o.saved.items[s.number] = append(o.saved.items[s.number], p.GetItemId())
			texts.add(p)
		}
	}
	now := time.Now()
	resumed := 0
	for id, t := range texts {
		if o.resume(id, t, now) {
			resumed++
		}
	}
	o.saved.known = true
	o.Poke()
	event.TextsRestored.Log(o.ctx, o.options.Logger, slog.String("unit", o.options.Unit.Name), slog.Int("keys", len(all)),
		slog.Int("bytes", bytes), slog.Int("texts", len(texts)), slog.Int("resumed", resumed), slog.Int64("took_ms", now.Sub(began).Milliseconds()))
}

// joined are texts that were put together so far, by item.
type joined map[string]text

// add adds a part to the text that it goes on, or begins one; a part that belongs to
// none is passed over.
func (j joined) add(p *recordpb.Text) {
	before := text{base: int(p.GetBase())}
	if p.GetSkipped() > 0 {
		before = j[p.GetItemId()]
	}
	if t, ok := before.join(p); ok {
		j[p.GetItemId()] = t
	}
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
