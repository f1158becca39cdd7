package engine

import (
	"encoding/json"
	"maps"
)

// ownFields are the fields of CompletionRequest in its JSON form.
var ownFields = []string{"model", "prompt", "max_tokens", "stream", "priority", "seed", "resume", "resume_tokens"}

// plainRequest has the fields of CompletionRequest without its methods.
type plainRequest CompletionRequest

// UnmarshalJSON keeps fields that this package does not know in Extra.
func (r *CompletionRequest) UnmarshalJSON(data []byte) error {
	if err := json.Unmarshal(data, (*plainRequest)(r)); err != nil {
		return err
	}
	var extra map[string]json.RawMessage
	if err := json.Unmarshal(data, &extra); err != nil {
		return err
	}
	for _, name := range ownFields {
		delete(extra, name)
	}
	r.Extra = nil
	if len(extra) > 0 {
		r.Extra = extra
	}
	return nil
}

// MarshalJSON writes the fields in Extra beside the known ones.
func (r CompletionRequest) MarshalJSON() ([]byte, error) {
	known, err := json.Marshal(plainRequest(r))
	if err != nil || len(r.Extra) == 0 {
		return known, err
	}
	all := maps.Clone(r.Extra)
	if err := json.Unmarshal(known, &all); err != nil {
		return nil, err
	}
	return json.Marshal(all)
}
