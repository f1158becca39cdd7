package class

import "fmt"

// ChangeKind is the kind of difference between two documents.
type ChangeKind string

// Kinds of differences.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one difference between two documents.
type Change struct {
	Kind  ChangeKind `json:"kind"`
	Class string     `json:"class"`
	// Target, Before and After are set only if Kind is Changed.
	Target string `json:"target,omitempty"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// String renders the change on one line.
func (c Change) String() string {
	if c.Kind != Changed {
		return fmt.Sprintf("%s: %s", c.Class, c.Kind)
	}
	return fmt.Sprintf("%s: %s %s -> %s", c.Class, c.Target, c.Before, c.After)
}

// Diff returns the changes that turn a into b: added and changed classes in the
// order of b, then removed classes in the order of a.
func Diff(a, b *Document) []Change {
	var changes []Change
	for _, after := range b.Classes {
		before, existed := a.Find(after.Name)
		if !existed {
			changes = append(changes, Change{Kind: Added, Class: after.Name})
			continue
		}
		changes = append(changes, diffTargets(before, after)...)
	}
	for _, before := range a.Classes {
		if _, exists := b.Find(before.Name); !exists {
			changes = append(changes, Change{Kind: Removed, Class: before.Name})
		}
	}
	return changes
}

func diffTargets(before, after Class) []Change {
	var changes []Change
	compare := func(target, old, new string) {
		if old != new {
			changes = append(changes, Change{Kind: Changed, Class: after.Name, Target: target, Before: old, After: new})
		}
	}
	compare(fieldLateness, before.LatenessText(), after.LatenessText())
	compare(fieldFreshness, before.Freshness.String(), after.Freshness.String())
	compare(fieldCompleteness, before.CompletenessText(), after.CompletenessText())
	return changes
}
