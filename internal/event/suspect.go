package event

import "log/slog"

// Events of requests that crash endpoints use the numbers 2200 to 2299.
var (
	RequestSuspected = define(2200, "request suspected", slog.LevelWarn, "An endpoint died while it ran this request; it is next run on an endpoint that runs nothing else for this entry.")
	RequestConvicted = define(2201, "request convicted", slog.LevelError, "Two endpoints died while they ran this request, the second one while running nothing else; it is refused at every entry. Find its caller.")
	SuspectRunsAlone = define(2202, "suspect runs alone", slog.LevelInfo, "A suspected request runs again, on an endpoint that runs nothing else for this entry.")
)
