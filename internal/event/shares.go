package event

import "log/slog"

// Events of shares under shortage use the numbers 8200 to 8209.
var (
	ShareRefused = define(8200, "request refused for its share", slog.LevelInfo, "The service has no room for the request in the time that it has: its account has used its share and others wait (exceeded), or there is none for anybody (no_room). Nothing ran.")
)
