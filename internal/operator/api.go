// Package operator implements the operators' HTTP interface of an entry: classes, their
// history and the report.
package operator

import (
	"context"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/class"
	"github.com/comfreyfront/comfreyfront/internal/config"
)

// Paths of the operators' HTTP interface.
const (
	PathClasses = "/v1/classes" // GET returns State; PUT accepts Change and returns Accepted
	PathHistory = "/v1/classes/history"
	PathReport  = "/report"       // text/plain, or text/html if the Accept header contains it
	PathUsage   = "/report/usage" // text/plain; ?account=NAME selects one account
)

// QueryAccount is the query parameter of PathReport that requests the report on one client
// account. Only nodes on the platform have it.
const QueryAccount = "account"

// State is the class document in force at the entry that answers.
type State struct {
	Revision int64 `json:"revision"`
	// Classes is the class document as YAML.
	Classes string `json:"classes"`
	// ConfirmedAgo is the time since the entry last confirmed that the document is the
	// newest.
	ConfirmedAgo time.Duration `json:"confirmed_ago_ns"`
	// Precedence lists class names in descending precedence: the first is refused last.
	Precedence []string `json:"precedence"`
}

// Change is the body of PUT PathClasses.
type Change struct {
	ID  config.ChangeID `json:"id"`
	Who string          `json:"who"`
	// Expect is the revision that the change is based on, or config.AnyRevision.
	Expect  int64  `json:"expect"`
	Classes string `json:"classes"` // YAML
}

// Accepted is the answer to an accepted change.
type Accepted struct {
	Revision int64          `json:"revision"`
	Changes  []class.Change `json:"changes"`
	// Repeated reports whether an earlier call with the same identifier was accepted.
	Repeated bool `json:"repeated"`
}

// Refusal is the answer to a change that was refused or whose outcome is unknown.
type Refusal struct {
	Reason   string           `json:"reason"`
	Mistakes []class.Mistake  `json:"mistakes,omitempty"`
	Conflict *config.Conflict `json:"conflict,omitempty"`
	// Unknown means that the change may have been accepted; the caller should retry it
	// with the same identifier.
	Unknown bool `json:"unknown,omitempty"`
}

// Configuration reads and changes the class document.
type Configuration interface {
	// Apply applies a change. Errors are of package config.
	Apply(ctx context.Context, change config.Change) (config.Result, error)
	// History reads the stored record with its latest changes.
	History(ctx context.Context) (*config.Record, error)
}

// Reporter renders the report from live data.
type Reporter interface {
	Text() string
	HTML() string
}
