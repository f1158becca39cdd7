package claim

import (
	"context"
	"fmt"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"github.com/comfreyfront/comfreyfront/internal/claim/claimpb"
	"github.com/comfreyfront/comfreyfront/internal/keyvalue"
)

// segmentsPerBlock is the number of segments that are read with one call.
const segmentsPerBlock = 256

// segmentIndex tracks the segments of a partition that are stored, from `from` up to but
// not including `to`. Segment i is the compacted form of the segmentGroups groups that
// start at i*segmentGroups. Its content depends on the groups only, so every owner writes
// the same segment.
type segmentIndex struct {
	from, to uint64
	// newest contains, for each segment starting at `from`, the Unix time in seconds of
	// its newest claim.
	newest []uint32
	// unsegmented contains the newest row per key of the groups after the last complete
	// segment.
	unsegmented map[Key]*claimpb.Row
	// unwritten contains the complete segments that are not yet stored, by index.
	unwritten map[uint64]*claimpb.Segment
}

func newSegmentIndex(from, to uint64) *segmentIndex {
	return &segmentIndex{from: from, to: to, unsegmented: map[Key]*claimpb.Row{}, unwritten: map[uint64]*claimpb.Segment{}}
}

// add records a committed group. Groups must be added in order.
func (s *segmentIndex) add(group *claimpb.Group) {
	index := group.GetSequence() / segmentGroups
	if index < s.to {
		return
	}
	for _, stored := range group.GetRows() {
		s.unsegmented[Key(stored.GetKey())] = withoutAnswer(stored)
	}
	if group.GetSequence()%segmentGroups == segmentGroups-1 {
		s.unwritten[index] = s.compact(index)
		clear(s.unsegmented)
	}
}

func (s *segmentIndex) compact(index uint64) *claimpb.Segment {
	segment := &claimpb.Segment{Index: index, Rows: make([]*claimpb.Row, 0, len(s.unsegmented))}
	for _, stored := range s.unsegmented {
		segment.Rows = append(segment.Rows, stored)
	}
	return segment
}

func withoutAnswer(stored *claimpb.Row) *claimpb.Row {
	if stored.GetAnswer() == nil {
		return stored
	}
	return &claimpb.Row{
		Key: stored.GetKey(), Fingerprint: stored.GetFingerprint(), State: stored.GetState(),
		ClaimedAt: stored.GetClaimedAt(), Claimant: stored.GetClaimant(),
	}
}

// covers reports whether the group is part of a stored segment, so that its slot may be
// overwritten.
func (s *segmentIndex) covers(sequence uint64) bool {
	return sequence/segmentGroups < s.to
}

// due returns the next segment to write, or nil if there is none.
func (s *segmentIndex) due() *claimpb.Segment {
	return s.unwritten[s.to]
}

// markStored records that the next segment is stored.
func (s *segmentIndex) markStored(segment *claimpb.Segment) {
	delete(s.unwritten, s.to)
	s.to++
	s.newest = append(s.newest, newestClaim(segment))
}

// oldest returns the index of the oldest segment and the time of its newest claim.
func (s *segmentIndex) oldest() (index uint64, newest uint32, ok bool) {
	if len(s.newest) == 0 {
		return 0, 0, false
	}
	return s.from, s.newest[0], true
}

// markDeleted records that the oldest segment was deleted.
func (s *segmentIndex) markDeleted() {
	s.newest = s.newest[1:]
	s.from++
}

func newestClaim(segment *claimpb.Segment) uint32 {
	var newest uint32
	for _, stored := range segment.GetRows() {
		newest = max(newest, stored.GetClaimedAt())
	}
	return newest
}

func (l *commitLog) blockPrefix(index uint64) string {
	return fmt.Sprintf("claims/%d/segment/%d/", l.partition, index/segmentsPerBlock)
}

func (l *commitLog) segmentKey(index uint64) string {
	return l.blockPrefix(index) + fmt.Sprintf("%03d", index%segmentsPerBlock)
}

// writeSegment stores a segment. A conflict is no error, because a segment that is already
// stored has the same content.
func (l *commitLog) writeSegment(ctx context.Context, segment *claimpb.Segment) error {
	encoded, err := proto.Marshal(segment)
	if err != nil {
		return ErrCorrupt.Wrap(err, "segment %d", segment.GetIndex())
	}
	ctx, cancel := context.WithTimeout(ctx, l.callTimeout)
	defer cancel()
	_, err = l.store.CompareAndSwap(ctx, l.segmentKey(segment.GetIndex()), 0, encoded, 0)
	if errorx.IsOfType(err, keyvalue.ErrConflict) {
		return nil
	}
	return err
}

// deleteSegment deletes a segment. It is no error if the segment does not exist.
func (l *commitLog) deleteSegment(ctx context.Context, index uint64) error {
	ctx, cancel := context.WithTimeout(ctx, l.callTimeout)
	defer cancel()
	value, err := l.store.Get(ctx, l.segmentKey(index))
	if errorx.IsOfType(err, keyvalue.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	err = l.store.Delete(ctx, value.Key, value.Revision)
	if errorx.IsOfType(err, keyvalue.ErrNotFound) {
		return nil
	}
	return err
}

// readSegments calls visit for each stored segment with an index of at least from and
// less than to, in order. Deleted segments are skipped.
func (l *commitLog) readSegments(ctx context.Context, from, to uint64, visit func(*claimpb.Segment) error) error {
	for block := from / segmentsPerBlock; block*segmentsPerBlock < to; block++ {
		values, err := l.listBlock(ctx, block*segmentsPerBlock)
		if err != nil {
			return err
		}
		for _, value := range values {
			segment := &claimpb.Segment{}
			if err := proto.Unmarshal(value.Data, segment); err != nil {
				return ErrCorrupt.Wrap(err, "segment in %q", value.Key)
			}
			if segment.GetIndex() < from || segment.GetIndex() >= to {
				continue
			}
			if err := visit(segment); err != nil {
				return err
			}
		}
	}
	return nil
}

func (l *commitLog) listBlock(ctx context.Context, index uint64) ([]keyvalue.Value, error) {
	ctx, cancel := context.WithTimeout(ctx, l.callTimeout)
	defer cancel()
	values, _, err := l.store.List(ctx, l.blockPrefix(index))
	return values, err
}
