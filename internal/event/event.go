// Package event holds the numbered log events. Each has one number for good;
// docs/EVENTS.md is their catalogue and a test checks it against the code.
package event

import (
	"context"
	"fmt"
	"log/slog"
	"sort"
)

// Event is one numbered kind of log line.
type Event struct {
	Number int
	Name   string
	Level  slog.Level
	// Meaning says what an operator sees and what to do, in one sentence.
	Meaning string
}

var catalogue = map[int]Event{}

// define registers an event; a number that stands twice is a programming error.
func define(number int, name string, level slog.Level, meaning string) Event {
	if other, taken := catalogue[number]; taken {
		panic(fmt.Sprintf("event %d is defined as %s and %s", number, other.Name, name))
	}
	e := Event{Number: number, Name: name, Level: level, Meaning: meaning}
	catalogue[number] = e
	return e
}

// Log writes the event with attributes.
func (e Event) Log(ctx context.Context, logger *slog.Logger, attrs ...slog.Attr) {
	all := append([]slog.Attr{slog.Int("event", e.Number)}, attrs...)
	logger.LogAttrs(ctx, e.Level, e.Name, all...)
}

// Catalogue returns all events in order of their numbers.
func Catalogue() []Event {
	all := make([]Event, 0, len(catalogue))
	for _, e := range catalogue {
		all = append(all, e)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Number < all[j].Number })
	return all
}
