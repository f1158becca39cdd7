package event

import "log/slog"

// Events of weight rollouts: 3100 to 3199.
var (
	RolloutAccepted   = define(3100, "rollout accepted", slog.LevelInfo, "A new weight version was accepted for a model; owners in each failure domain carry it out.")
	RolloutStarted      = define(3101, "rollout begun", slog.LevelInfo, "This entry carries the version out in one failure domain.")
	RolloutStaged     = define(3102, "rollout staged", slog.LevelInfo, "The failure domain's replicas hold the version ready; activation waits for the other domains.")
	RolloutActive     = define(3103, "rollout active", slog.LevelInfo, "The failure domain's replicas were read back at the version.")
	RolloutIncomplete = define(3104, "rollout incomplete", slog.LevelWarn, "Some replicas are not at the version yet; they are tried again. Look at those named if it lasts.")
	RolloutLost       = define(3105, "rollout handed over", slog.LevelWarn, "The lease of a rollout was lost; another entry goes on from what the engines report.")
	RolloutSuperseded = define(3106, "rollout superseded", slog.LevelInfo, "A newer version was accepted midway; this one is dropped.")
	RolloutBarrierExpired  = define(3107, "rollout not waiting", slog.LevelWarn, "A failure domain did not report its replicas staged in time; the others activate without it.")
	ReplicaBroken     = define(3108, "replica broken", slog.LevelWarn, "A weight swap failed partway; the replica gets no work until it is read back at the version.")
	ReplicaRestored     = define(3109, "replica mended", slog.LevelInfo, "The replica was read back at the version and gets work again.")
	RolloutStoreBad   = define(3110, "rollout waits for the platform", slog.LevelWarn, "The platform's key-value service cannot confirm the rollout's owner or readiness; nothing is ordered meanwhile.")
)
