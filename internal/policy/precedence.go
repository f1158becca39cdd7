package policy

import (
	"slices"
	"strings"

	"github.com/comfreyfront/comfreyfront/internal/class"
)

// Precedence returns the classes in the order in which their targets are protected
// under overload: higher completeness first, then shorter lateness, then by name.
// Requests of the last classes are refused first.
func Precedence(classes []class.Class) []class.Class {
	ordered := slices.Clone(classes)
	slices.SortFunc(ordered, comparePrecedence)
	return ordered
}

func comparePrecedence(a, b class.Class) int {
	switch {
	case a.Completeness > b.Completeness:
		return -1
	case a.Completeness < b.Completeness:
		return 1
	case a.Lateness < b.Lateness:
		return -1
	case a.Lateness > b.Lateness:
		return 1
	}
	return strings.Compare(a.Name, b.Name)
}
