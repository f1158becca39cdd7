package engine

import (
	"encoding/json"
	"maps"
)

// knownFields lists the names of CompletionRequest's JSON fields.
var knownFields = []string{"model", "prompt", "max_tokens", "stream", "priority", "seed", "resume", "resume_tokens"}

// plainRequest is CompletionRequest without its methods, which would recurse.
type plainRequest CompletionRequest

// UnmarshalJSON implements json.Unmarshaler. It stores unknown fields in Extra.
func (r *CompletionRequest) UnmarshalJSON(data []byte) error {
	if err := json.Unmarshal(data, (*plainRequest)(r)); err != nil {
		return err
	}
	var extra map[string]json.RawMessage
	if err := json.Unmarshal(data, &extra); err != nil {
		return err
	}
	for _, name := range knownFields {
		delete(extra, name)
	}
	r.Extra = nil
	if len(extra) > 0 {
		r.Extra = extra
	}
	return nil
}

// MarshalJSON implements json.Marshaler. It writes the fields in Extra next to the known
// ones.
func (r CompletionRequest) MarshalJSON() ([]byte, error) {
	encoded, err := json.Marshal(plainRequest(r))
	if err != nil || len(r.Extra) == 0 {
		return encoded, err
	}
	merged := maps.Clone(r.Extra)
	if err := json.Unmarshal(encoded, &merged); err != nil {
		return nil, err
	}
	return json.Marshal(merged)
}
