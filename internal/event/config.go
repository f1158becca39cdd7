package event

import "log/slog"

// Events of the configuration use the numbers 5000 to 5049.
var (
	ConfigOutcomeUnknown = define(5000, "configuration write outcome unknown", slog.LevelWarn, "The reply to a change was lost; the stored record is searched for its change identifier before the operator gets a result.")
	ConfigCorrupt        = define(5001, "configuration record corrupt", slog.LevelError, "The stored record can't be read; the last valid one stays in force. Apply a valid document.")
	ConfigStoreDown      = define(5002, "configuration store down", slog.LevelWarn, "The platform's key-value service does not answer; changes are refused, and entries exchange the documents that they have.")
	ConfigStoreReachable = define(5003, "configuration store reachable", slog.LevelInfo, "The platform's key-value service answers again.")
)
