package submission

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/metastore"
	"github.com/comfreyfront/comfreyfront/internal/submission/recordpb"
)

// checkpointPrefix is the prefix of the keys under which owners save unlisted texts for
// the next owner.
const checkpointPrefix = "keep/text/"

// Timing and size limits of checkpoints.
const (
	// checkpointInterval is the time between two writes, and so the most generation time
	// that a new owner has to repeat.
	checkpointInterval = time.Second
	// checkpointMinAge is the time after its start from which an item is saved. Most items
	// are listed before saving their texts would pay off, and every saved text adds to the
	// time that a new owner spends reading, which checkpoints are meant to reduce.
	checkpointMinAge = 1200 * time.Millisecond
	// checkpointBytes is the maximum size of the texts in one write; the rest is written
	// next time.
	checkpointBytes = 250 << 10
	// maxPartBytes is the maximum size of one text in one write, well below the store's
	// limit for a value. A text that grew by more since it was last saved, as in a long
	// outage, is no longer saved.
	maxPartBytes = 700 << 10
)

// checkpoints is the owner's bookkeeping of the texts that it saved. The owner's mutex
// guards it.
type checkpoints struct {
	// loaded means that the checkpoints of previous owners have been read; none is
	// written before that.
	loaded      bool
	writing     bool
	lastAttempt time.Time // when the owner last checked for unsaved texts
	next        int       // number of the next checkpoint
	// items maps the number of each checkpoint to the keys of the items whose texts it
	// contains.
	items map[int][]string
}

// checkpoint is one write: new parts of texts, and the numbers of checkpoints to delete.
type checkpoint struct {
	number   int
	parts    []part
	obsolete []int
}

// part is the part of an item's text that is not saved yet.
type part struct {
	item *item
	text *recordpb.Text
	// restarts is the item's restart counter when the part was created; it detects a
	// restart during the write.
	restarts int
	// until is the number of events saved once the part is written.
	until int
}

// checkpointShards is the number of key ranges of a unit's checkpoints, which are read
// in parallel: one connection transfers about 2 MB per second between failure domains.
const checkpointShards = 4

func checkpointKey(unit string, number int) string {
	return fmt.Sprintf("%s%08d", checkpointShard(unit, number%checkpointShards), number)
}

// checkpointShard returns the key prefix of one range.
func checkpointShard(unit string, shard int) string {
	return fmt.Sprintf("%s%d/", checkpointKeys(unit), shard)
}

func checkpointKeys(unit string) string { return checkpointPrefix + unit + "/" }

// startCheckpoint starts a write of unsaved texts if the interval has passed. The caller
// holds o.mu.
func (o *Owner) startCheckpoint(now time.Time) {
	if !o.saved.loaded || o.saved.writing || now.Sub(o.saved.lastAttempt) < checkpointInterval {
		return
	}
	o.saved.lastAttempt = now
	c, due := o.nextCheckpoint(now)
	if !due {
		return
	}
	o.saved.writing = true
	go func() {
		err := o.writeCheckpoint(c)
		o.mu.Lock()
		defer o.mu.Unlock()
		o.saved.writing = false
		o.checkpointWritten(c, err)
	}()
}

// nextCheckpoint returns the next write. It returns false if there is nothing to save and
// some checkpoint, if there is any, is still needed. The caller holds o.mu.
func (o *Owner) nextCheckpoint(now time.Time) (checkpoint, bool) {
	c := checkpoint{number: o.saved.next, parts: o.unsaved(now, o.saved.next), obsolete: o.obsolete()}
	if len(c.parts) == 0 && (len(c.obsolete) == 0 || len(c.obsolete) < len(o.saved.items)) {
		return checkpoint{}, false
	}
	o.saved.next++
	return c, true
}

// unsaved returns the unsaved parts of the texts of items that were started at least
// checkpointMinAge ago, the longest texts first, for the checkpoint with the given
// number.
func (o *Owner) unsaved(now time.Time, number int) []part {
	var items []*item
	for _, i := range o.items {
		if i.needed() && len(i.text.events) > i.text.saved && !i.firstRunAt.IsZero() && now.Sub(i.firstRunAt) >= checkpointMinAge {
			items = append(items, i)
		}
	}
	slices.SortFunc(items, func(a, b *item) int {
		return cmp.Or(cmp.Compare(len(b.text.events), len(a.text.events)), cmp.Compare(a.record.GetId(), b.record.GetId()))
	})
	var parts []part
	bytes := 0
	for _, i := range items {
		fresh := i.text.events[i.text.saved:len(i.text.events):len(i.text.events)]
		size := totalBytes(fresh)
		if size > maxPartBytes {
			continue
		}
		bytes += size
		if len(parts) > 0 && bytes > checkpointBytes {
			break
		}
		parts = append(parts, i.unsavedPart(fresh, number))
	}
	return parts
}

func totalBytes(events []string) int {
	bytes := 0
	for _, data := range events {
		bytes += len(data)
	}
	return bytes
}

func (i *item) unsavedPart(fresh []string, number int) part {
	firstCheckpoint := i.text.firstCheckpoint
	if i.text.saved == 0 {
		firstCheckpoint = number
	}
	return part{item: i, restarts: i.restarts, until: len(i.text.events), text: &recordpb.Text{
		ItemId: i.key(), Events: fresh, Versions: slices.Clone(i.text.versions),
		Complete: i.text.complete, Skipped: int32(i.text.saved), Base: int32(firstCheckpoint),
	}}
}

// needed reports whether the next owner would have to generate the item's text.
func (i *item) needed() bool {
	return i.restored || i.submission != nil && (i.state != finished || !i.listed)
}

// obsolete returns the numbers of the checkpoints whose texts are no longer needed, at
// most maxDeletes of them.
func (o *Owner) obsolete() []int {
	var numbers []int
	for number, keys := range o.saved.items {
		if !slices.ContainsFunc(keys, func(key string) bool { i := o.items[key]; return i != nil && i.needed() }) {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	return numbers[:min(len(numbers), maxDeletes)]
}

// writeCheckpoint writes a checkpoint to the store, on condition that this owner still
// owns the unit.
func (o *Owner) writeCheckpoint(c checkpoint) error {
	txn := metastore.Txn{Conditions: []metastore.Condition{o.options.Unit.Condition()}}
	if len(c.parts) > 0 {
		texts := &recordpb.Texts{}
		for _, p := range c.parts {
			texts.Texts = append(texts.Texts, p.text)
		}
		value, err := proto.Marshal(texts)
		if err != nil {
			return ErrMalformed.Wrap(err, "texts")
		}
		txn.Puts = []metastore.Put{{Key: checkpointKey(o.options.Unit.Name, c.number), Value: value}}
	}
	for _, number := range c.obsolete {
		txn.Deletes = append(txn.Deletes, checkpointKey(o.options.Unit.Name, number))
	}
	ctx, cancel := context.WithTimeout(o.ctx, writeTimeout)
	defer cancel()
	_, err := o.options.Store.Commit(ctx, txn)
	return err
}

// checkpointWritten records the outcome of a write. Texts of an unconfirmed write do not
// count as saved: the next checkpoint contains them again under a higher number, so the
// earlier write may safely take effect late. The caller holds o.mu.
func (o *Owner) checkpointWritten(c checkpoint, err error) {
	if err != nil {
		event.TextsNotSaved.Log(o.ctx, o.options.Logger, slog.String("unit", o.options.Unit.Name), slog.String("cause", err.Error()))
	}
	if err != nil && !errorx.IsOfType(err, metastore.ErrUnknown) {
		return
	}
	for _, p := range c.parts {
		o.saved.items[c.number] = append(o.saved.items[c.number], p.text.GetItemId())
	}
	if err != nil {
		return // the key may exist, or may still be written; it is deleted once obsolete
	}
	for _, p := range c.parts {
		if p.item.restarts == p.restarts {
			p.item.text.saved, p.item.text.firstCheckpoint = p.until, int(p.text.GetBase())
		}
	}
	for _, number := range c.obsolete {
		delete(o.saved.items, number)
	}
}
