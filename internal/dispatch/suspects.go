package dispatch

import (
	"crypto/sha256"
	"strconv"
)

// Fingerprint identifies the content of a request.
type Fingerprint [16]byte

// FingerprintOf hashes the parts of a request's content.
func FingerprintOf(parts ...string) Fingerprint {
	digest := sha256.New()
	for _, part := range parts {
		digest.Write([]byte(strconv.Itoa(len(part))))
		digest.Write([]byte{':'})
		digest.Write([]byte(part))
	}
	return Fingerprint(digest.Sum(nil)[:len(Fingerprint{})])
}

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

// NoSuspects suspects nothing.
type NoSuspects struct{}

// Check implements Suspects.
func (NoSuspects) Check(Fingerprint) (bool, error) { return false, nil }

// Begin implements Suspects.
func (NoSuspects) Begin(Fingerprint, string) (func(Ending), error) { return func(Ending) {}, nil }
