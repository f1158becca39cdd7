package event

import "log/slog"

// Events of orders for endpoints use the numbers 8150 to 8169.
var (
	EndpointsOrdered      = define(8150, "endpoints ordered", slog.LevelInfo, "The platform accepted an order for endpoints of a service; the line contains the number wanted and why.")
	EndpointsRefused      = define(8151, "endpoints refused", slog.LevelWarn, "The platform has no more endpoints of this kind in the failure domain now; another domain or kind is asked instead.")
	EndpointsOrderUnknown = define(8152, "endpoints order not confirmed", slog.LevelWarn, "An order for endpoints got no answer and may take effect later; the newest order is repeated until it is confirmed.")
	EndpointsOrderDelayed = define(8153, "endpoints order delayed", slog.LevelInfo, "An order for endpoints was not made, because of the rate limit or because the platform was not reached; it is made later.")
	EndpointsNotCome      = define(8154, "ordered endpoints did not come", slog.LevelWarn, "Ordered endpoints did not appear in time, or were reclaimed; another domain or kind is asked instead.")
	EndpointReclaimed     = define(8155, "endpoint reclaimed", slog.LevelInfo, "The endpoint leaves at the given time; runs that cannot finish there are moved.")
)
