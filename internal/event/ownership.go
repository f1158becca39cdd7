package event

import "log/slog"

// Events of ownership and leases: 2000 to 2099.
var (
	TenureTaken    = define(2000, "tenure taken", slog.LevelInfo, "This entry owns the unit from now on, with the epoch as fencing number.")
	TenureReleased = define(2001, "tenure released", slog.LevelInfo, "This entry gave the unit up; another one may take it at once.")
	TenuresLost    = define(2002, "tenures lost", slog.LevelWarn, "The lease ended or could not be renewed in time; its units move to other entries. Look at the platform's key-value service and at pauses of this instance.")
	OwnerDeposed  = define(2003, "holder deposed", slog.LevelWarn, "The holder of the unit is taken for dead by the exchange and its lease still stood; this entry takes the unit over. If the holder lives, the platform's service refuses its writes.")
)
