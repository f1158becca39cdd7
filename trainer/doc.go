// Package trainer is the client that trainers use: it creates a training step,
// pulls its samples through the balancer until the step is whole, and hands
// each sample over exactly once.
package trainer

import "github.com/comfreyfront/comfreyfront/internal/step/wire"

// Types of the protocol.
type (
	// Spec is the specification of a step.
	Spec = wire.Spec
	// Group is one prompt of which Size samples are drawn.
	Group = wire.Group
	// Sample is one whole sample.
	Sample = wire.Sample
	// SampleID identifies a sample within a step.
	SampleID = wire.SampleID
	// Span is a run of tokens of one weight version.
	Span = wire.Span
	// Holdings is a compact set of samples.
	Holdings = wire.Holdings
)

// FinishRefused is the finish reason of a sample whose prompt can't be run.
const FinishRefused = wire.FinishRefused
