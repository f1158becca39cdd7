package engine

import (
	"context"
	"time"
)

// Defaults of Options.
const (
	DefaultSlots           = 8
	DefaultStepBase        = 10 * time.Millisecond
	DefaultStepPerSequence = time.Millisecond
	DefaultPrefillPerChar  = 20 * time.Microsecond
	DefaultCacheBlocks     = 4096
)

// Options configure a Server. Model is required; the zero value of a field with a
// default selects the default.
type Options struct {
	// Model is the name of the model that the engine serves.
	Model string
	// Slots is the maximum number of running sequences.
	Slots int
	// StepBase is the fixed part of a step's duration, and StepPerSequence the part
	// per running sequence. A step generates one token for each sequence.
	StepBase, StepPerSequence time.Duration
	// PrefillPerChar is added to the duration of the step that starts a sequence,
	// for each character of its prompt that is not in the prefix cache.
	PrefillPerChar time.Duration
	// CacheBlocks is the capacity of the prefix cache, in blocks of BlockChars
	// characters.
	CacheBlocks int
	// ReportLag is the age of load reports.
	ReportLag time.Duration
	// ChecksFence makes the engine refuse orders with an old fencing number.
	ChecksFence bool
	// Version is the initially active weight version.
	Version int64
	// StageTime is the time to stage a version, in addition to FetchWeights.
	StageTime time.Duration
	// ActivateTime is the time for which generation stops to swap versions.
	ActivateTime time.Duration
	// FetchWeights, if set, loads a version from the weight store.
	FetchWeights func(ctx context.Context, version int64) error
	// TimeScale multiplies all durations above; 1 if zero. Smaller values make the
	// engine faster.
	TimeScale float64
	// JournalFile, if set, is the path of a file to which the journal is appended
	// as JSON lines.
	JournalFile string
	// OnCrash is called when a request crashes the engine, and should end the
	// process. If nil, the server closes all connections without a response until
	// Restart.
	OnCrash func()
}

func (o Options) withDefaults() Options {
	if o.Slots == 0 {
		o.Slots = DefaultSlots
	}
	if o.StepBase == 0 {
		o.StepBase = DefaultStepBase
	}
	if o.StepPerSequence == 0 {
		o.StepPerSequence = DefaultStepPerSequence
	}
	if o.PrefillPerChar == 0 {
		o.PrefillPerChar = DefaultPrefillPerChar
	}
	if o.CacheBlocks == 0 {
		o.CacheBlocks = DefaultCacheBlocks
	}
	if o.TimeScale == 0 {
		o.TimeScale = 1
	}
	return o
}

func (o Options) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) * o.TimeScale)
}
