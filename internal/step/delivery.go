package step

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/comfreyfront/comfreyfront/internal/step/wire"
)

// delivery is what a step remembers of the trainer's pulls.
type delivery struct {
	// pull is the highest pull number seen.
	pull int64
	// reply is the encoded reply to it, when that had samples.
	reply []byte
	// oldest is the lowest weight version in reply; known is false when no
	// sample of it has a version.
	oldest int64
	known  bool
}

// Pull notes a pull and what the trainer holds. It fails with ErrSuperseded
// after a newer one.
func (s *Step) Pull(req *wire.PullRequest) error {
	if req.Pull < 1 {
		return ErrInvalid.New("pull numbers start from 1")
	}
	if req.Pull < s.delivery.pull {
		return ErrSuperseded.New("pull %d came after pull %d", req.Pull, s.delivery.pull).WithProperty(propLastPull, s.delivery.pull)
	}
	if err := s.Hold(req.Holds); err != nil {
		return err
	}
	if req.Pull > s.delivery.pull {
		s.delivery = delivery{pull: req.Pull}
		s.forget(req.Holds)
	}
	s.Advance(req.WeightVersion)
	return nil
}

// Reply composes the reply to the newest pull, or gives the stored one again
// byte for byte. ErrExpired when the stored one is over the bound by now.
func (s *Step) Reply(epoch int64, limits replyLimits) ([]byte, error) {
	if s.delivery.reply != nil {
		if s.delivery.known && s.reference-s.delivery.oldest > s.spec.Staleness {
			return nil, ErrExpired.New("the reply to pull %d is over the bound", s.delivery.pull)
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

// replyLimits bounds one reply.
type replyLimits struct {
	samples int
	bytes   int // of sample text
}

// worthReplying reports whether a pull need wait no longer: a whole group is
// ready, a reply would be full, or nothing else is to come.
func (s *Step) worthReplying(limits replyLimits) bool {
	if s.delivery.reply != nil || s.whole > 0 || s.Complete() {
		return true
	}
	return s.counts[ready] >= limits.samples
}

// pick returns ready samples: whole groups first, then those of the oldest
// weights, since they are the next to go over the bound.
func (s *Step) pick(limits replyLimits) []wire.Sample {
	samples := make([]wire.Sample, 0, min(s.counts[ready], limits.samples))
	size := 0
	for _, ranked := range s.rank() {
		g := &s.groups[ranked.group]
		for at := g.first; at < g.first+g.size; at++ {
			slot := &s.slots[at]
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

// rankedGroup is a group with samples to deliver.
type rankedGroup struct {
	group  int
	whole  bool
	oldest int64
}

func (s *Step) rank() []rankedGroup {
	var ranked []rankedGroup
	for g := range s.groups {
		if s.groups[g].ready > 0 {
			ranked = append(ranked, rankedGroup{group: g, whole: s.groups[g].whole(), oldest: s.oldestReady(g)})
		}
	}
	slices.SortFunc(ranked, func(a, b rankedGroup) int {
		return cmp.Or(btoi(b.whole)-btoi(a.whole), cmp.Compare(a.oldest, b.oldest), cmp.Compare(a.group, b.group))
	})
	return ranked
}

// oldestReady returns the lowest weight version among a group's ready samples.
func (s *Step) oldestReady(g int) int64 {
	oldest := s.reference
	for at := s.groups[g].first; at < s.groups[g].first+s.groups[g].size; at++ {
		if s.slots[at].state != ready {
			continue
		}
		if version, known := wire.Oldest(s.slots[at].sample.Spans); known {
			oldest = min(oldest, version)
		}
	}
	return oldest
}
