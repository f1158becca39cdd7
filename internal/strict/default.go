package strict

import (
	"net/http"
	"time"
)

// Limits of DefaultTransport.
const (
	defaultIdleConns        = 100
	defaultIdleTimeout      = 90 * time.Second
	defaultHandshakeTimeout = 10 * time.Second
)

// DefaultTransport is the transport of programs that call the service, with usual settings.
var DefaultTransport = NewTransport(&http.Transport{
	Proxy:               http.ProxyFromEnvironment,
	ForceAttemptHTTP2:   true, // over TLS
	MaxIdleConns:        defaultIdleConns,
	IdleConnTimeout:     defaultIdleTimeout,
	TLSHandshakeTimeout: defaultHandshakeTimeout,
})
