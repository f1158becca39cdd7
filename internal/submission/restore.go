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

// Timeout and retry pause for reading one page of checkpoints.
const (
	restoreTimeout = 3 * time.Second
	restorePause   = 200 * time.Millisecond
)

// Restore reads the checkpoints that previous owners wrote. It may run while submissions
// are already open: their items then resume from the saved texts. It returns when all
// checkpoints are read or the owner stops.
func (o *Owner) Restore() {
	began := time.Now()
	var shards [checkpointShards][]savedTexts
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
	stored := slices.Concat(shards[:]...)
	slices.SortFunc(stored, func(a, b savedTexts) int { return cmp.Compare(a.number, b.number) })
	o.resumeItems(stored, began)
}

// savedTexts is the decoded checkpoint stored under one key.
type savedTexts struct {
	number int
	texts  *recordpb.Texts
	bytes  int
}

// readShard reads one range of keys page by page. It retries failed reads until the
// owner stops.
func (o *Owner) readShard(shard int) ([]savedTexts, error) {
	prefix := checkpointShard(o.options.Unit.Name, shard)
	var stored []savedTexts
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
		for _, item := range page.Items {
			after = item.Key
			s, err := decodeCheckpoint(prefix, item)
			if err != nil {
				event.RecordSkipped.Log(o.ctx, o.options.Logger, slog.String("key", item.Key), slog.String("cause", err.Error()))
				continue
			}
			stored = append(stored, s)
		}
		if !page.More || len(page.Items) == 0 {
			return stored, nil
		}
	}
}

func (o *Owner) readPage(prefix, after string) (metastore.Page, error) {
	ctx, cancel := context.WithTimeout(o.ctx, restoreTimeout)
	defer cancel()
	return o.options.Store.Range(ctx, prefix, after)
}

func decodeCheckpoint(prefix string, item metastore.Item) (savedTexts, error) {
	number, err := strconv.Atoi(strings.TrimPrefix(item.Key, prefix))
	if err != nil {
		return savedTexts{}, ErrMalformed.Wrap(err, "key of texts")
	}
	texts := &recordpb.Texts{}
	if err := proto.Unmarshal(item.Value, texts); err != nil {
		return savedTexts{}, ErrMalformed.Wrap(err, "texts")
	}
	return savedTexts{number: number, texts: texts, bytes: len(item.Value)}, nil
}

// resumeItems assembles the texts from checkpoints, which are sorted by number, and lets
// items resume from them.
func (o *Owner) resumeItems(stored []savedTexts, began time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	texts := joinedTexts{}
	bytes := 0
	for _, s := range stored {
		bytes += s.bytes
		o.saved.next = max(o.saved.next, s.number+1)
		for _, p := range s.texts.GetTexts() {
			o.saved.items[s.number] = append(o.saved.items[s.number], p.GetItemId())
			texts.add(p)
		}
	}
	now := time.Now()
	resumed := 0
	for key, t := range texts {
		if o.resume(key, t, now) {
			resumed++
		}
	}
	o.saved.loaded = true
	o.Wake()
	event.TextsRestored.Log(o.ctx, o.options.Logger, slog.String("unit", o.options.Unit.Name), slog.Int("keys", len(stored)),
		slog.Int("bytes", bytes), slog.Int("texts", len(texts)), slog.Int("resumed", resumed), slog.Int64("took_ms", now.Sub(began).Milliseconds()))
}

// joinedTexts maps keys of items to the texts assembled so far.
type joinedTexts map[string]text

// add appends a part to the text that it continues, or starts a new text. A part that
// fits no text is ignored.
func (j joinedTexts) add(p *recordpb.Text) {
	previous := text{firstCheckpoint: int(p.GetBase())}
	if p.GetSkipped() > 0 {
		previous = j[p.GetItemId()]
	}
	if t, ok := previous.join(p); ok {
		j[p.GetItemId()] = t
	}
}

// resume lets an item resume from a saved text if that is longer than the item's current
// text, and reports whether it does. The caller holds o.mu.
func (o *Owner) resume(key string, t text, now time.Time) bool {
	i := o.items[key]
	switch {
	case i == nil:
		o.items[key] = &item{restored: true, orphanedAt: now, text: t}
		return true
	case i.text.complete || i.state == finished || len(t.events) <= len(i.text.events):
		return false
	case i.submission != nil && !t.fits(i.submission.record.GetMinVersion(), o.requiresSingleVersion(i.submission)):
		return false
	}
	i.cancelRun()
	i.text = t
	if i.submission != nil && t.complete {
		o.startScoring(i)
	}
	return true
}

// join returns the text extended by a part that was saved later. It returns false if
// events between the two are missing or the part belongs to another text.
func (t text) join(p *recordpb.Text) (text, bool) {
	skipped := int(p.GetSkipped())
	if skipped > len(t.events) || int(p.GetBase()) != t.firstCheckpoint {
		return text{}, false
	}
	events := append(t.events[:skipped:skipped], p.GetEvents()...)
	return text{events: events, bytes: bytesOf(events), versions: p.GetVersions(), complete: p.GetComplete(), saved: len(events), firstCheckpoint: t.firstCheckpoint}, true
}
