// Package wire holds the JSON bodies that trainers and entries exchange about
// training steps, and the rules that both sides apply to them.
package wire

import "github.com/comfreyfront/comfreyfront/internal/request"

// Paths of the trainers' interface. A step's own paths are below PathSteps:
// /v1/steps/{trainer}/{step}, with /pull or /confirm after it.
const (
	PathSteps     = "/v1/steps"
	ActionPull    = "pull"
	ActionConfirm = "confirm"
)

// Types of problems that a trainer acts on.
const (
	// ProblemUnknownStep: the owner does not know the step; send the
	// specification again, then repeat the pull.
	ProblemUnknownStep = "urn:comfreyfront:step:unknown"
	// ProblemNotOwner: the entry does not own the step any more; repeat the call.
	ProblemNotOwner = "urn:comfreyfront:step:not-owner"
	// ProblemSuperseded: a newer pull of the step was seen.
	ProblemSuperseded = "urn:comfreyfront:step:pull-superseded"
	// ProblemExpired: the reply to this pull holds a sample that is over the
	// bound by now; pull again with the next number.
	ProblemExpired = "urn:comfreyfront:step:reply-expired"
	// ProblemConflict: the step exists with another specification.
	ProblemConflict = "urn:comfreyfront:step:conflict"
	// ProblemDeadline: the step's deadline passed and no sample was finished
	// for minutes.
	ProblemDeadline = "urn:comfreyfront:step:deadline"
)

// Problem is the body of a refusal.
type Problem struct {
	request.Problem
	// LastPull is the highest pull number that the owner has seen, with
	// ProblemSuperseded.
	LastPull int64 `json:"last_pull,omitempty"`
}

// Spec is the specification of a step. It never changes once sent.
type Spec struct {
	Trainer string `json:"trainer"`
	Step    int64  `json:"step"`
	Model   string `json:"model"`
	Class   string `json:"class"`
	Tenant  string `json:"tenant,omitempty"`
	// WeightVersion is the version that the trainer was at when it made the step.
	WeightVersion int64 `json:"weight_version"`
	// Staleness is the bound: how many versions older than the trainer's the
	// oldest tokens of a sample may be when it is delivered.
	Staleness int64 `json:"staleness"`
	// DeadlineMillis is the time within which the step is due, in
	// milliseconds; zero is the entry's default.
	DeadlineMillis int64   `json:"deadline_ms,omitempty"`
	Groups         []Group `json:"groups"`
}

// Group is one prompt of which Size samples are drawn.
type Group struct {
	Prompt    string `json:"prompt"`
	Size      int    `json:"size"`
	MaxTokens int    `json:"max_tokens"`
}

// SampleID identifies a sample within a step.
type SampleID struct {
	Group int `json:"group"`
	Index int `json:"index"`
}

// Span is a run of tokens that one weight version produced, as the engine
// reported it.
type Span struct {
	WeightVersion int64 `json:"weight_version"`
	Tokens        int   `json:"tokens"`
}

// Sample is one whole sample.
type Sample struct {
	Group        int    `json:"group"`
	Index        int    `json:"index"`
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason"`
	Spans        []Span `json:"spans"`
	// Error says why the sample was refused; FinishReason is then FinishRefused.
	Error string `json:"error,omitempty"`
}

// FinishRefused ends a sample whose prompt can't be run: it is malformed or
// crashes endpoints. Such a sample has neither text nor spans.
const FinishRefused = "refused"

// CreateRequest is the body of POST PathSteps. Only Spec is compared with what
// is known of the step.
type CreateRequest struct {
	Spec
	// Holds lists what the trainer holds, when it sends a specification again.
	Holds Holdings `json:"holds,omitempty"`
	// Epoch is the highest owner epoch that the trainer has seen.
	Epoch int64 `json:"epoch,omitempty"`
	// AgeMillis is how long ago the trainer made the step, in milliseconds.
	AgeMillis int64 `json:"age_ms,omitempty"`
}

// CreateReply answers POST PathSteps.
type CreateReply struct {
	Epoch int64 `json:"epoch"`
}

// PullRequest is the body of a pull.
type PullRequest struct {
	Holds Holdings `json:"holds"`
	// Epoch is the highest owner epoch that the trainer has seen.
	Epoch int64 `json:"epoch"`
	// Pull numbers the trainer's pulls of the step, from 1. A repeated pull
	// keeps its number.
	Pull int64 `json:"pull"`
	// WeightVersion is the version that the trainer is at.
	WeightVersion int64 `json:"weight_version"`
	// MaxSamples bounds the reply; zero is the entry's default.
	MaxSamples int `json:"max_samples,omitempty"`
	// WaitMillis is how long to wait for a first sample, in milliseconds.
	WaitMillis int64 `json:"wait_ms,omitempty"`
}

// PullReply answers a pull.
type PullReply struct {
	Epoch   int64    `json:"epoch"`
	Pull    int64    `json:"pull"`
	Samples []Sample `json:"samples"`
	// Complete is set when the trainer, with this reply, holds the whole step.
	Complete bool `json:"complete"`
}

// ConfirmRequest is the body of a confirmation. It may be lost: it only lets
// the owner free memory early.
type ConfirmRequest struct {
	Holds Holdings `json:"holds"`
	Epoch int64    `json:"epoch"`
}

// Progress answers GET of a step and its confirmation.
type Progress struct {
	Trainer   string `json:"trainer"`
	Step      int64  `json:"step"`
	Epoch     int64  `json:"epoch"`
	Waiting   int    `json:"waiting"`
	Running   int    `json:"running"`
	Ready     int    `json:"ready"`
	Held      int    `json:"held"`
	Discarded int64  `json:"discarded"`
	Complete  bool   `json:"complete"`
}

// Oldest returns the lowest weight version of spans, and false when there are
// none.
func Oldest(spans []Span) (int64, bool) {
	if len(spans) == 0 {
		return 0, false
	}
	oldest := spans[0].WeightVersion
	for _, span := range spans[1:] {
		oldest = min(oldest, span.WeightVersion)
	}
	return oldest, true
}

// OverBound reports whether spans hold tokens that are more than bound
// versions older than the reference version.
func OverBound(spans []Span, reference, bound int64) bool {
	oldest, known := Oldest(spans)
	return known && reference-oldest > bound
}
