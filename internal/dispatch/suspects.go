package dispatch

// Fingerprint identifies the content of a request.
type Fingerprint [16]byte

// Ending is how a request ended at an endpoint, as far as it matters for
// finding requests that crash endpoints.
type Ending int

// Endings.
const (
	// EndingSurvived: the endpoint outlived the request.
	EndingSurvived Ending = iota
	// EndingDied: the connection broke while the endpoint ran it.
	EndingDied
	// EndingOther: nothing can be told.
	EndingOther
)

// Suspects finds requests that crash endpoints.
type Suspects interface {
	// Check fails with request.ErrSuspect when the request is convicted, and
	// reports whether it must run alone.
	Check(fingerprint Fingerprint) (alone bool, err error)
	// Begin is called before the request is sent to an endpoint; the returned
	// function is called once, when it has ended there. It fails with
	// request.ErrSuspect, or a retryable error while a suspect may not run.
	Begin(fingerprint Fingerprint, endpointID string) (func(Ending), error)
}

// endingOf turns a verdict into an ending.
func endingOf(v verdict) Ending {
	switch v {
	case verdictWhole, verdictRejected:
		return EndingSurvived
	case verdictBroken:
		return EndingDied
	default:
		return EndingOther
	}
}
