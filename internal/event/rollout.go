package event

import "log/slog"

// Events of weight rollouts use the numbers 3100 to 3199.
var (
	RolloutAccepted         = define(3100, "rollout accepted", slog.LevelInfo, "A new weight version was accepted for a model; the owner in each failure domain rolls it out.")
	RolloutStarted          = define(3101, "rollout started", slog.LevelInfo, "This entry rolls out the version in one failure domain.")
	RolloutStaged           = define(3102, "rollout staged", slog.LevelInfo, "The failure domain's replicas have staged the version; activation waits for the other domains.")
	RolloutActive           = define(3103, "rollout active", slog.LevelInfo, "The failure domain's replicas were read back at the version.")
	RolloutIncomplete       = define(3104, "rollout incomplete", slog.LevelWarn, "Some replicas are not at the version yet; they are retried. Check the named replicas if it persists.")
	RolloutLost             = define(3105, "rollout handed over", slog.LevelWarn, "The lease of a rollout was lost; another entry continues from what the engines report.")
	RolloutSuperseded       = define(3106, "rollout superseded", slog.LevelInfo, "A newer version was accepted during the rollout; this one is dropped.")
	RolloutBarrierExpired   = define(3107, "rollout barrier expired", slog.LevelWarn, "A failure domain did not report its replicas staged in time; the others activate without it.")
	ReplicaBroken           = define(3108, "replica broken", slog.LevelWarn, "A weight swap failed midway; the replica gets no work until it is read back at the version.")
	ReplicaRestored         = define(3109, "replica restored", slog.LevelInfo, "The replica was read back at the version and gets work again.")
	RolloutStoreUnavailable = define(3110, "rollout waits for the platform", slog.LevelWarn, "The platform's key-value service cannot confirm the rollout's owner or readiness; no orders are sent meanwhile.")
)
