// Package operator is the operators' side of an entry: classes, their history
// and the report over HTTP.
package operator

import (
	"context"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/class"
	"github.com/comfreyfront/comfreyfront/internal/config"
)

// Paths of the operators' interface.
const (
	PathClasses = "/v1/classes" // GET: State; PUT: Change to Accepted
	PathHistory = "/v1/classes/history"
	PathReport  = "/report" // text/plain, or text/html by the Accept header
)

// State is the document in force at the entry that answers.
type State struct {
	Revision int64 `json:"revision"`
	// Classes is the YAML form.
	Classes string `json:"classes"`
	// ConfirmedAgo is how long ago the entry last knew that it is the newest.
	ConfirmedAgo time.Duration `json:"confirmed_ago_ns"`
	// Precedence lists class names, those refused last first.
	Precedence []string `json:"precedence"`
}

// Change is the body of PUT PathClasses.
type Change struct {
	ID  config.ChangeID `json:"id"`
	Who string          `json:"who"`
	// Expect is the revision that the change was made from, or
	// config.AnyRevision.
	Expect  int64  `json:"expect"`
	Classes string `json:"classes"` // YAML
}

// Accepted is the answer to an accepted change.
type Accepted struct {
	Revision int64          `json:"revision"`
	Changes  []class.Change `json:"changes"`
	// Repeated: an earlier call had it accepted already.
	Repeated bool `json:"repeated"`
}

// Refusal is the answer to a change that was not accepted, or may have been.
type Refusal struct {
	Reason   string           `json:"reason"`
	Mistakes []class.Mistake  `json:"mistakes,omitempty"`
	Conflict *config.Conflict `json:"conflict,omitempty"`
	// Unknown: the change may have been accepted; repeat it with the same
	// identifier.
	Unknown bool `json:"unknown,omitempty"`
}

// Configuration reads and changes the class document.
type Configuration interface {
	// Apply makes a change. Errors are of package config.
	Apply(ctx context.Context, change config.Change) (config.Result, error)
	// History reads the record with its latest changes.
	History(ctx context.Context) (*config.Record, error)
}

// Reporter renders the report from live data.
type Reporter interface {
	Text() string
	HTML() string
}
