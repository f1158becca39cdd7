package event

import "log/slog"

// Events of client accounts use the numbers 8100 to 8119.
var (
	KeyRefused        = define(8100, "request refused for its key", slog.LevelInfo, "The request has no key, or one that belongs to no account; or this node cannot be sure which keys are valid (uncertain), and the caller may retry elsewhere. Nothing ran.")
	SubmissionOfOther = define(8101, "submission of another account", slog.LevelInfo, "A caller named a submission that belongs to another account; the caller was told that it does not exist, or that its ID is in use.")
)
