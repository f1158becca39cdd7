package event

import "log/slog"

// Events of requests sent to endpoints use the numbers 1100 to 1199.
var (
	RequestRetried  = define(1100, "request retried", slog.LevelInfo, "A call to an endpoint failed and the request goes to another one; many of these indicate a faulty endpoint or network path.")
	RequestHedged   = define(1101, "request hedged", slog.LevelDebug, "A call took longer than most and a second one was sent in parallel.")
	RequestRefused  = define(1102, "request refused", slog.LevelInfo, "A request was answered as not run; the line gives the reason.")
	RequestUnknown  = define(1103, "request outcome unknown", slog.LevelWarn, "A request may have run but no complete answer was returned; the answer to the caller says so.")
	HandlerPanicked = define(1104, "handler panicked", slog.LevelError, "A programming error; the request was aborted. Please report it with the line.")
	SettleFailed    = define(1105, "claim not settled", slog.LevelWarn, "The outcome of a keyed request could not be recorded; a repeat of it gets the answer that the outcome is unknown.")
)
