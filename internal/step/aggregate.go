package step

import (
	"context"
	"slices"

	"github.com/comfreyfront/comfreyfront/internal/step/wire"
)

// sampleState is the stage of a sample between its request and its delivery.
type sampleState uint8

const (
	waiting sampleState = iota
	running
	ready // finished or refused; the trainer has not reported that it holds the sample
	held  // the trainer reported that it holds the sample
)

// slot holds the state of one sample of a step.
type slot struct {
	id         wire.SampleID
	state      sampleState
	queued     bool // the position is in pending, possibly as a stale entry
	attempt    int  // incremented on each start, so that results of earlier attempts are ignored
	cancel     context.CancelFunc
	throughput throughput // of the running attempt only
	moves      int
	partial    partial
	sample     wire.Sample
}

// partial holds what has been generated of an unfinished sample.
type partial struct {
	text   []byte
	tokens int
	spans  []wire.Span
}

// group locates the slots of one prompt and counts its ready and held samples.
type group struct {
	first, size, ready, held int
}

// deliverable reports whether delivering the ready samples completes the group at
// the trainer.
func (g *group) deliverable() bool { return g.ready > 0 && g.ready+g.held == g.size }

// Step tracks the samples of one training step: which are requested, which are
// ready and which the trainer holds. It is not safe for concurrent use.
type Step struct {
	spec   wire.Spec
	digest digest
	order  Order
	slots  []slot
	groups []group
	// pending holds the positions of all waiting slots in starting order. It may
	// also contain stale positions of slots that are no longer waiting.
	pending []int
	// reference is the weight version against which staleness is measured.
	reference   int64
	counts      [held + 1]int
	readyBytes  int // text of ready samples, in bytes
	deliverable int // groups for which deliverable() is true
	discarded   int64
	// averageThroughput is a moving average over finished samples, in tokens per
	// second; zero means unknown.
	averageThroughput float64
	observe           Observer
	delivery          delivery
}

// Observer receives a notification for each sample that a step discards or
// delivers. The versions argument is the staleness: the reference version minus
// the version of the sample's oldest tokens.
type Observer interface {
	// Discarded reports a discarded sample; complete is false for a partial one.
	Discarded(versions int64, complete bool)
	// Delivered reports a sample that was included in a reply.
	Delivered(versions int64)
}

// New returns a step for spec. The samples listed in holds are already held by the
// trainer and are not generated.
func New(spec wire.Spec, holds wire.Holdings, order Order, observe Observer) (*Step, error) {
	if err := validate(&spec); err != nil {
		return nil, err
	}
	s := &Step{spec: spec, digest: digestOf(&spec), order: order, observe: observe, reference: spec.WeightVersion}
	s.initSlots()
	if err := s.Hold(holds); err != nil {
		return nil, err
	}
	return s, nil
}

// initSlots creates one waiting slot for each sample.
func (s *Step) initSlots() {
	for g, spec := range s.spec.Groups {
		s.groups = append(s.groups, group{first: len(s.slots), size: spec.Size})
		for i := range spec.Size {
			s.pending = append(s.pending, len(s.slots))
			s.slots = append(s.slots, slot{id: wire.SampleID{Group: g, Index: i}, queued: true})
		}
	}
	s.counts[waiting] = len(s.slots)
	slices.SortFunc(s.pending, s.compare)
}

func (s *Step) compare(a, b int) int { return s.order(s.candidate(a), s.candidate(b)) }

func (s *Step) candidate(pos int) Candidate {
	slot := &s.slots[pos]
	spec := s.spec.Groups[slot.id.Group]
	return Candidate{ID: slot.id, MaxTokens: spec.MaxTokens, GroupSize: spec.Size, Attempts: slot.attempt}
}

// setState changes the state of a slot, updates all counts and cancels a running
// attempt. A slot that becomes waiting is queued again.
func (s *Step) setState(pos int, to sampleState) {
	slot := &s.slots[pos]
	if slot.state == to {
		return
	}
	g := &s.groups[slot.id.Group]
	wasDeliverable := g.deliverable()
	s.adjustCounts(g, slot, slot.state, -1)
	s.adjustCounts(g, slot, to, +1)
	s.deliverable += btoi(g.deliverable()) - btoi(wasDeliverable)
	if slot.cancel != nil {
		slot.cancel()
		slot.cancel = nil
	}
	slot.state = to
	if to == waiting && !slot.queued {
		s.enqueue(pos)
	}
}

// adjustCounts adds by, which is 1 or -1, to the counts of a state. The text of a
// ready slot must be set before the slot is added and kept until it is removed.
func (s *Step) adjustCounts(g *group, slot *slot, state sampleState, by int) {
	s.counts[state] += by
	switch state {
	case ready:
		g.ready += by
		s.readyBytes += by * len(slot.sample.Text)
	case held:
		g.held += by
	}
}

func (s *Step) enqueue(pos int) {
	i, _ := slices.BinarySearchFunc(s.pending, pos, s.compare)
	s.pending = slices.Insert(s.pending, i, pos)
	s.slots[pos].queued = true
}

// dequeue removes the first waiting slot from pending and returns its position,
// or false when no slot is waiting.
func (s *Step) dequeue() (int, bool) {
	for len(s.pending) > 0 {
		pos := s.pending[0]
		s.pending = s.pending[1:]
		s.slots[pos].queued = false
		if s.slots[pos].state == waiting {
			return pos, true
		}
	}
	return 0, false
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Hold records that the trainer holds the listed samples. Samples recorded earlier
// stay held even if they are not listed.
func (s *Step) Hold(holds wire.Holdings) error {
	for _, r := range holds {
		if r.Group < 0 || r.Group >= len(s.groups) || r.From < 0 || r.To <= r.From || r.To > s.groups[r.Group].size {
			return ErrInvalid.New("holds lists samples that are not in the step: group %d, %d to %d", r.Group, r.From, r.To)
		}
	}
	if !holds.Ordered() {
		return ErrInvalid.New("the ranges in holds must be sorted and must not overlap")
	}
	for _, r := range holds {
		for i := r.From; i < r.To; i++ {
			s.markHeld(s.groups[r.Group].first + i)
		}
	}
	return nil
}

func (s *Step) markHeld(pos int) {
	slot := &s.slots[pos]
	if slot.state == held {
		return
	}
	s.setState(pos, held)
	slot.partial = partial{}
	slot.sample = wire.Sample{}
}

// requeueLost queues the samples that the trainer held earlier and no longer lists,
// which happens when the trainer restarts from an older checkpoint.
func (s *Step) requeueLost(holds wire.Holdings) {
	if s.counts[held] == holds.Len() {
		return
	}
	for pos := range s.slots {
		if s.slots[pos].state == held && !holds.Has(s.slots[pos].id) {
			s.setState(pos, waiting)
		}
	}
}

// Complete reports whether the trainer holds all samples of the step.
func (s *Step) Complete() bool { return s.counts[held] == len(s.slots) }

// Progress returns the number of samples in each state.
func (s *Step) Progress() wire.Progress {
	return wire.Progress{
		Trainer: s.spec.Trainer, Step: s.spec.Step,
		Waiting: s.counts[waiting], Running: s.counts[running],
		Ready: s.counts[ready], Held: s.counts[held],
		Discarded: s.discarded, Complete: s.Complete(),
	}
}
