package class

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// Encode returns the YAML form, which Decode parses to the same classes. The
// revision is not encoded.
func Encode(d *Document) []byte {
	var out strings.Builder
	out.WriteString("classes:\n")
	for _, c := range d.Classes {
		fmt.Fprintf(&out, "- name: %s\n", c.Name)
		fmt.Fprintf(&out, "  lateness: %s\n", c.LatenessText())
		fmt.Fprintf(&out, "  freshness: %s\n", c.Freshness)
		fmt.Fprintf(&out, "  completeness: %s\n", c.CompletenessText())
	}
	return []byte(out.String())
}

// LatenessText renders the lateness target as in the YAML form.
func (c Class) LatenessText() string {
	return durationText(c.Lateness)
}

// CompletenessText renders the completeness target as in the YAML form.
func (c Class) CompletenessText() string {
	return percentText(c.Completeness) + "%"
}

// String renders the freshness target as in the YAML form.
func (f Freshness) String() string {
	if limit, bounded := f.VersionLimit(); bounded {
		if limit == 1 {
			return "1 version"
		}
		return fmt.Sprintf("%d versions", limit)
	}
	if age, bounded := f.AgeLimit(); bounded {
		return durationText(age)
	}
	return freshnessNone
}

// durationText formats a duration without the zero units that Duration.String
// appends.
func durationText(d time.Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}

// maxDecimals is the largest number of decimals in a completeness percentage.
const maxDecimals = 6

// fractionTolerance is the difference below which two fractions are equal. It is
// far below the last of the maxDecimals decimals.
const fractionTolerance = 1e-12

// percentText formats a fraction as the shortest percentage that parses back to
// the same fraction.
func percentText(fraction float64) string {
	for digits := 0; digits <= maxDecimals; digits++ {
		text := strconv.FormatFloat(fraction*percent, 'f', digits, 64)
		if parsed, err := strconv.ParseFloat(text, 64); err == nil && math.Abs(parsed/percent-fraction) < fractionTolerance {
			return text
		}
	}
	return strconv.FormatFloat(fraction*percent, 'f', maxDecimals, 64)
}
