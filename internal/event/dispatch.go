package event

import "log/slog"

// Events of sending requests to endpoints: 1100 to 1199.
var (
	RequestRetried  = define(1100, "request retried", slog.LevelInfo, "A call to an endpoint failed and the request goes to another one; many of these point at an endpoint or a link.")
	RequestHedged   = define(1101, "request hedged", slog.LevelDebug, "A call took longer than most and a second one was made beside it.")
	RequestRefused  = define(1102, "request refused", slog.LevelInfo, "A request was answered as not run; the reason is in the line.")
	RequestUnknown  = define(1103, "request outcome unknown", slog.LevelWarn, "A request may have run and no whole answer was given; the caller was told so.")
	HandlerPanicked = define(1104, "handler panicked", slog.LevelError, "A fault of the program; the request was cut off. Please report it with the line.")
	SettleFailed    = define(1105, "claim not settled", slog.LevelWarn, "How a keyed request ended could not be recorded; a repeat of it will be told that the outcome is unknown.")
)
