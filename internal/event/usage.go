package event

import "log/slog"

// Events of the usage of accounts use the numbers 8140 to 8149.
var (
	UsageReported       = define(8140, "usage reported", slog.LevelInfo, "The usage of a window was reported; requests is the sum over all accounts.")
	UsageNotReported    = define(8141, "usage not reported", slog.LevelWarn, "The management interface did not confirm a report; the same report is sent again.")
	UsageNotFixed       = define(8142, "usage not fixed", slog.LevelWarn, "The metadata store did not confirm the record of a report, which is written before the report is sent; the write is retried.")
	UsageNotPassedOn    = define(8143, "usage not passed on", slog.LevelInfo, "The holder of the usage reports, or the node that would take over from it, did not accept the counts of this node; they are sent again.")
	UsageRefused        = define(8144, "usage refused", slog.LevelError, "The management interface refused the report of a window permanently; the next window follows. Compare the window with the interface's own view.")
	UsageWindowsOmitted = define(8145, "usage windows omitted", slog.LevelWarn, "No node reported usage for a long time; the oldest windows are not reported any more.")
	UsageNotRead        = define(8146, "usage not read", slog.LevelInfo, "The newest usage report could not be read for an operator's page; there is none yet, or the metadata store does not answer.")
)
