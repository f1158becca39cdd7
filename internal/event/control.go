package event

import "log/slog"

// Events of the control goroutine and the exchange: 5050 to 5149.
var (
	ConfigInForce     = define(5050, "configuration in force", slog.LevelInfo, "A newer class document is in force on this entry; the line says by whose word.")
	ConfigStoreBehind = define(5051, "configuration store behind", slog.LevelError, "The platform's service holds an older class document than the entries; the newer one stays in force. Apply it again.")
	ClockGap          = define(5052, "clock gap", slog.LevelWarn, "The process stood still; it asks peers for news before it trusts its class document.")
	ExchangeInvalid   = define(5053, "peer news invalid", slog.LevelWarn, "News of a peer broke a bound or held an unreadable document and was not taken.")
	EndpointLeaving   = define(5054, "endpoint leaving", slog.LevelInfo, "The endpoint gets no new work; the line says by whose word.")
	EndpointUnready   = define(5055, "endpoint unready", slog.LevelWarn, "The endpoint does not answer or serves nothing now, and gets no new work.")
	EndpointReady     = define(5056, "endpoint ready", slog.LevelInfo, "The endpoint answers again and gets work.")
	EndpointForgotten = define(5057, "endpoint forgotten", slog.LevelInfo, "The endpoint is off the list and gone by its own word or silence.")
	EndpointDemoted   = define(5058, "endpoint demoted", slog.LevelWarn, "The endpoint is slower than its peers and gets less work until it recovers.")
	EndpointRestored  = define(5059, "endpoint restored", slog.LevelInfo, "The endpoint is as fast as its peers again and gets its full share of work.")
	EntryIsolated     = define(5060, "entry isolated", slog.LevelError, "Neither the platform's service nor a peer answers; the entry serves what is safe and can't confirm its classes.")
	EntryConnected    = define(5061, "entry connected", slog.LevelInfo, "The platform's service or a peer answers again.")
	ListUnreachable   = define(5062, "instance list unreachable", slog.LevelWarn, "The list of instances can't be read; endpoints stay as they are.")
	ListBack          = define(5063, "instance list back", slog.LevelInfo, "The list of instances can be read again.")
)
