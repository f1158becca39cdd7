// Package suspect identifies requests that crash the endpoints that run them, and
// keeps them from running again. When an endpoint dies, each request that it was
// running becomes a suspect. A suspect next runs alone on another endpoint. If that
// endpoint dies too, the request is convicted and refused at every entry. A completed
// run clears a suspect.
package suspect

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/peer/peerpb"
)

// FingerprintSize is the size of a Fingerprint in bytes.
const FingerprintSize = 16

// Fingerprint is a hash that identifies equal requests; see FingerprintOf.
type Fingerprint [FingerprintSize]byte

// FingerprintOf hashes the class of a request, its model or application, and its
// body.
func FingerprintOf(class, serves string, body []byte) Fingerprint {
	digest := sha256.New()
	for _, part := range [][]byte{[]byte(class), []byte(serves), body} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		digest.Write(length[:])
		digest.Write(part)
	}
	return Fingerprint(digest.Sum(nil)[:FingerprintSize])
}

// Standing is the status of a request with regard to endpoint crashes.
type Standing int

// Values of Standing.
const (
	// Clear is the standing of a request that is neither suspected nor convicted.
	Clear Standing = iota
	// Suspected is the standing of a request that was running on an endpoint when the
	// endpoint died.
	Suspected
	// Convicted is the standing of a request that crashes endpoints.
	Convicted
)

// Reason is the reason why a request may not run.
type Reason string

// Values of Reason.
const (
	// ReasonConvicted applies to a convicted request: endpoints died while they ran it,
	// the last one while the request ran alone.
	ReasonConvicted Reason = "the request crashes the endpoints that run it"
	// ReasonSameEndpoint applies to an endpoint that died while it ran the request;
	// another endpoint may be used.
	ReasonSameEndpoint Reason = "the endpoint died while the request ran on it"
	// ReasonRunning applies to a suspect that is already running somewhere in the
	// fleet, or whose endpoint another suspect uses.
	ReasonRunning Reason = "the request is suspected of crashing endpoints and runs elsewhere"
)

// label returns the value of the reason label in metrics.
func (r Reason) label() string {
	switch r {
	case ReasonConvicted:
		return "convicted"
	case ReasonSameEndpoint:
		return "same_endpoint"
	}
	return "running"
}

// Admission is the decision that Begin returns.
type Admission struct {
	Allowed bool
	// RunAlone requires that this entry sends the endpoint no other request during the run.
	RunAlone bool
	// Reason is set if Allowed is false; the request then did not run.
	Reason Reason
}

// Result is the outcome of a run.
type Result int

// Values of Result.
const (
	// Other is the result of an inconclusive run, for example a cancelled one.
	Other Result = iota
	// Survived is the result of a run with a complete answer.
	Survived
	// EndpointDied is the result of a run during which the endpoint died.
	EndpointDied
)

// Exclusive ensures that a suspect has at most one run at a time in the whole fleet,
// and that at most one suspect runs on an endpoint.
type Exclusive interface {
	// Acquire returns a release function to call with the result. It returns an error
	// if the suspect runs elsewhere, another suspect runs on the endpoint, or it cannot
	// be determined whether one of them does.
	Acquire(ctx context.Context, fingerprint Fingerprint, endpoint string) (release func(Result), err error)
}

// Rule determines when the death of an endpoint convicts a request.
type Rule int

// Values of Rule.
const (
	// SecondAlone convicts at the death of a second endpoint if the request ran alone
	// on it.
	SecondAlone Rule = iota
	// SecondAny convicts at the death of a second endpoint.
	SecondAny
	// SecondAloneOrThird convicts like SecondAlone, and at the death of a third
	// endpoint.
	SecondAloneOrThird
)

// Numbers of dead endpoints that convict a request. deathsToConvictRegardless applies
// whether or not the request ran alone.
const (
	deathsToConvict           = 2
	deathsToConvictRegardless = 3
)

func (r Rule) convicts(deaths int, ranAlone bool) bool {
	switch r {
	case SecondAny:
		return deaths >= deathsToConvict
	case SecondAloneOrThird:
		return ranAlone && deaths >= deathsToConvict || deaths >= deathsToConvictRegardless
	default:
		return ranAlone && deaths >= deathsToConvict
	}
}

// Defaults of Options.
const (
	DefaultLimit         = 10_000
	DefaultSuspicionAge  = time.Hour
	DefaultConvictionAge = 24 * time.Hour
)

// Options configures a Registry. Zero values select the defaults.
type Options struct {
	// Limit is the maximum number of suspected and convicted requests.
	Limit int
	// SuspicionAge is the time after the last death at which a suspicion ends.
	SuspicionAge time.Duration
	// ConvictionAge is the time after the last death at which a conviction ends.
	ConvictionAge time.Duration
	Rule          Rule
	// Spread sends rows to all entries at once and returns when they have merged them
	// or a timeout expires. If it is nil, rows spread only through News. It is called
	// at each death before done returns. A caller gets its error only afterwards, so
	// its retry does not reach an entry that does not know of the death.
	Spread func([]*peerpb.Suspect)
	// Exclusive may be nil; a suspect then has at most one run at a time per entry.
	Exclusive Exclusive
	// Now reads the clock; it defaults to time.Now.
	Now func() time.Time
}

func (o Options) withDefaults() Options {
	if o.Limit <= 0 {
		o.Limit = DefaultLimit
	}
	if o.SuspicionAge <= 0 {
		o.SuspicionAge = DefaultSuspicionAge
	}
	if o.ConvictionAge <= 0 {
		o.ConvictionAge = DefaultConvictionAge
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return o
}
