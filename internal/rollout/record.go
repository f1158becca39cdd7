package rollout

import (
	"encoding/json"
	"regexp"
)

// Key prefixes in the key-value service.
const (
	recordPrefix = "rollout/"
	readyPrefix  = "rollout-ready/"
)

// Record is the newest accepted rollout of a model, as stored in the key-value
// service.
type Record struct {
	Model string `json:"model"`
	// Version is the target weight version of all replicas; it never decreases.
	Version int64 `json:"version"`
	// Floor is the oldest weight version whose answers may still be returned.
	Floor int64 `json:"floor"`
}

var modelPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// validate returns ErrInvalid if the record is malformed.
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

// merge returns the record that results from accepting next after r. The result equals r
// if next changes nothing. It fails with ErrSuperseded if next is older than r.
func (r Record) merge(next Record) (Record, error) {
	if next.Version < r.Version {
		return r, ErrSuperseded.New("version %d of %s has already been accepted", r.Version, r.Model)
	}
	next.Floor = max(next.Floor, r.Floor)
	return next, nil
}

// mark records that a version is staged on the replicas of a failure domain.
type mark struct {
	Version int64 `json:"version"`
	// Epoch is the fencing number of the owner that wrote the mark.
	Epoch int64 `json:"epoch"`
}

func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // records and marks hold only strings and numbers
	}
	return data
}

// unitOf returns the name of the ownership unit of a model's rollouts in a failure
// domain.
func unitOf(model, domain string) string { return "rollout/" + model + "/" + domain }
