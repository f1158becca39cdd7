// Package wire defines the JSON bodies that trainers and entries exchange about
// training steps, and the rules that both sides apply to them.
package wire

import "github.com/comfreyfront/comfreyfront/internal/request"

// Paths of the trainers' API. The path of a step is /v1/steps/{trainer}/{step}; a
// pull or confirmation appends /pull or /confirm.
const (
	PathSteps     = "/v1/steps"
	ActionPull    = "pull"
	ActionConfirm = "confirm"
)

// Problem types that trainers handle.
const (
	// ProblemUnknownStep means that the owner has no specification of the step. The trainer
	// sends it again and then retries the pull.
	ProblemUnknownStep = "urn:comfreyfront:step:unknown"
	// ProblemNotOwner means that the entry no longer owns the step. The trainer retries the call.
	ProblemNotOwner = "urn:comfreyfront:step:not-owner"
	// ProblemSuperseded means that a newer pull of the step was received.
	ProblemSuperseded = "urn:comfreyfront:step:pull-superseded"
	// ProblemExpired means that the reply to this pull contains a sample that now exceeds the
	// staleness bound. The trainer pulls again with the next number.
	ProblemExpired = "urn:comfreyfront:step:reply-expired"
	// ProblemConflict means that the step exists with a different specification.
	ProblemConflict = "urn:comfreyfront:step:conflict"
	// ProblemDeadline means that the step's deadline passed and no sample has finished for
	// several minutes.
	ProblemDeadline = "urn:comfreyfront:step:deadline"
)

// Problem is the body of an error response.
type Problem struct {
	request.Problem
	// LastPull is the highest pull number that the owner has received. It is set with
	// ProblemSuperseded only.
	LastPull int64 `json:"last_pull,omitempty"`
}

// Spec is the specification of a step. It does not change after it is first sent.
type Spec struct {
	Trainer string `json:"trainer"`
	Step    int64  `json:"step"`
	Model   string `json:"model"`
	Class   string `json:"class"`
	Tenant  string `json:"tenant,omitempty"`
	// WeightVersion is the trainer's weight version when it created the step.
	WeightVersion int64 `json:"weight_version"`
	// Staleness is the staleness bound: the maximum number of versions by which the
	// oldest tokens of a sample may be behind the trainer's version at delivery.
	Staleness int64 `json:"staleness"`
	// DeadlineMillis is the time limit of the step in milliseconds, counted from its
	// creation; zero selects the entry's default.
	DeadlineMillis int64   `json:"deadline_ms,omitempty"`
	Groups         []Group `json:"groups"`
}

// Group is a prompt for which Size samples are generated.
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

// Span is a run of consecutive tokens that one weight version generated, as reported
// by the engine.
type Span struct {
	WeightVersion int64 `json:"weight_version"`
	Tokens        int   `json:"tokens"`
}

// Sample is one finished or refused sample.
type Sample struct {
	Group        int    `json:"group"`
	Index        int    `json:"index"`
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason"`
	Spans        []Span `json:"spans"`
	// Error is the reason for which the sample was refused. It is set only if
	// FinishReason is FinishRefused.
	Error string `json:"error,omitempty"`
}

// FinishRefused is the finish reason of a sample that cannot be run because its prompt
// is malformed or crashes endpoints. Such a sample has neither text nor spans.
const FinishRefused = "refused"

// CreateRequest is the body of POST PathSteps. If the step exists, only Spec is
// compared with it.
type CreateRequest struct {
	Spec
	// Holds lists the samples that the trainer holds when it sends the specification
	// again.
	Holds Holdings `json:"holds,omitempty"`
	// Epoch is the highest owner epoch that the trainer has received.
	Epoch int64 `json:"epoch,omitempty"`
	// AgeMillis is the time since the trainer created the step, in milliseconds.
	AgeMillis int64 `json:"age_ms,omitempty"`
}

// CreateReply is the response to POST PathSteps.
type CreateReply struct {
	Epoch int64 `json:"epoch"`
}

// PullRequest is the body of a pull.
type PullRequest struct {
	Holds Holdings `json:"holds"`
	// Epoch is the highest owner epoch that the trainer has received.
	Epoch int64 `json:"epoch"`
	// Pull numbers the trainer's pulls of the step, from 1. A repeated pull
	// keeps its number.
	Pull int64 `json:"pull"`
	// WeightVersion is the trainer's current weight version.
	WeightVersion int64 `json:"weight_version"`
	// MaxSamples is the maximum number of samples in the reply; zero selects the
	// entry's default.
	MaxSamples int `json:"max_samples,omitempty"`
	// WaitMillis is how long the pull may wait for samples, in milliseconds.
	WaitMillis int64 `json:"wait_ms,omitempty"`
}

// PullReply is the response to a pull.
type PullReply struct {
	Epoch   int64    `json:"epoch"`
	Pull    int64    `json:"pull"`
	Samples []Sample `json:"samples"`
	// Complete is true if the trainer holds all samples of the step after this reply.
	Complete bool `json:"complete"`
}

// ConfirmRequest is the body of a confirmation. Losing a confirmation is harmless: it
// only allows the owner to free memory earlier.
type ConfirmRequest struct {
	Holds Holdings `json:"holds"`
	Epoch int64    `json:"epoch"`
}

// Progress is the response to a GET of a step and to a confirmation.
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

// Oldest returns the lowest weight version in spans, or false if spans is empty.
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

// OverBound reports whether spans contain tokens that are more than bound versions
// older than the reference version.
func OverBound(spans []Span, reference, bound int64) bool {
	oldest, known := Oldest(spans)
	return known && reference-oldest > bound
}
