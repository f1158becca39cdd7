package step

import (
	"context"
	"slices"

	"github.com/comfreyfront/comfreyfront/internal/step/wire"
)

// sampleState is where a sample is on its way to the trainer.
type sampleState uint8

const (
	waiting sampleState = iota
	running
	ready // whole, not known to be held by the trainer
	held  // the trainer said that it holds it
)

// slot is one sample of a step.
type slot struct {
	id      wire.SampleID
	state   sampleState
	queued  bool // its position is in pending, perhaps left over
	attempt int  // rises with each start, so that late results are told apart
	cancel  context.CancelFunc
	pace    pace // of the running attempt
	moves   int
	partial partial
	sample  wire.Sample
}

// partial is the growing beginning of a sample.
type partial struct {
	text   []byte
	tokens int
	spans  []wire.Span
}

// group counts the samples of one prompt.
type group struct {
	first, size, ready, held int
}

// whole reports whether the trainer can hold the group once it has what is ready.
func (g *group) whole() bool { return g.ready > 0 && g.ready+g.held == g.size }

// Step is one training step: what is asked for, what is ready, what the
// trainer holds. It is not safe for concurrent use.
type Step struct {
	spec   wire.Spec
	digest digest
	order  Order
	slots  []slot
	groups []group
	// pending holds the positions of waiting slots in starting order, and of
	// some that wait no more.
	pending []int
	// reference is the version against which staleness is judged.
	reference int64
	counts    [held + 1]int
	readyText int // bytes of text of ready samples
	whole     int // groups for which whole() holds
	discarded int64
	usualPace float64 // of finished samples, in tokens a second; zero is not known
	observe   Observer
	delivery  delivery
}

// Observer is told of what a step throws away and delivers. Versions are how
// far behind the reference the oldest tokens were.
type Observer interface {
	// Discarded: whole is not set for the beginning of a sample.
	Discarded(versions int64, whole bool)
	Delivered(versions int64)
}

// New returns a step of which the trainer holds some samples already.
func New(spec wire.Spec, holds wire.Holdings, order Order, observe Observer) (*Step, error) {
	if err := validate(&spec); err != nil {
		return nil, err
	}
	s := &Step{spec: spec, digest: digestOf(&spec), order: order, observe: observe, reference: spec.WeightVersion}
	s.layOut()
	if err := s.Hold(holds); err != nil {
		return nil, err
	}
	return s, nil
}

// layOut makes one slot for each sample, all waiting.
func (s *Step) layOut() {
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

func (s *Step) candidate(at int) Candidate {
	slot := &s.slots[at]
	spec := s.spec.Groups[slot.id.Group]
	return Candidate{ID: slot.id, MaxTokens: spec.MaxTokens, GroupSize: spec.Size, Attempts: slot.attempt}
}

// move changes the state of a slot and keeps all counts.
func (s *Step) move(at int, to sampleState) {
	slot := &s.slots[at]
	if slot.state == to {
		return
	}
	g := &s.groups[slot.id.Group]
	wasWhole := g.whole()
	s.count(g, slot, slot.state, -1)
	s.count(g, slot, to, +1)
	s.whole += btoi(g.whole()) - btoi(wasWhole)
	if slot.cancel != nil {
		slot.cancel()
		slot.cancel = nil
	}
	slot.state = to
	if to == waiting && !slot.queued {
		s.enqueue(at)
	}
}

// count adds a slot to the counts of a state, or takes it out. The text of a
// ready slot must be set before it is added and until it is taken out.
func (s *Step) count(g *group, slot *slot, state sampleState, by int) {
	s.counts[state] += by
	switch state {
	case ready:
		g.ready += by
		s.readyText += by * len(slot.sample.Text)
	case held:
		g.held += by
	}
}

func (s *Step) enqueue(at int) {
	i, _ := slices.BinarySearchFunc(s.pending, at, s.compare)
	s.pending = slices.Insert(s.pending, i, at)
	s.slots[at].queued = true
}

// dequeue takes the first waiting slot out of pending; false when none waits.
func (s *Step) dequeue() (int, bool) {
	for len(s.pending) > 0 {
		at := s.pending[0]
		s.pending = s.pending[1:]
		s.slots[at].queued = false
		if s.slots[at].state == waiting {
			return at, true
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

// Hold records that the trainer holds samples. It never forgets one.
func (s *Step) Hold(holds wire.Holdings) error {
	for _, r := range holds {
		if r.Group < 0 || r.Group >= len(s.groups) || r.From < 0 || r.To <= r.From || r.To > s.groups[r.Group].size {
			return ErrInvalid.New("holds names samples that the step does not have: group %d, %d to %d", r.Group, r.From, r.To)
		}
	}
	if !holds.Ordered() {
		return ErrInvalid.New("the ranges of holds must be in order and not overlap")
	}
	for _, r := range holds {
		for i := r.From; i < r.To; i++ {
			s.hold(s.groups[r.Group].first + i)
		}
	}
	return nil
}

func (s *Step) hold(at int) {
	slot := &s.slots[at]
	if slot.state == held {
		return
	}
	s.move(at, held)
	slot.partial = partial{}
	slot.sample = wire.Sample{}
}

// forget starts again what the trainer once held and holds no more: it was
// restarted from an older state.
func (s *Step) forget(holds wire.Holdings) {
	if s.counts[held] == holds.Len() {
		return
	}
	for at := range s.slots {
		if s.slots[at].state == held && !holds.Has(s.slots[at].id) {
			s.move(at, waiting)
		}
	}
}

// Complete reports whether the trainer holds all samples.
func (s *Step) Complete() bool { return s.counts[held] == len(s.slots) }

// Progress counts the samples by state.
func (s *Step) Progress() wire.Progress {
	return wire.Progress{
		Trainer: s.spec.Trainer, Step: s.spec.Step,
		Waiting: s.counts[waiting], Running: s.counts[running],
		Ready: s.counts[ready], Held: s.counts[held],
		Discarded: s.discarded, Complete: s.Complete(),
	}
}
