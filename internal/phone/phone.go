// Package phone holds the size of plain text that reads well on a phone.
package phone

import "unicode/utf8"

// Size of a screenful.
const (
	Lines   = 24
	Columns = 45
)

// Clip shortens a line to the width of a phone; an ellipsis says so.
func Clip(line string) string {
	if utf8.RuneCountInString(line) <= Columns {
		return line
	}
	return string([]rune(line)[:Columns-1]) + "…"
}
