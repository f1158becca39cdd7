package stricttest

import (
	"io"
	"net/http"
	"strings"
)

const (
	// floodBytes is how much of an answer without end is sent to one request at most.
	floodBytes = 1 << 30
	// floodWrite is about how much is written at once.
	floodWrite = 64 << 10
)

// Flood is an answer without end.
type Flood struct {
	// Beginning is sent first.
	Beginning string
	// Part returns the part with the given number, counted from 1; parts follow one another. If it
	// is nil, Beginning is a whole answer.
	Part func(n int) string
}

// Repeat returns parts that are all the same.
func Repeat(part string) func(int) string {
	return func(int) string { return part }
}

// NewFloodServer starts a server that answers each request with an answer without end, until the
// client closes the connection or floodBytes are sent.
func NewFloodServer(answer func(*http.Request) Flood) *Server {
	return newServer(afterRequest(func(w io.Writer, r *http.Request) error {
		flood := answer(r)
		_, err := io.WriteString(w, flood.Beginning)
		var chunk strings.Builder
		for n, sent := 1, 0; flood.Part != nil && err == nil && sent < floodBytes; n++ {
			chunk.WriteString(flood.Part(n))
			if chunk.Len() < floodWrite {
				continue
			}
			sent += chunk.Len()
			_, err = io.WriteString(w, chunk.String())
			chunk.Reset()
		}
		return err
	}))
}
