package event

import "log/slog"

// Events of duties use the numbers 8130 to 8139.
var (
	DutyAcquired   = define(8130, "duty acquired", slog.LevelInfo, "This node makes the calls of the duty to the management interface, after the time in which the previous holder may still call.")
	DutySuperseded = define(8131, "duty superseded", slog.LevelWarn, "The management interface has seen a later holder; this node makes no more calls with its generation.")
)
