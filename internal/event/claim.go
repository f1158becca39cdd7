package event

import "log/slog"

// Events of at-most-once claims use the numbers 2100 to 2199.
var (
	PartitionOpened  = define(2100, "claim partition opened", slog.LevelInfo, "This entry has read back the claim window and now decides the claims of the partition.")
	PartitionClosed  = define(2101, "claim partition closed", slog.LevelInfo, "This entry no longer decides the claims of the partition.")
	PartitionStalled = define(2102, "claim partition stalled", slog.LevelWarn, "Claims of the partition are refused as not run until the platform's key-value service accepts a write again.")
	PartitionResumed = define(2103, "claim partition resumed", slog.LevelInfo, "Claims of the partition are accepted again.")
	PartitionRefused = define(2104, "claim partition not opened", slog.LevelWarn, "The partition could not be taken over; its claims are refused as not run until it can.")
	ClaimWithdrawn   = define(2105, "claim withdrawn", slog.LevelWarn, "The owner's reply to a claim did not arrive; the request was not run, and a request to release the key was sent to the owner.")
)
