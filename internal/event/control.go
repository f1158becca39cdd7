package event

import "log/slog"

// Events of the control goroutine and the exchange use the numbers 5050 to 5149.
var (
	ConfigInForce     = define(5050, "configuration in force", slog.LevelInfo, "A newer class document is in force on this entry; the line gives its source.")
	ConfigStoreBehind = define(5051, "configuration store behind", slog.LevelError, "The platform's service stores an older class document than the entries have; the newer document stays in force. Apply it again.")
	ClockGap          = define(5052, "clock gap", slog.LevelWarn, "The process was suspended for a while; it requests updates from peers before it trusts its class document.")
	ExchangeInvalid   = define(5053, "peer update invalid", slog.LevelWarn, "An update from a peer exceeded a limit or contained an unreadable document and was rejected.")
	EndpointLeaving   = define(5054, "endpoint leaving", slog.LevelInfo, "The endpoint is reported as leaving and gets no new work.")
	EndpointUnready   = define(5055, "endpoint unready", slog.LevelWarn, "The endpoint does not answer or serves nothing at present, and gets no new work.")
	EndpointReady     = define(5056, "endpoint ready", slog.LevelInfo, "The endpoint answers again and gets work.")
	EndpointRemoved   = define(5057, "endpoint removed", slog.LevelInfo, "The endpoint is no longer on the instance list, and it is leaving, unresponsive or not followed by this entry.")
	EndpointDemoted   = define(5058, "endpoint demoted", slog.LevelWarn, "The endpoint is slower than its peers and gets less work until it recovers.")
	EndpointRestored  = define(5059, "endpoint restored", slog.LevelInfo, "The endpoint is as fast as its peers again and gets its full fraction of the work.")
	EntryIsolated     = define(5060, "entry isolated", slog.LevelError, "Neither the platform's service nor a peer answers; the entry serves what is safe and can't confirm its classes.")
	EntryConnected    = define(5061, "entry connected", slog.LevelInfo, "The platform's service or a peer answers again.")
	ListUnreachable   = define(5062, "instance list unreachable", slog.LevelWarn, "The list of instances can't be read; the known endpoints are kept.")
	ListReachable     = define(5063, "instance list reachable", slog.LevelInfo, "The list of instances can be read again.")
)
