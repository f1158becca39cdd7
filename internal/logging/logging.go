// Package logging writes log lines without ever making their callers wait, and
// within a budget: of each event so many lines a second, failures more.
package logging

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/event"
)

// Budgets, in lines of one event a second.
const (
	usualLines   = 40
	failureLines = 200
	// queueLines is how many lines may wait for a slow reader.
	queueLines = 2048
)

// Writer hands lines to a slow reader in a goroutine of its own and drops those
// that do not fit.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	end     chan struct{}
}

// NewWriter starts a writer to out. Close ends it.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, queueLines), done: make(chan struct{}), end: make(chan struct{})}
	go w.run(out)
	return w
}

func (w *Writer) run(out io.Writer) {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			_, _ = out.Write(line) // there is nowhere to tell of it
		case <-w.end:
			w.flush(out)
			return
		}
	}
}

func (w *Writer) flush(out io.Writer) {
	for {
		select {
		case line := <-w.lines:
			_, _ = out.Write(line) // there is nowhere to tell of it
		default:
			return
		}
	}
}

// Write implements io.Writer; it never waits.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// closeTimeout bounds the writing of the last lines.
const closeTimeout = 200 * time.Millisecond

// Close writes what waits, for a short time.
func (w *Writer) Close() {
	close(w.end)
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}

// Handler keeps each event within its budget and says what it left out.
type Handler struct {
	slog.Handler
	shared *shared
}

// shared is the state of a handler and those derived from it.
type shared struct {
	now    func() time.Time
	writer *Writer

	mu      sync.Mutex
	second  int64
	lines   map[string]int
	leftOut int64
}

// NewHandler returns a handler over another one that writes to writer.
func NewHandler(handler slog.Handler, writer *Writer) *Handler {
	return &Handler{Handler: handler, shared: &shared{now: time.Now, writer: writer, lines: map[string]int{}}}
}

// WithAttrs implements slog.Handler.
func (h *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Handler{Handler: h.Handler.WithAttrs(attrs), shared: h.shared}
}

// WithGroup implements slog.Handler.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{Handler: h.Handler.WithGroup(name), shared: h.shared}
}

// Handle implements slog.Handler.
func (h *Handler) Handle(ctx context.Context, record slog.Record) error {
	keep, leftOut := h.shared.admit(record.Message, record.Level)
	if leftOut > 0 {
		event.LinesLeftOut.Log(ctx, slog.New(h.Handler), slog.Int64("lines", leftOut))
	}
	if !keep {
		return nil
	}
	return h.Handler.Handle(ctx, record)
}

// admit counts a line. At the first line of a second it returns how many were
// left out before.
func (s *shared) admit(message string, level slog.Level) (keep bool, leftOut int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if second := s.now().Unix(); second != s.second {
		s.second = second
		clear(s.lines)
		leftOut = s.leftOut + s.writer.dropped.Swap(0)
		s.leftOut = 0
	}
	s.lines[message]++
	budget := usualLines
	if level >= slog.LevelWarn {
		budget = failureLines
	}
	if s.lines[message] > budget {
		s.leftOut++
		return false, leftOut
	}
	return true, leftOut
}
