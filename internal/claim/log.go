package claim

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"github.com/comfreyfront/comfreyfront/internal/claim/claimpb"
	"github.com/comfreyfront/comfreyfront/internal/keyvalue"
)

const (
	// ringSlots is the number of newest groups of a partition that stand, each
	// in a key of its own that is written again a round later.
	ringSlots = 128
	// segmentGroups is the number of groups that one segment condenses.
	segmentGroups = 32
	// maxGroupBytes lets a segment of full groups stay below a value's limit.
	maxGroupBytes = 28 << 10
	// sealAttempts bounds the tries to seal a log that is being written to.
	sealAttempts = 16
)

// commitLog is the durable log of a partition: a sequence of groups, of which
// each is written by a compare-and-swap on the slot that the group a round
// earlier stands in. Of two writers of one sequence number only one succeeds,
// so an owner that has been replaced cannot commit. It is not safe for
// concurrent use.
type commitLog struct {
	store       keyvalue.Store
	partition   uint32
	epoch       int64
	writer      uint64
	callTimeout time.Duration

	revisions [ringSlots]int64
	next      uint64
}

func (l *commitLog) ringPrefix() string {
	return fmt.Sprintf("claims/%d/ring/", l.partition)
}

func (l *commitLog) slotKey(sequence uint64) string {
	return l.ringPrefix() + strconv.FormatUint(sequence%ringSlots, 10)
}

// write commits an encoded group with the sequence number l.next. After any
// error but ErrFenced it may have taken effect: write the same bytes again.
func (l *commitLog) write(ctx context.Context, encoded []byte) error {
	ctx, cancel := context.WithTimeout(ctx, l.callTimeout)
	defer cancel()
	slot := l.next % ringSlots
	value, err := l.store.CompareAndSwap(ctx, l.slotKey(l.next), l.revisions[slot], encoded, 0)
	if errorx.IsOfType(err, keyvalue.ErrConflict) {
		err = l.recognise(value)
	}
	if err != nil {
		return err
	}
	l.revisions[slot] = value.Revision
	l.next++
	return nil
}

// recognise finds out whether the value that was in the way is an earlier try
// of the same write.
func (l *commitLog) recognise(value keyvalue.Value) error {
	group, err := decodeGroup(value)
	if err != nil {
		return err
	}
	if group.GetWriter() != l.writer || group.GetSequence() != l.next {
		return ErrFenced.New("partition %d: group %d is of epoch %d", l.partition, group.GetSequence(), group.GetEpoch())
	}
	return nil
}

// sealedLog is what stood in a log when it was taken over.
type sealedLog struct {
	// groups of the ring, oldest first; the last one is the seal.
	groups   []*claimpb.Group
	segments *segmentIndex
}

// seal takes the log over: it writes a group of its own after the newest one.
func (l *commitLog) seal(ctx context.Context) (sealedLog, error) {
	for range sealAttempts {
		sealed, err := l.trySeal(ctx)
		if !errorx.IsOfType(err, errLogMoved) {
			return sealed, err
		}
	}
	return sealedLog{}, ErrUnavailable.New("partition %d: the log moved on %d times", l.partition, sealAttempts)
}

func (l *commitLog) trySeal(ctx context.Context) (sealedLog, error) {
	groups, err := l.readRing(ctx)
	if err != nil {
		return sealedLog{}, err
	}
	seal, err := l.sealAfter(groups)
	if err != nil {
		return sealedLog{}, err
	}
	segments := newSegmentIndex(seal.GetSegmentsFrom(), seal.GetSegmentsTo())
	for _, group := range groups {
		segments.add(group)
	}
	if err := l.clearSlot(ctx, seal.GetSequence(), segments); err != nil {
		return sealedLog{}, err
	}
	seal.SegmentsTo = segments.to
	if err := l.writeSeal(ctx, seal); err != nil {
		return sealedLog{}, err
	}
	segments.add(seal)
	return sealedLog{groups: append(groups, seal), segments: segments}, nil
}

// clearSlot writes the segments that must stand before a group may take the
// slot of the one a round earlier.
func (l *commitLog) clearSlot(ctx context.Context, sequence uint64, segments *segmentIndex) error {
	for sequence >= ringSlots && !segments.covers(sequence-ringSlots) {
		segment := segments.due()
		if segment == nil {
			return ErrCorrupt.New("partition %d: group %d has no segment", l.partition, sequence-ringSlots)
		}
		if err := l.writeSegment(ctx, segment); err != nil {
			return err
		}
		segments.written(segment)
	}
	return nil
}

func (l *commitLog) sealAfter(groups []*claimpb.Group) (*claimpb.Group, error) {
	seal := &claimpb.Group{Epoch: l.epoch, Writer: l.writer}
	if len(groups) == 0 {
		return seal, nil
	}
	newest := groups[len(groups)-1]
	if newest.GetEpoch() > l.epoch {
		return nil, ErrFenced.New("partition %d: epoch %d is older than %d", l.partition, l.epoch, newest.GetEpoch())
	}
	seal.Sequence = newest.GetSequence() + 1
	seal.SegmentsFrom, seal.SegmentsTo = newest.GetSegmentsFrom(), newest.GetSegmentsTo()
	return seal, nil
}

func (l *commitLog) writeSeal(ctx context.Context, seal *claimpb.Group) error {
	encoded, err := proto.Marshal(seal)
	if err != nil {
		return ErrCorrupt.Wrap(err, "seal")
	}
	l.next = seal.GetSequence()
	err = l.write(ctx, encoded)
	if errorx.IsOfType(err, keyvalue.ErrOutcomeUnknown) {
		err = l.write(ctx, encoded)
	}
	if errorx.IsOfType(err, ErrFenced) {
		return errLogMoved.Wrap(err, "seal")
	}
	return err
}

// errLogMoved: another owner wrote between the reading and the sealing.
var errLogMoved = Errors.NewType("log_moved")

func (l *commitLog) readRing(ctx context.Context) ([]*claimpb.Group, error) {
	ctx, cancel := context.WithTimeout(ctx, l.callTimeout)
	defer cancel()
	values, _, err := l.store.List(ctx, l.ringPrefix())
	if err != nil {
		return nil, err
	}
	l.revisions = [ringSlots]int64{}
	groups := make([]*claimpb.Group, 0, len(values))
	for _, value := range values {
		group, err := decodeGroup(value)
		if err != nil {
			return nil, err
		}
		l.revisions[group.GetSequence()%ringSlots] = value.Revision
		groups = append(groups, group)
	}
	slices.SortFunc(groups, func(a, b *claimpb.Group) int { return cmp.Compare(a.GetSequence(), b.GetSequence()) })
	return groups, nil
}

func decodeGroup(value keyvalue.Value) (*claimpb.Group, error) {
	group := &claimpb.Group{}
	if err := proto.Unmarshal(value.Data, group); err != nil {
		return nil, ErrCorrupt.Wrap(err, "group in %q", value.Key)
	}
	return group, nil
}
