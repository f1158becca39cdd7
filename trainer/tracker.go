package trainer

import (
	"github.com/comfreyfront/comfreyfront/internal/step/wire"
)

// DeliveryTracker is the trainer's side of the delivery of one step. It decides
// which replies to accept, so that each sample is delivered exactly once despite
// lost responses, retries and changes of owner. It is not safe for concurrent use.
type DeliveryTracker struct {
	spec  Spec
	total int
	holds Holdings
	epoch int64
	pull  int64
}

// NewDeliveryTracker returns the tracker of a step whose samples in holds have
// been delivered already. The first pull gets the number firstPull, which must be
// greater than all pull numbers used for this step before.
func NewDeliveryTracker(spec Spec, holds Holdings, firstPull int64) *DeliveryTracker {
	t := &DeliveryTracker{spec: spec, holds: holds.Clone(), pull: max(firstPull, 1)}
	for _, group := range spec.Groups {
		t.total += group.Size
	}
	return t
}

// Complete reports whether all samples of the step have been delivered.
func (t *DeliveryTracker) Complete() bool { return t.holds.Len() == t.total }

// Holds returns a copy of the set of delivered samples.
func (t *DeliveryTracker) Holds() Holdings { return t.holds.Clone() }

// Create returns the request that creates the step at its owner.
func (t *DeliveryTracker) Create() wire.CreateRequest {
	return wire.CreateRequest{Spec: t.spec, Holds: t.Holds(), Epoch: t.epoch}
}

// Created records the epoch of the owner that created the step.
func (t *DeliveryTracker) Created(reply wire.CreateReply) { t.epoch = max(t.epoch, reply.Epoch) }

// Pull returns the request of the current pull for a trainer at the given weight
// version. It may be sent any number of times.
func (t *DeliveryTracker) Pull(version int64) wire.PullRequest {
	return wire.PullRequest{Holds: t.Holds(), Epoch: t.epoch, Pull: t.pull, WeightVersion: version}
}

// Skip abandons the current pull, so that replies to it are ignored. The next pull
// gets a number above last, the highest that the owner has seen.
func (t *DeliveryTracker) Skip(last int64) { t.pull = max(t.pull, last) + 1 }

// Accept processes a reply for a trainer at the given weight version. It ignores
// a reply to another pull or from a lower epoch. Otherwise it ends the pull and
// calls handle for each sample that has not been delivered yet and is within the
// staleness bound. It returns the first error of handle; samples handled before
// it count as delivered.
func (t *DeliveryTracker) Accept(reply *wire.PullReply, version int64, handle func(Sample) error) error {
	if reply.Pull != t.pull || reply.Epoch < t.epoch {
		return nil
	}
	t.epoch = reply.Epoch
	t.pull++
	for _, sample := range reply.Samples {
		if err := t.accept(sample, version, handle); err != nil {
			return err
		}
	}
	return nil
}

func (t *DeliveryTracker) accept(sample Sample, version int64, handle func(Sample) error) error {
	id := SampleID{Group: sample.Group, Index: sample.Index}
	if !t.isMissing(id) || wire.OverBound(sample.Spans, version, t.spec.Staleness) {
		return nil
	}
	if err := handle(sample); err != nil {
		return err
	}
	t.holds.Add(id)
	return nil
}

// isMissing reports whether a sample belongs to the step and has not been delivered.
func (t *DeliveryTracker) isMissing(id SampleID) bool {
	if id.Group < 0 || id.Group >= len(t.spec.Groups) {
		return false
	}
	if id.Index < 0 || id.Index >= t.spec.Groups[id.Group].Size {
		return false
	}
	return !t.holds.Has(id)
}
