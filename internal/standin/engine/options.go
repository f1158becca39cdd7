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

// Options of a Server. Model is required; other zero values take the defaults.
type Options struct {
	// Model is the model that it serves.
	Model string
	// Slots is the number of sequences that run at once.
	Slots int
	// StepBase is the time of a step, and StepPerSequence what each running
	// sequence adds. A step makes one token of each.
	StepBase, StepPerSequence time.Duration
	// PrefillPerChar is added to the step that starts a sequence for each
	// character of its prompt that is not in the prefix cache.
	PrefillPerChar time.Duration
	// CacheBlocks is the size of the prefix cache, in blocks of BlockChars.
	CacheBlocks int
	// ReportLag is the age of load reports.
	ReportLag time.Duration
	// ChecksFence: orders with an old fencing number are refused.
	ChecksFence bool
	// Version is the weight version that is active at the start.
	Version int64
	// StageTime is the time to stage a version, FetchWeights aside.
	StageTime time.Duration
	// ActivateTime is how long the engine stands still to swap versions.
	ActivateTime time.Duration
	// FetchWeights, if set, loads a version from the weight store.
	FetchWeights func(ctx context.Context, version int64) error
	// TimeScale multiplies all times above; 1 if zero. Smaller is faster.
	TimeScale float64
	// JournalFile, if set, gets the journal as JSON lines.
	JournalFile string
	// OnCrash is called when a request crashes the engine, and should end the
	// process. If nil, the server plays dead until Restart.
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
