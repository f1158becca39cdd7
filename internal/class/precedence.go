package class

import (
	"cmp"
	"slices"
)

// Precedence returns the classes in the order in which they are served when not
// all targets can be met: by higher completeness, then by shorter lateness, then
// by name.
func (d *Document) Precedence() []Class {
	if d == nil {
		return nil
	}
	ordered := slices.Clone(d.Classes)
	slices.SortFunc(ordered, comparePrecedence)
	return ordered
}

func comparePrecedence(a, b Class) int {
	return cmp.Or(
		cmp.Compare(b.Completeness, a.Completeness),
		cmp.Compare(a.Lateness, b.Lateness),
		cmp.Compare(a.Name, b.Name),
	)
}
