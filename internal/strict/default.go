package strict

import "net/http"

// DefaultTransport is the transport of programs that call the service, with the settings of
// http.DefaultTransport.
var DefaultTransport = NewTransport(http.DefaultTransport.(*http.Transport).Clone())
