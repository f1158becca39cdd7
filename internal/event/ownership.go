package event

import "log/slog"

// Events of ownership and leases use the numbers 2000 to 2099.
var (
	TenureAcquired = define(2000, "tenure acquired", slog.LevelInfo, "This entry owns the unit from now on, with the epoch as fencing number.")
	TenureReleased = define(2001, "tenure released", slog.LevelInfo, "This entry released the unit; another one may acquire it at once.")
	TenuresLost    = define(2002, "tenures lost", slog.LevelWarn, "The lease ended or could not be renewed in time; its units move to other entries. Check the platform's key-value service and look for pauses of this instance.")
	OwnerDeposed   = define(2003, "owner deposed", slog.LevelWarn, "The exchange considers the owner of the unit dead while its lease is still valid; this entry takes the unit over. If the owner is alive, the platform's service refuses its writes.")
)
