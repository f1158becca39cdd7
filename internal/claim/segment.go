package claim

import (
	"context"
	"fmt"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"github.com/comfreyfront/comfreyfront/internal/claim/claimpb"
	"github.com/comfreyfront/comfreyfront/internal/keyvalue"
)

// segmentsPerBlock is the number of segments that are read in one call.
const segmentsPerBlock = 256

// segmentIndex holds the segments that stand. Segment i condenses the groups
// from i*segmentGroups on; every owner would write the same.
type segmentIndex struct {
	from, to uint64
	// newest is the last instant, in seconds of Unix time, at which a claim in
	// the segment was made, from the segment `from` on.
	newest []uint32
	// filling holds the newest row per key of the groups after the segments.
	filling map[Key]*claimpb.Row
	full    map[uint64]*claimpb.Segment
}

func newSegmentIndex(from, to uint64) *segmentIndex {
	return &segmentIndex{from: from, to: to, filling: map[Key]*claimpb.Row{}, full: map[uint64]*claimpb.Segment{}}
}

// add takes a committed group in; groups come in order.
func (s *segmentIndex) add(group *claimpb.Group) {
	index := group.GetSequence() / segmentGroups
	if index < s.to {
		return
	}
	for _, logged := range group.GetRows() {
		s.filling[Key(logged.GetKey())] = withoutAnswer(logged)
	}
	if group.GetSequence()%segmentGroups == segmentGroups-1 {
		s.full[index] = s.condense(index)
		clear(s.filling)
	}
}

func (s *segmentIndex) condense(index uint64) *claimpb.Segment {
	segment := &claimpb.Segment{Index: index, Rows: make([]*claimpb.Row, 0, len(s.filling))}
	for _, logged := range s.filling {
		segment.Rows = append(segment.Rows, logged)
	}
	return segment
}

func withoutAnswer(logged *claimpb.Row) *claimpb.Row {
	if logged.GetAnswer() == nil {
		return logged
	}
	return &claimpb.Row{
		Key: logged.GetKey(), Fingerprint: logged.GetFingerprint(), State: logged.GetState(),
		ClaimedAt: logged.GetClaimedAt(), Claimant: logged.GetClaimant(),
	}
}

// covers reports whether a group's slot may be written again.
func (s *segmentIndex) covers(sequence uint64) bool {
	return sequence/segmentGroups < s.to
}

// due returns the next segment to write, or nil.
func (s *segmentIndex) due() *claimpb.Segment {
	return s.full[s.to]
}

// written notes that the next segment stands.
func (s *segmentIndex) written(segment *claimpb.Segment) {
	delete(s.full, s.to)
	s.to++
	s.newest = append(s.newest, newestClaim(segment))
}

// oldest returns the index of the oldest segment and its newest claim.
func (s *segmentIndex) oldest() (index uint64, newest uint32, ok bool) {
	if len(s.newest) == 0 {
		return 0, 0, false
	}
	return s.from, s.newest[0], true
}

// deleted notes that the oldest segment is gone.
func (s *segmentIndex) deleted() {
	s.newest = s.newest[1:]
	s.from++
}

func newestClaim(segment *claimpb.Segment) uint32 {
	var newest uint32
	for _, logged := range segment.GetRows() {
		newest = max(newest, logged.GetClaimedAt())
	}
	return newest
}

func (l *commitLog) blockPrefix(index uint64) string {
	return fmt.Sprintf("claims/%d/segment/%d/", l.partition, index/segmentsPerBlock)
}

func (l *commitLog) segmentKey(index uint64) string {
	return l.blockPrefix(index) + fmt.Sprintf("%03d", index%segmentsPerBlock)
}

// writeSegment makes a segment stand. One that stands already is the same.
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

// deleteSegment removes a segment; one that is gone already is no error.
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

// readSegments calls take with each segment from one index up to another, in
// order; one that is gone is skipped.
func (l *commitLog) readSegments(ctx context.Context, from, to uint64, take func(*claimpb.Segment) error) error {
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
			if err := take(segment); err != nil {
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
