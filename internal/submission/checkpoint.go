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

// checkpointPrefix starts the keys under which owners save texts that are not
// listed yet, for the owner after them.
const checkpointPrefix = "keep/text/"

// Bounds of checkpoints.
const (
	// checkpointEvery is the time between two writes: what a new owner has to
	// generate again at most.
	checkpointEvery = time.Second
	// checkpointAge is how long an item must have been running: most are listed
	// before a write of their texts would pay, and a new owner reads what is saved
	// in the time that it wants to win.
	checkpointAge = 1200 * time.Millisecond
	// checkpointBytes is the most of texts in one write; the rest comes next.
	checkpointBytes = 250 << 10
	// partMost is the most of one text in one write, well under what the store
	// holds under a key. A text that grew by more since it was saved, as in a long
	// outage, is not saved any more.
	partMost = 700 << 10
)

// checkpoints is what an owner knows of the texts that it saved. The owner's lock
// guards it.
type checkpoints struct {
	// known: the keys of the owners before were read; none is written before.
	known   bool
	writing bool
	at      time.Time // when the owner last looked for something to save
	next    int       // number of the next key
	// items are those of which a key holds some text, by the key's number.
	items map[int][]string
}

// checkpoint is one write: new parts of texts, and the keys that nobody needs.
type checkpoint struct {
	number   int
	parts    []part
	obsolete []int
}

// part is the text of an item beyond what was saved before.
type part struct {
	item *item
	text *recordpb.Text
	// restarts tells whether the item was begun anew since.
	restarts int
	// until is the number of events that are saved with it.
	until int
}

// checkpointShards is how many ranges the keys of a unit form: one connection
// brings about 2 MB a second between failure domains, and they are read side by
// side.
const checkpointShards = 4

func checkpointKey(unit string, number int) string {
	return fmt.Sprintf("%s%08d", checkpointShard(unit, number%checkpointShards), number)
}

// checkpointShard returns the prefix of one range of keys.
func checkpointShard(unit string, shard int) string {
	return fmt.Sprintf("%s%d/", checkpointKeys(unit), shard)
}

func checkpointKeys(unit string) string { return checkpointPrefix + unit + "/" }

// startCheckpoint saves what grew, when it is time; o.mu is held.
func (o *Owner) startCheckpoint(now time.Time) {
	if !o.saved.known || o.saved.writing || now.Sub(o.saved.at) < checkpointEvery {
		return
	}
	o.saved.at = now
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
		o.wroteCheckpoint(c, err)
	}()
}

// nextCheckpoint returns the next write, if there is anything to save, or nothing
// left that needs the keys; o.mu is held.
func (o *Owner) nextCheckpoint(now time.Time) (checkpoint, bool) {
	c := checkpoint{number: o.saved.next, parts: o.unsaved(now, o.saved.next), obsolete: o.obsolete()}
	if len(c.parts) == 0 && (len(c.obsolete) == 0 || len(c.obsolete) < len(o.saved.items)) {
		return checkpoint{}, false
	}
	o.saved.next++
	return c, true
}

// unsaved returns the new parts of texts of items that have run for long, the
// longest texts first, for the checkpoint of a number.
func (o *Owner) unsaved(now time.Time, number int) []part {
	var items []*item
	for _, i := range o.items {
		if i.needed() && len(i.text.events) > i.text.saved && !i.begunAt.IsZero() && now.Sub(i.begunAt) >= checkpointAge {
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
		size := sizeOf(fresh)
		if size > partMost {
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

func sizeOf(events []string) int {
	bytes := 0
	for _, data := range events {
		bytes += len(data)
	}
	return bytes
}

func (i *item) unsavedPart(fresh []string, number int) part {
	base := i.text.base
	if i.text.saved == 0 {
		base = number
	}
	return part{item: i, restarts: i.restarts, until: len(i.text.events), text: &recordpb.Text{
		ItemId: i.record.GetId(), Events: fresh, Versions: slices.Clone(i.text.versions),
		Complete: i.text.complete, Skipped: int32(i.text.saved), Base: int32(base),
	}}
}

// needed reports whether the next owner would have to make the item's text.
func (i *item) needed() bool {
	return i.restored || i.of != nil && (i.state != finished || !i.listed)
}

// obsolete returns the keys whose texts are not needed any more.
func (o *Owner) obsolete() []int {
	var numbers []int
	for number, ids := range o.saved.items {
		if !slices.ContainsFunc(ids, func(id string) bool { i := o.items[id]; return i != nil && i.needed() }) {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	return numbers[:min(len(numbers), deletesMost)]
}

// writeCheckpoint writes to the store, on the condition that the unit is still
// this owner's.
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

// wroteCheckpoint takes the end of a write; o.mu is held. One that was not
// confirmed saves nothing: the next holds its texts too, under a higher number,
// so that it may as well take effect late.
func (o *Owner) wroteCheckpoint(c checkpoint, err error) {
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
		return // the key may stand, or come to stand: it is removed in its time
	}
	for _, p := range c.parts {
		if p.item.restarts == p.restarts {
			p.item.text.saved, p.item.text.base = p.until, int(p.text.GetBase())
		}
	}
	for _, number := range c.obsolete {
		delete(o.saved.items, number)
	}
}
