// Package event defines the numbered log events. The number of an event never
// changes. docs/EVENTS.md is the generated catalogue; a test compares it with the code.
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
	// Meaning describes the event to an operator and what to do about it.
	Meaning string
}

// catalogue maps the number of each event to the event.
var catalogue = map[int]Event{}

// define registers an event. It panics when the number is already in use.
func define(number int, name string, level slog.Level, meaning string) Event {
	if other, exists := catalogue[number]; exists {
		panic(fmt.Sprintf("event %d is defined as %s and %s", number, other.Name, name))
	}
	e := Event{Number: number, Name: name, Level: level, Meaning: meaning}
	catalogue[number] = e
	return e
}

// Log writes the event to logger at its level, with its number and attrs as attributes.
func (e Event) Log(ctx context.Context, logger *slog.Logger, attrs ...slog.Attr) {
	numbered := append([]slog.Attr{slog.Int("event", e.Number)}, attrs...)
	logger.LogAttrs(ctx, e.Level, e.Name, numbered...)
}

// Catalogue returns all events sorted by number.
func Catalogue() []Event {
	events := make([]Event, 0, len(catalogue))
	for _, e := range catalogue {
		events = append(events, e)
	}
	sort.Slice(events, func(i, j int) bool { return events[i].Number < events[j].Number })
	return events
}
