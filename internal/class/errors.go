package class

import (
	"fmt"
	"strings"

	"github.com/joomcode/errorx"
)

// Errors of the class layer.
var (
	Errors = errorx.NewNamespace("class")
	// ErrInvalidDocument: the document has mistakes; nothing of it was taken.
	ErrInvalidDocument = Errors.NewType("invalid_document")

	propMistakes = errorx.RegisterProperty("mistakes")
)

// Mistake is one thing that is wrong in a document.
type Mistake struct {
	// Line counts from 1; zero means the whole document.
	Line int `json:"line"`
	// Found says what is wrong.
	Found string `json:"found"`
	// Want says what would be right.
	Want string `json:"want"`
}

// String renders the mistake in one line.
func (m Mistake) String() string {
	if m.Line == 0 {
		return fmt.Sprintf("%s; %s", m.Found, m.Want)
	}
	return fmt.Sprintf("line %d: %s; %s", m.Line, m.Found, m.Want)
}

// MistakesOf returns the mistakes that an ErrInvalidDocument carries.
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
