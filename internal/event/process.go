package event

import "log/slog"

// Events of the process itself: 1000 to 1099.
var (
	EntryStarted   = define(1000, "entry started", slog.LevelInfo, "The process serves; its settings are in the line.")
	EntryDraining  = define(1001, "entry draining", slog.LevelInfo, "SIGTERM came; readiness fails and work in flight is finished.")
	RolloutsUnread = define(1004, "accepted rollouts not read", slog.LevelWarn, "The platform's service did not tell the accepted weight rollouts at the start; peers may tell them, and it is tried again.")
	HandOverFailed = define(1005, "hand-over failed", slog.LevelWarn, "The platform's service did not take back what the entry owned; other entries take over when its lease lapses.")
	EntryCutOff    = define(1003, "shutdown cut work off", slog.LevelError, "Work in flight was not finished within --shutdown-timeout; raise it.")
	EntryStopped   = define(1002, "entry stopped", slog.LevelInfo, "Everything in flight was finished; the process exits.")
)
