package step

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/comfreyfront/comfreyfront/internal/step/wire"
)

// delivery holds the newest pull of a step and the reply to it.
type delivery struct {
	// pull is the highest pull number received.
	pull int64
	// reply is the encoded reply to that pull; nil if no samples were sent yet.
	reply []byte
	// oldest is the lowest weight version in reply; known is false when no
	// sample in reply has a version.
	oldest int64
	known  bool
}

// Pull records a pull and the samples that the trainer holds. It fails with
// ErrSuperseded if a pull with a higher number was received before.
func (s *Step) Pull(req *wire.PullRequest) error {
	if req.Pull < 1 {
		return ErrInvalid.New("pull numbers start at 1")
	}
	if req.Pull < s.delivery.pull {
		return ErrSuperseded.New("pull %d arrived after pull %d", req.Pull, s.delivery.pull).WithProperty(propLastPull, s.delivery.pull)
	}
	if err := s.Hold(req.Holds); err != nil {
		return err
	}
	if req.Pull > s.delivery.pull {
		s.delivery = delivery{pull: req.Pull}
		s.requeueLost(req.Holds)
	}
	s.Advance(req.WeightVersion)
	return nil
}

// Reply composes the reply to the newest pull. If a reply is stored, Reply returns
// the same bytes again, or ErrExpired if a sample in them now exceeds the
// staleness bound.
func (s *Step) Reply(epoch int64, limits replyLimits) ([]byte, error) {
	if s.delivery.reply != nil {
		if s.delivery.known && s.reference-s.delivery.oldest > s.spec.Staleness {
			return nil, ErrExpired.New("the reply to pull %d exceeds the staleness bound", s.delivery.pull)
		}
		return s.delivery.reply, nil
	}
	reply := wire.PullReply{Epoch: epoch, Pull: s.delivery.pull, Samples: s.pick(limits)}
	reply.Complete = s.counts[held]+len(reply.Samples) == len(s.slots)
	encoded, err := json.Marshal(&reply)
	if err != nil {
		panic(err) // a PullReply holds only strings and numbers
	}
	if len(reply.Samples) > 0 {
		s.store(encoded, reply.Samples)
	}
	return encoded, nil
}

func (s *Step) store(encoded []byte, samples []wire.Sample) {
	s.delivery.reply = encoded
	for i := range samples {
		oldest, known := wire.Oldest(samples[i].Spans)
		if !known {
			continue
		}
		s.observe.Delivered(s.reference - oldest)
		if !s.delivery.known || oldest < s.delivery.oldest {
			s.delivery.oldest, s.delivery.known = oldest, true
		}
	}
}

// replyLimits bounds the size of one reply.
type replyLimits struct {
	samples int
	bytes   int // of sample text
}

// canReply reports whether a pull can be answered now: a reply is stored, a
// group is deliverable, a reply would be full, or the step is complete.
func (s *Step) canReply(limits replyLimits) bool {
	if s.delivery.reply != nil || s.deliverable > 0 || s.Complete() {
		return true
	}
	return s.counts[ready] >= limits.samples
}

// pick returns ready samples within limits: those of deliverable groups first, then
// those of groups with the oldest weights, since these are the next to exceed the
// staleness bound.
func (s *Step) pick(limits replyLimits) []wire.Sample {
	samples := make([]wire.Sample, 0, min(s.counts[ready], limits.samples))
	size := 0
	for _, ranked := range s.rank() {
		g := &s.groups[ranked.group]
		for pos := g.first; pos < g.first+g.size; pos++ {
			slot := &s.slots[pos]
			if slot.state != ready {
				continue
			}
			size += len(slot.sample.Text)
			if len(samples) == limits.samples || len(samples) > 0 && size > limits.bytes {
				return samples
			}
			samples = append(samples, slot.sample)
		}
	}
	return samples
}

// rankedGroup is a group with ready samples and its sort keys for delivery.
type rankedGroup struct {
	group       int
	deliverable bool
	oldest      int64
}

func (s *Step) rank() []rankedGroup {
	var ranked []rankedGroup
	for g := range s.groups {
		if s.groups[g].ready > 0 {
			ranked = append(ranked, rankedGroup{group: g, deliverable: s.groups[g].deliverable(), oldest: s.oldestReady(g)})
		}
	}
	slices.SortFunc(ranked, func(a, b rankedGroup) int {
		return cmp.Or(btoi(b.deliverable)-btoi(a.deliverable), cmp.Compare(a.oldest, b.oldest), cmp.Compare(a.group, b.group))
	})
	return ranked
}

// oldestReady returns the lowest weight version among a group's ready samples, or
// the reference version if none is lower.
func (s *Step) oldestReady(g int) int64 {
	oldest := s.reference
	for pos := s.groups[g].first; pos < s.groups[g].first+s.groups[g].size; pos++ {
		if s.slots[pos].state != ready {
			continue
		}
		if version, known := wire.Oldest(s.slots[pos].sample.Spans); known {
			oldest = min(oldest, version)
		}
	}
	return oldest
}
