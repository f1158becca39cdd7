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
	// ringSlots is the number of slots in the ring of a partition's newest groups. Each
	// slot is a key that is overwritten ringSlots groups later.
	ringSlots = 128
	// segmentGroups is the number of groups that are compacted into one segment.
	segmentGroups = 32
	// maxGroupBytes keeps a segment of full groups below the size limit of a stored
	// value.
	maxGroupBytes = 28 << 10
	// sealAttempts is the maximum number of attempts to seal a log to which another
	// owner is still writing.
	sealAttempts = 16
)

// commitLog is the durable log of a partition: a sequence of groups in a ring of slots.
// Each group is written with a compare-and-swap on its slot, which contains the group
// with a sequence number lower by ringSlots. If two owners write the same sequence
// number, only one succeeds, so an owner that has been replaced cannot commit. commitLog
// is not safe for concurrent use.
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

// write commits an encoded group with the sequence number l.next. After any error except
// ErrFenced the write may have taken effect, so the caller must retry with the same bytes.
func (l *commitLog) write(ctx context.Context, encoded []byte) error {
	ctx, cancel := context.WithTimeout(ctx, l.callTimeout)
	defer cancel()
	slot := l.next % ringSlots
	value, err := l.store.CompareAndSwap(ctx, l.slotKey(l.next), l.revisions[slot], encoded, 0)
	if errorx.IsOfType(err, keyvalue.ErrConflict) {
		err = l.checkOwnWrite(value)
	}
	if err != nil {
		return err
	}
	l.revisions[slot] = value.Revision
	l.next++
	return nil
}

// checkOwnWrite returns nil if the value that caused a conflict comes from an earlier
// attempt of the same write, and ErrFenced if another owner wrote it.
func (l *commitLog) checkOwnWrite(value keyvalue.Value) error {
	group, err := decodeGroup(value)
	if err != nil {
		return err
	}
	if group.GetWriter() != l.writer || group.GetSequence() != l.next {
		return ErrFenced.New("partition %d: group %d was written by epoch %d", l.partition, group.GetSequence(), group.GetEpoch())
	}
	return nil
}

// sealedLog is the content of a log at the time of a takeover.
type sealedLog struct {
	// groups contains the groups of the ring, oldest first; the last one is the seal.
	groups   []*claimpb.Group
	segments *segmentIndex
}

// seal takes over the log: it appends a group of the new owner, which makes the next
// write of the previous owner fail.
func (l *commitLog) seal(ctx context.Context) (sealedLog, error) {
	for range sealAttempts {
		sealed, err := l.trySeal(ctx)
		if !errorx.IsOfType(err, errLogMoved) {
			return sealed, err
		}
	}
	return sealedLog{}, ErrUnavailable.New("partition %d: the log changed during each of %d attempts to seal it", l.partition, sealAttempts)
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

// clearSlot writes the segments that must be durable before a new group may overwrite the
// previous group in its slot.
func (l *commitLog) clearSlot(ctx context.Context, sequence uint64, segments *segmentIndex) error {
	for sequence >= ringSlots && !segments.covers(sequence-ringSlots) {
		segment := segments.due()
		if segment == nil {
			return ErrCorrupt.New("partition %d: group %d has no segment", l.partition, sequence-ringSlots)
		}
		if err := l.writeSegment(ctx, segment); err != nil {
			return err
		}
		segments.markStored(segment)
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

// errLogMoved means that another owner wrote to the log after it was read and before it
// was sealed.
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
