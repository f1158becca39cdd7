package class

import (
	"fmt"
	"strings"

	"github.com/joomcode/errorx"
)

// Errors of this package.
var (
	Errors = errorx.NewNamespace("class")
	// ErrInvalidDocument means that the document has mistakes and was rejected
	// as a whole. MistakesOf returns them.
	ErrInvalidDocument = Errors.NewType("invalid_document")

	propMistakes = errorx.RegisterProperty("mistakes")
)

// Mistake is one violation of the document format.
type Mistake struct {
	// Line is the line number, starting at 1; zero refers to the whole document.
	Line int `json:"line"`
	// Found describes the mistake.
	Found string `json:"found"`
	// Want describes valid input.
	Want string `json:"want"`
}

// String renders the mistake on one line.
func (m Mistake) String() string {
	if m.Line == 0 {
		return fmt.Sprintf("%s; %s", m.Found, m.Want)
	}
	return fmt.Sprintf("line %d: %s; %s", m.Line, m.Found, m.Want)
}

// MistakesOf returns the mistakes attached to an ErrInvalidDocument, or nil for
// any other error.
func MistakesOf(err error) []Mistake {
	cast := errorx.Cast(err)
	if cast == nil {
		return nil
	}
	value, _ := cast.Property(propMistakes)
	mistakes, _ := value.([]Mistake)
	return mistakes
}

func invalid(mistakes []Mistake) error {
	lines := make([]string, len(mistakes))
	for i, m := range mistakes {
		lines[i] = m.String()
	}
	return ErrInvalidDocument.New("%s", strings.Join(lines, "\n")).WithProperty(propMistakes, mistakes)
}
