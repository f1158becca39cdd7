package event

import "log/slog"

// Events of training steps use the numbers 3000 to 3099.
var (
	StepAcquired      = define(3000, "step acquired", slog.LevelInfo, "This entry owns the step from now on and generates its samples.")
	StepComplete      = define(3001, "step complete", slog.LevelInfo, "The trainer has received all samples of the step.")
	StepLost          = define(3002, "step lost", slog.LevelWarn, "Another entry owns the step now; this one stopped its work on it.")
	StepCancelled     = define(3003, "step cancelled", slog.LevelInfo, "The trainer cancelled the step.")
	StepAbandoned     = define(3004, "step abandoned", slog.LevelWarn, "The trainer has not pulled for a long time; the step was dropped. A pull restores it.")
	StepIdle          = define(3005, "step idle", slog.LevelInfo, "The trainer has not pulled recently; no further samples are started until it does.")
	StepUnleased      = define(3006, "step without lease", slog.LevelWarn, "The platform's service cannot confirm the ownership, or the lease of a dead owner is still valid; the step continues, since the trainer's own record decides what is delivered.")
	SampleRefused     = define(3007, "sample refused", slog.LevelWarn, "An endpoint or the entry permanently refused the sample's prompt; the trainer gets the sample without text.")
	SampleRetried     = define(3008, "sample retried", slog.LevelDebug, "A generation failed and is retried with the tokens generated so far.")
	StepPastDeadline  = define(3009, "step past deadline", slog.LevelWarn, "The step's deadline has passed and none of its samples finished for minutes; it is reported to its trainer as failed.")
	StepForwardFailed = define(3010, "step call not forwarded", slog.LevelWarn, "No entry that could own the step was reached; the trainer must retry.")
	StepNotHandedOver = define(3011, "step not handed over", slog.LevelWarn, "No other entry accepted the step from this leaving one; its trainer restores it, and samples that were not pulled are generated again.")
	StragglersMoved   = define(3012, "stragglers moved", slog.LevelInfo, "At the end of a step, samples that were generated far slower than usual continue elsewhere with the tokens generated so far.")
)
