package event

import "log/slog"

// Events of the configuration: 5000 to 5049.
var (
	ConfigOutcomeUnknown = define(5000, "configuration write outcome unknown", slog.LevelWarn, "The reply to a change was lost; its change identifier is looked for before the operator is told.")
	ConfigCorrupt        = define(5001, "configuration record corrupt", slog.LevelError, "The stored record can't be read; the last good one stays in force. Apply a good document.")
	ConfigStoreDown      = define(5002, "configuration store down", slog.LevelWarn, "The platform's key-value service does not answer; changes are refused, peers pass on what they have.")
	ConfigStoreBack      = define(5003, "configuration store back", slog.LevelInfo, "The platform's key-value service answers again.")
)
