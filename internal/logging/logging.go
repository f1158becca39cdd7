// Package logging writes log lines without ever blocking the caller, and within a budget
// of lines per second for each event. Warnings and errors have a larger budget.
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

// Budgets, in lines per second of one event.
const (
	infoBudget = 40
	warnBudget = 200
	// queueLines is the number of lines that are queued for a slow reader.
	queueLines = 2048
)

// Writer passes lines to a possibly slow reader in its own goroutine. It drops lines when
// its queue is full.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	stop    chan struct{}
}

// NewWriter starts a Writer to out. Close stops it.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, queueLines), done: make(chan struct{}), stop: make(chan struct{})}
	go w.run(out)
	return w
}

func (w *Writer) run(out io.Writer) {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			_, _ = out.Write(line) // there is nowhere to report the error
		case <-w.stop:
			w.flush(out)
			return
		}
	}
}

func (w *Writer) flush(out io.Writer) {
	for {
		select {
		case line := <-w.lines:
			_, _ = out.Write(line) // there is nowhere to report the error
		default:
			return
		}
	}
}

// Write implements io.Writer. It never blocks.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// closeTimeout bounds how long Close writes queued lines.
const closeTimeout = 200 * time.Millisecond

// Close writes the queued lines for at most closeTimeout and stops the Writer.
func (w *Writer) Close() {
	close(w.stop)
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}

// Handler is a slog.Handler that limits each event to its budget and logs how many lines
// were left out.
type Handler struct {
	slog.Handler
	shared *shared
}

// shared is the state that a handler shares with the handlers derived from it.
type shared struct {
	now    func() time.Time
	writer *Writer

	mu      sync.Mutex
	second  int64
	lines   map[string]int
	leftOut int64
}

// NewHandler returns a Handler on top of handler, which must write to writer.
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

// admit counts a line and reports whether it is within the budget. At the first line of a
// second it also returns how many lines were left out since the last such report.
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
	budget := infoBudget
	if level >= slog.LevelWarn {
		budget = warnBudget
	}
	if s.lines[message] > budget {
		s.leftOut++
		return false, leftOut
	}
	return true, leftOut
}
