package trainer

import (
	"github.com/comfreyfront/comfreyfront/internal/step/wire"
)

// DeliveryTracker is the trainer's side of the delivery of one step. It decides which
// replies count, so that each sample is taken exactly once whatever owners and
// networks do. It is not safe for concurrent use.
type DeliveryTracker struct {
	spec  Spec
	total int
	holds Holdings
	epoch int64
	pull  int64
}

// NewDeliveryTracker returns the account of a step of which some samples are held. The
// first pull gets number firstPull, which must be above all that were used
// before for this step.
func NewDeliveryTracker(spec Spec, holds Holdings, firstPull int64) *DeliveryTracker {
	a := &DeliveryTracker{spec: spec, holds: holds.Clone(), pull: max(firstPull, 1)}
	for _, group := range spec.Groups {
		a.total += group.Size
	}
	return a
}

// Complete reports whether the whole step is held.
func (a *DeliveryTracker) Complete() bool { return a.holds.Len() == a.total }

// Holds returns a copy of what is held.
func (a *DeliveryTracker) Holds() Holdings { return a.holds.Clone() }

// Create returns the request that makes the step known.
func (a *DeliveryTracker) Create() wire.CreateRequest {
	return wire.CreateRequest{Spec: a.spec, Holds: a.Holds(), Epoch: a.epoch}
}

// Created takes in the epoch of the owner that knows the step.
func (a *DeliveryTracker) Created(reply wire.CreateReply) { a.epoch = max(a.epoch, reply.Epoch) }

// Pull returns the request of the present pull for a trainer at version. It
// may be sent any number of times.
func (a *DeliveryTracker) Pull(version int64) wire.PullRequest {
	return wire.PullRequest{Holds: a.Holds(), Epoch: a.epoch, Pull: a.pull, WeightVersion: version}
}

// Skip gives the present pull up: replies to it count no more. The next one's
// number is above last, the highest that the owner has seen.
func (a *DeliveryTracker) Skip(last int64) { a.pull = max(a.pull, last) + 1 }

// Accept judges a reply for a trainer at version. A reply of an older pull or a
// lower epoch counts for nothing. Otherwise take is called for each sample that
// is not held and not over the bound, and the pull is done. An error of take
// ends it; samples taken until then are held.
func (a *DeliveryTracker) Accept(reply *wire.PullReply, version int64, take func(Sample) error) error {
	if reply.Pull != a.pull || reply.Epoch < a.epoch {
		return nil
	}
	a.epoch = reply.Epoch
	a.pull++
	for _, sample := range reply.Samples {
		if err := a.accept(sample, version, take); err != nil {
			return err
		}
	}
	return nil
}

func (a *DeliveryTracker) accept(sample Sample, version int64, take func(Sample) error) error {
	id := SampleID{Group: sample.Group, Index: sample.Index}
	if !a.wants(id) || wire.OverBound(sample.Spans, version, a.spec.Staleness) {
		return nil
	}
	if err := take(sample); err != nil {
		return err
	}
	a.holds.Add(id)
	return nil
}

// wants reports whether a sample is of the step and not held.
func (a *DeliveryTracker) wants(id SampleID) bool {
	if id.Group < 0 || id.Group >= len(a.spec.Groups) {
		return false
	}
	if id.Index < 0 || id.Index >= a.spec.Groups[id.Group].Size {
		return false
	}
	return !a.holds.Has(id)
}
