package event

import "log/slog"

// Events of the bounds on callers use the numbers 8170 to 8189.
var (
	CallersTurnedAway = define(8170, "callers turned away", slog.LevelWarn, "Callers met the bound that the line names, and were refused or disconnected; the line has their number since the last one.")
	IntakeBounds      = define(8171, "bounds on callers", slog.LevelInfo, "The bounds on all callers together, as set or as they follow from the memory and the descriptors.")
)
