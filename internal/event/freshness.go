package event

import "log/slog"

// Events of the certainty that the configuration in force is the newest.
var (
	KeysUncertain = define(8120, "keys not certain", slog.LevelWarn, "Neither the store nor a peer has confirmed the configuration for so long that a key may have been withdrawn; requests with a key are refused until it is confirmed. age_ms is how old the last confirmation is. Check this node's connections to the store and to its peers.")
	KeysCertain   = define(8121, "keys certain", slog.LevelInfo, "The configuration is confirmed; requests with a key are accepted.")
)
