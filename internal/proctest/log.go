package proctest

import (
	"bytes"
	"io"
	"sync"
)

// lineWriter writes whole lines to target, each prefixed with the name of a process.
type lineWriter struct {
	prefix  []byte
	target  io.Writer
	pending []byte
}

// newLineWriter returns a writer that prefixes each line with name; it discards all output if
// target is nil.
func newLineWriter(name string, target io.Writer) io.Writer {
	if target == nil {
		return io.Discard
	}
	return &lineWriter{prefix: []byte(name + ": "), target: target}
}

func (w *lineWriter) Write(data []byte) (int, error) {
	w.pending = append(w.pending, data...)
	for {
		end := bytes.IndexByte(w.pending, '\n')
		if end < 0 {
			return len(data), nil
		}
		line := append(append([]byte{}, w.prefix...), w.pending[:end+1]...)
		w.pending = w.pending[end+1:]
		if _, err := w.target.Write(line); err != nil {
			return len(data), err
		}
	}
}

// Log collects the output of several processes. The zero value is ready to use, and it is safe for
// concurrent use.
type Log struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (l *Log) Write(data []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(data)
}

// String returns everything written so far.
func (l *Log) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}
