// Package phone defines the size of plain text that fits on a phone screen.
package phone

import "unicode/utf8"

// Size of a phone screen, in lines and columns.
const (
	Lines   = 24
	Columns = 45
)

// Clip shortens a line to Columns characters. A shortened line ends with an ellipsis.
func Clip(line string) string {
	if utf8.RuneCountInString(line) <= Columns {
		return line
	}
	return string([]rune(line)[:Columns-1]) + "…"
}
