// Package suspect finds the requests that crash the endpoints that run them,
// and keeps them from running again. The death of an endpoint makes each
// request that it was running a suspect. A suspect runs next alone, on another
// endpoint; if that one dies too the request is convicted and refused at every
// entry. A run to its end clears a suspect.
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

// Fingerprint is a hash of what a request asks for.
type Fingerprint [FingerprintSize]byte

// FingerprintOf hashes a request's class, the model or application that it is
// for, and its body.
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

// Standing is what is held against a request.
type Standing int

// The standings.
const (
	// Clear: nothing is held against it.
	Clear Standing = iota
	// Suspected: an endpoint died while it ran.
	Suspected
	// Convicted: it crashes endpoints.
	Convicted
)

// Reason says why a request may not run.
type Reason string

// The reasons.
const (
	// ReasonConvicted: it was running on endpoints that died, on the last one
	// alone.
	ReasonConvicted Reason = "the request crashes the endpoints that run it"
	// ReasonSameEndpoint: the endpoint died of it or beside it; choose another.
	ReasonSameEndpoint Reason = "the endpoint died while the request ran on it"
	// ReasonRunning: a suspect runs once at a time in the whole fleet.
	ReasonRunning Reason = "the request is suspected of crashing endpoints and runs elsewhere"
)

// label is the reason in metrics.
func (r Reason) label() string {
	switch r {
	case ReasonConvicted:
		return "convicted"
	case ReasonSameEndpoint:
		return "same_endpoint"
	}
	return "running"
}

// Admission is the answer to Begin.
type Admission struct {
	Allowed bool
	// RunAlone: the endpoint must hold nothing else of this entry while it runs.
	RunAlone bool
	// Reason is set when it is not allowed; then it did not run.
	Reason Reason
}

// Result is how a run ended.
type Result int

// The results.
const (
	// Other: the run tells nothing, for instance because it was cancelled.
	Other Result = iota
	// Survived: the endpoint gave the whole answer.
	Survived
	// EndpointDied: the endpoint died while it ran.
	EndpointDied
)

// Exclusive lets a suspect run once at a time in the whole fleet, and no two
// suspects on one endpoint.
type Exclusive interface {
	// Acquire returns a release to be called with the result, or an error when
	// the suspect, or another one on the endpoint, runs elsewhere or that
	// cannot be found out.
	Acquire(ctx context.Context, fingerprint Fingerprint, endpoint string) (release func(Result), err error)
}

// Rule decides when a death convicts.
type Rule int

// The rules.
const (
	// SecondAlone convicts at the death of a second endpoint on which the
	// request ran alone.
	SecondAlone Rule = iota
	// SecondAny convicts at the death of a second endpoint.
	SecondAny
	// SecondAloneOrThird is SecondAlone, or the death of a third endpoint.
	SecondAloneOrThird
)

// Numbers of endpoints whose death convicts.
const (
	deathsConvicting = 2
	deathsRegardless = 3
)

func (r Rule) convicts(deaths int, alone bool) bool {
	switch r {
	case SecondAny:
		return deaths >= deathsConvicting
	case SecondAloneOrThird:
		return alone && deaths >= deathsConvicting || deaths >= deathsRegardless
	default:
		return alone && deaths >= deathsConvicting
	}
}

// Defaults of Options.
const (
	DefaultLimit         = 10_000
	DefaultSuspicionAge  = time.Hour
	DefaultConvictionAge = 24 * time.Hour
)

// Options of a Registry. The zero value takes the defaults.
type Options struct {
	// Limit is the number of requests that something is held against.
	Limit int
	// SuspicionAge is how long after the last death a suspicion ends.
	SuspicionAge time.Duration
	// ConvictionAge is how long after the last death a conviction ends.
	ConvictionAge time.Duration
	Rule          Rule
	// Spread sends rows to all entries at once and returns when they have been
	// taken over or that took too long; nil leaves it to News. It is called at
	// each death, before done returns, so that a caller who is told only then
	// does not reach an entry that knows nothing.
	Spread func([]*peerpb.Suspect)
	// Exclusive may be nil; then a suspect runs once at a time per entry.
	Exclusive Exclusive
	// Now reads a clock; nil means time.Now.
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
