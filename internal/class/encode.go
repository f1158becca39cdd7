package class

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// Encode writes the YAML form. Decode of it gives the same classes; the
// revision is not part of it.
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

// durationText drops the zero units that Duration.String appends.
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

// maxDecimals is the number of decimals that a completeness can have.
const maxDecimals = 6

// shareTolerance is the difference below which two shares are the same, far
// below the last decimal.
const shareTolerance = 1e-12

// percentText renders a share as the shortest percentage that reads back as
// the same share.
func percentText(share float64) string {
	for digits := 0; digits <= maxDecimals; digits++ {
		text := strconv.FormatFloat(share*percent, 'f', digits, 64)
		if parsed, err := strconv.ParseFloat(text, 64); err == nil && math.Abs(parsed/percent-share) < shareTolerance {
			return text
		}
	}
	return strconv.FormatFloat(share*percent, 'f', maxDecimals, 64)
}
