package event

import "log/slog"

// Events of the process itself use the numbers 1000 to 1099.
var (
	EntryStarted     = define(1000, "entry started", slog.LevelInfo, "The process serves; the line contains its settings.")
	EntryDraining    = define(1001, "entry draining", slog.LevelInfo, "SIGTERM was received; readiness fails and work in flight is finished.")
	RolloutsUnread   = define(1004, "accepted rollouts not read", slog.LevelWarn, "The platform's service did not return the accepted weight rollouts at startup; peers may report them, and the read is retried.")
	HandOverFailed   = define(1005, "handover failed", slog.LevelWarn, "The platform's service did not accept the release of what the entry owned; other entries take over when its lease expires.")
	EntryWorkAborted = define(1003, "shutdown aborted work", slog.LevelError, "Work in flight was not finished within --shutdown-timeout; raise it.")
	EntryStopped     = define(1002, "entry stopped", slog.LevelInfo, "All work in flight was finished; the process exits.")
)
