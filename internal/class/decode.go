package class

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Field names of the YAML form.
const (
	fieldClasses      = "classes"
	fieldName         = "name"
	fieldLateness     = "lateness"
	fieldFreshness    = "freshness"
	fieldCompleteness = "completeness"
)

var (
	documentFields = []string{fieldClasses}
	classFields    = []string{fieldName, fieldLateness, fieldFreshness, fieldCompleteness}
)

// Decode parses the YAML form. It reports all mistakes with their lines, up to
// MaxMistakes, in one ErrInvalidDocument and rejects a document with any mistake
// as a whole. The decoded document has revision zero.
func Decode(data []byte) (*Document, error) {
	d := &decoder{}
	document := d.document(data)
	if len(d.mistakes) > 0 {
		return nil, invalid(d.sorted())
	}
	return document, nil
}

// decoder walks the syntax tree and collects mistakes.
type decoder struct {
	mistakes []Mistake
}

func (d *decoder) report(line int, want, found string, args ...any) {
	if len(d.mistakes) < MaxMistakes {
		d.mistakes = append(d.mistakes, Mistake{Line: line, Found: fmt.Sprintf(found, args...), Want: want})
	}
}

func (d *decoder) sorted() []Mistake {
	slices.SortStableFunc(d.mistakes, func(a, b Mistake) int { return cmp.Compare(a.Line, b.Line) })
	return d.mistakes
}

func (d *decoder) document(data []byte) *Document {
	if len(data) > MaxDocumentBytes {
		d.report(0, fmt.Sprintf("at most %d", MaxDocumentBytes), "the document has %d bytes", len(data))
		return nil
	}
	if line := tooDeep(data); line > 0 {
		d.report(line, fmt.Sprintf("at most %d levels", MaxNesting), "brackets are nested too deeply")
		return nil
	}
	file, err := parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		d.syntax(err)
		return nil
	}
	body := d.singleBody(file)
	if body == nil {
		return nil
	}
	return d.root(body)
}

// tooDeep returns the first line where brackets nest deeper than MaxNesting, or
// zero if there is none.
func tooDeep(data []byte) int {
	line, depth := 1, 0
	for _, b := range data {
		switch b {
		case '\n':
			line++
		case '[', '{':
			depth++
		case ']', '}':
			depth--
		}
		if depth > MaxNesting {
			return line
		}
	}
	return 0
}

func (d *decoder) syntax(err error) {
	var syntax *yaml.SyntaxError
	line, message := 0, err.Error()
	if errors.As(err, &syntax) {
		message = syntax.Message
		if syntax.Token != nil && syntax.Token.Position != nil {
			line = syntax.Token.Position.Line
		}
	}
	d.report(line, "write YAML such as \"lateness: 800ms\", indented by spaces", "not YAML: %s", clip(message))
}

const wantDocument = "start with \"classes:\" and a list below it"

func (d *decoder) singleBody(file *ast.File) ast.Node {
	var bodies []ast.Node
	for _, doc := range file.Docs {
		if doc.Body != nil && doc.Body.Type() != ast.CommentType {
			bodies = append(bodies, doc.Body)
		}
	}
	if len(bodies) == 0 {
		d.report(0, wantDocument, "the document is empty")
		return nil
	}
	if len(bodies) > 1 {
		d.report(lineOf(bodies[1]), "write one document without \"---\"", "a second document starts")
		return nil
	}
	return bodies[0]
}

func (d *decoder) root(body ast.Node) *Document {
	fields, ok := d.fields(body, documentFields, "the document", wantDocument)
	if !ok {
		return nil
	}
	list, exists := fields[fieldClasses]
	if !exists {
		d.report(lineOf(body), wantDocument, "field \"classes\" is missing")
		return nil
	}
	return &Document{Classes: d.classes(list)}
}

func (d *decoder) classes(node ast.Node) []Class {
	sequence, ok := node.(*ast.SequenceNode)
	if !ok || len(sequence.Values) == 0 {
		d.report(lineOf(node), "list at least one, such as \"- name: lookups\"", "\"classes\" is not a list of classes")
		return nil
	}
	if len(sequence.Values) > MaxClasses {
		d.report(lineOf(node), fmt.Sprintf("at most %d", MaxClasses), "there are %d classes", len(sequence.Values))
		return nil
	}
	firstLine := make(map[string]int, len(sequence.Values))
	classes := make([]Class, 0, len(sequence.Values))
	for _, value := range sequence.Values {
		c := d.class(value)
		d.reportDuplicate(c.Name, lineOf(value), firstLine)
		classes = append(classes, c)
	}
	return classes
}

func (d *decoder) reportDuplicate(name string, line int, firstLine map[string]int) {
	if name == "" {
		return
	}
	if first, exists := firstLine[name]; exists {
		d.report(line, "give each class a unique name", "class %q is already defined on line %d", name, first)
		return
	}
	firstLine[name] = line
}

// fields returns the values of a mapping by field name and reports unknown and
// duplicate fields.
func (d *decoder) fields(node ast.Node, known []string, what, want string) (map[string]ast.Node, bool) {
	mapping, ok := node.(*ast.MappingNode)
	if !ok {
		d.report(lineOf(node), want, "%s is not a mapping of fields", what)
		return nil, false
	}
	fields := make(map[string]ast.Node, len(mapping.Values))
	for _, entry := range mapping.Values {
		d.field(entry, known, fields)
	}
	return fields, true
}

func (d *decoder) field(entry *ast.MappingValueNode, known []string, fields map[string]ast.Node) {
	key, line := textOf(entry.Key), lineOf(entry.Key)
	if !slices.Contains(known, key) {
		d.report(line, suggestField(key, known), "unknown field %q", clip(key))
		return
	}
	if _, exists := fields[key]; exists {
		d.report(line, "set it once", "field %q is set twice", key)
		return
	}
	fields[key] = entry.Value
}

func lineOf(node ast.Node) int {
	if mapping, ok := node.(*ast.MappingNode); ok && len(mapping.Values) > 0 {
		node = mapping.Values[0].Key
	}
	if node == nil || node.GetToken() == nil || node.GetToken().Position == nil {
		return 0
	}
	return node.GetToken().Position.Line
}

// textOf returns the text of a scalar node, or "" for any other node.
func textOf(node ast.Node) string {
	if text, ok := node.(*ast.StringNode); ok {
		return text.Value
	}
	scalar, ok := node.(ast.ScalarNode)
	if !ok || scalar.GetToken() == nil {
		return ""
	}
	return strings.TrimSpace(scalar.GetToken().Value)
}

// maxQuotedBytes bounds how much of an invalid value an error message quotes.
const maxQuotedBytes = 60

func clip(text string) string {
	if len(text) <= maxQuotedBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxQuotedBytes], "") + "..."
}
