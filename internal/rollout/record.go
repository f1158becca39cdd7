package rollout

import (
	"encoding/json"
	"regexp"
)

// Prefixes of keys in the platform's service.
const (
	recordPrefix = "rollout/"
	readyPrefix  = "rollout-ready/"
)

// Record is the newest accepted rollout of a model, as the platform's service
// keeps it.
type Record struct {
	Model string `json:"model"`
	// Version is the weight version to bring everywhere; it only rises.
	Version int64 `json:"version"`
	// Floor: no answer of an older version may be given from now on.
	Floor int64 `json:"floor"`
}

var modelPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// validate fails with ErrInvalid.
func (r Record) validate() error {
	switch {
	case !modelPattern.MatchString(r.Model):
		return ErrInvalid.New("model must be 1 to 64 letters, digits, dots, dashes or underscores")
	case r.Version < 1:
		return ErrInvalid.New("version must be at least 1")
	case r.Floor < 0 || r.Floor > r.Version:
		return ErrInvalid.New("floor must be 0 to version")
	}
	return nil
}

// after returns the record that accepting next makes of r. It is r itself when
// next brings nothing new, and fails with ErrSuperseded when next is older.
func (r Record) after(next Record) (Record, error) {
	if next.Version < r.Version {
		return r, ErrSuperseded.New("version %d of %s is accepted already", r.Version, r.Model)
	}
	next.Floor = max(next.Floor, r.Floor)
	return next, nil
}

// mark says that a failure domain's replicas hold a version ready.
type mark struct {
	Version int64 `json:"version"`
	// Epoch is the fencing number of the owner that wrote it.
	Epoch int64 `json:"epoch"`
}

func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // records and marks hold only strings and numbers
	}
	return data
}

// unitOf names the unit of ownership of a model's rollouts in a failure domain.
func unitOf(model, domain string) string { return "rollout/" + model + "/" + domain }
