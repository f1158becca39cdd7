package step

import (
	"crypto/sha256"
	"encoding/json"
	"regexp"
	"strconv"

	"github.com/comfreyfront/comfreyfront/internal/step/wire"
)

// Limits of the values in a specification.
const (
	maxSamples   = 1 << 15
	maxTokens    = 1 << 20
	maxStaleness = 1 << 20
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// digest is a hash that identifies the content of a specification.
type digest [sha256.Size]byte

// UnitOf returns the name of the ownership unit of a step.
func UnitOf(trainer string, step int64) string {
	return "step/" + trainer + "/" + strconv.FormatInt(step, 10)
}

// validate checks a specification and returns ErrInvalid if it is malformed.
func validate(spec *wire.Spec) error {
	switch {
	case !namePattern.MatchString(spec.Trainer):
		return ErrInvalid.New("trainer must be 1 to 64 letters, digits, dots, dashes or underscores")
	case spec.Step < 0:
		return ErrInvalid.New("step must not be negative")
	case spec.Model == "":
		return ErrInvalid.New("model is missing")
	case spec.Class == "":
		return ErrInvalid.New("class is missing")
	case spec.WeightVersion < 0:
		return ErrInvalid.New("weight_version must not be negative")
	case spec.Staleness < 0 || spec.Staleness > maxStaleness:
		return ErrInvalid.New("staleness must be 0 to %d versions", maxStaleness)
	case spec.DeadlineMillis < 0:
		return ErrInvalid.New("deadline_ms must not be negative")
	}
	return validateGroups(spec.Groups)
}

func validateGroups(groups []wire.Group) error {
	if len(groups) == 0 {
		return ErrInvalid.New("groups is empty")
	}
	total := 0
	for i, group := range groups {
		if group.Size < 1 || group.Size > maxSamples {
			return ErrInvalid.New("size of group %d must be 1 to %d", i, maxSamples)
		}
		if group.MaxTokens < 1 || group.MaxTokens > maxTokens {
			return ErrInvalid.New("max_tokens of group %d must be 1 to %d", i, maxTokens)
		}
		if total += group.Size; total > maxSamples {
			return ErrInvalid.New("a step has at most %d samples", maxSamples)
		}
	}
	return nil
}

// digestOf returns the digest of a valid specification.
func digestOf(spec *wire.Spec) digest {
	encoded, err := json.Marshal(spec)
	if err != nil {
		panic(err) // a Spec holds only strings and numbers
	}
	return sha256.Sum256(encoded)
}
