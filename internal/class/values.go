package class

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml/ast"
)

// Descriptions of valid input for each field, shown to the operator.
const (
	wantClass        = "write a class such as \"- name: lookups\" with lateness, freshness and completeness"
	wantName         = "2 to 40 of a-z, 0-9 and -, starting with a letter, such as \"lookups\""
	wantLateness     = "a duration from 1ms to 24h, such as \"800ms\" or \"28m\""
	wantFreshness    = "\"2 versions\" (up to 1000), a duration from 1s to 720h such as \"20m\", or \"none\""
	wantCompleteness = "a percentage above 0% up to 100%, with at most 6 decimals, such as \"99.5%\""
)

// freshnessNone is the YAML form of a freshness without a bound.
const freshnessNone = "none"

var (
	namePattern     = regexp.MustCompile(`^[a-z][a-z0-9-]{1,39}$`)
	percentPattern  = regexp.MustCompile(`^(\d{1,3}(?:\.\d{1,6})?) ?%$`)
	versionsPattern = regexp.MustCompile(`^(\d{1,9}) versions?$`)
	validate        = newValidator()
)

func newValidator() *validator.Validate {
	v := validator.New()
	isName := func(field validator.FieldLevel) bool { return namePattern.MatchString(field.Field().String()) }
	if err := v.RegisterValidation(ruleName, isName); err != nil {
		panic(err)
	}
	return v
}

// ValidName reports whether text is a valid class name.
func ValidName(text string) bool {
	return namePattern.MatchString(text)
}

func (d *decoder) class(node ast.Node) Class {
	fields, ok := d.fields(node, classFields, "a class", wantClass)
	if !ok {
		return Class{}
	}
	for _, name := range classFields {
		if _, exists := fields[name]; !exists {
			d.report(lineOf(node), wantFor(name), "field %q is missing", name)
		}
	}
	var c Class
	d.scalar(fields, fieldName, func(text string) bool { c.Name = text; return valid(text, ruleName) })
	d.scalar(fields, fieldLateness, func(text string) bool { return d.lateness(text, &c) })
	d.scalar(fields, fieldFreshness, func(text string) bool { return d.freshness(text, &c) })
	d.scalar(fields, fieldCompleteness, func(text string) bool { return d.completeness(text, &c) })
	return c
}

// scalar passes a field's text to parse and reports the field as invalid if
// parse returns false.
func (d *decoder) scalar(fields map[string]ast.Node, name string, parse func(string) bool) {
	node, exists := fields[name]
	if !exists {
		return
	}
	text := textOf(node)
	if !parse(text) {
		d.report(lineOf(node), wantFor(name), "%s %q is invalid", name, clip(text))
	}
}

func (d *decoder) lateness(text string, c *Class) bool {
	parsed, err := time.ParseDuration(text)
	c.Lateness = parsed
	return err == nil && valid(parsed, ruleLateness)
}

func (d *decoder) freshness(text string, c *Class) bool {
	if text == freshnessNone {
		return true
	}
	if match := versionsPattern.FindStringSubmatch(text); match != nil {
		versions, err := strconv.Atoi(match[1])
		c.Freshness = Freshness{Newest: versions == 0, Versions: versions}
		return err == nil && valid(versions, ruleVersions)
	}
	age, err := time.ParseDuration(text)
	c.Freshness = Freshness{Age: age}
	return err == nil && valid(age, ruleAge)
}

func (d *decoder) completeness(text string, c *Class) bool {
	match := percentPattern.FindStringSubmatch(text)
	if match == nil {
		return false
	}
	parsed, err := strconv.ParseFloat(match[1], 64)
	c.Completeness = parsed / percent
	return err == nil && valid(parsed, ruleCompleteness)
}

func valid(value any, rule string) bool {
	return validate.Var(value, rule) == nil
}

func wantFor(field string) string {
	switch field {
	case fieldName:
		return wantName
	case fieldLateness:
		return wantLateness
	case fieldFreshness:
		return wantFreshness
	default:
		return wantCompleteness
	}
}

// suggestField suggests the known field with the smallest edit distance to key,
// or lists the known fields if none is within maxEdits.
func suggestField(key string, known []string) string {
	const maxEdits = 3
	best, bestEdits := "", maxEdits+1
	for _, candidate := range known {
		if edits := editDistance(clip(strings.ToLower(key)), candidate); edits < bestEdits {
			best, bestEdits = candidate, edits
		}
	}
	if best == "" {
		return "known fields are " + strings.Join(known, ", ")
	}
	return fmt.Sprintf("did you mean %q?", best)
}

// editDistance returns the Levenshtein distance between two short strings, in
// bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			substitution := diagonal
			if a[i] != b[j] {
				substitution++
			}
			diagonal = row[j+1]
			row[j+1] = min(row[j]+1, row[j+1]+1, substitution)
		}
	}
	return row[len(b)]
}
