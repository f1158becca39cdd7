// Package jsonhttp reads and writes JSON bodies for the stand-ins.
package jsonhttp

import (
	"encoding/json"
	"net/http"
)

// MaxBody is the maximum size of a request body that a stand-in reads, in bytes.
const MaxBody = 16 << 20

// Read decodes the request body into value. If decoding fails, Read answers the
// request with status 400 and returns false.
func Read(w http.ResponseWriter, r *http.Request, value any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxBody)).Decode(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// Write answers the request with the status and value encoded as JSON.
func Write(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the caller disconnected, so the error is ignored.
	_ = json.NewEncoder(w).Encode(value)
}
