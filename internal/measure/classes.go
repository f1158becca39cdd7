package measure

import (
	"time"

	"github.com/comfreyfront/comfreyfront/internal/class"
)

// Names of the request classes.
const (
	classLookup   = "lookup"
	classDraft    = "draft"
	classHint     = "hint"
	classTraining = "training"
	classUpdate   = "update"
	// classStraggler is the class of samples that delay the completion of a step.
	classStraggler = "straggler"
)

// classes are the request classes of both simulated deployments.
var classes = []class.Class{
	{Name: classLookup, Lateness: time.Second, Completeness: 0.99},
	{Name: classUpdate, Lateness: time.Second, Completeness: 0.99},
	{Name: classDraft, Lateness: 3 * time.Second, Completeness: 0.8},
	{Name: classHint, Lateness: time.Second, Completeness: 0.3},
	{Name: classStraggler, Lateness: 10 * time.Second, Completeness: 0.95},
	{Name: classTraining, Lateness: time.Minute, Completeness: 0.95},
}
