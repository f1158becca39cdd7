package class

import (
	"flag"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "200")
	os.Exit(m.Run())
}

const validDocument = `# targets
classes:
- name: lookups
  lateness: 800ms
  freshness: none
  completeness: 99.5%
- {name: drafts, lateness: 28m, freshness: 2 versions, completeness: "95%"}
- name: tags
  lateness: 1.5s
  freshness: 20m
  completeness: 99%
`

func TestDecodeValidDocument(t *testing.T) {
	d, err := Decode([]byte(validDocument))
	require.NoError(t, err)
	require.Equal(t, []Class{
		{Name: "lookups", Lateness: 800 * time.Millisecond, Completeness: 0.995},
		{Name: "drafts", Lateness: 28 * time.Minute, Freshness: Freshness{Versions: 2}, Completeness: 0.95},
		{Name: "tags", Lateness: 1500 * time.Millisecond, Freshness: Freshness{Age: 20 * time.Minute}, Completeness: 0.99},
	}, d.Classes)
	found, ok := d.Find("drafts")
	require.True(t, ok)
	require.Equal(t, 28*time.Minute, found.Lateness)
	require.Equal(t, "lookups", d.Precedence()[0].Name)
	require.Equal(t, "tags", d.Precedence()[1].Name)
}

func TestDecodeReportsEveryMistakeWithItsLine(t *testing.T) {
	bad := `classes:
- name: Lookups
  latness: 800ms
  freshness: 2 vers
  completeness: 99.5
- name: drafts
  lateness: 10
  freshness: 0s
  completeness: 101%
  weight: 3
- name: drafts
  lateness: 25h
  freshness: [none]
  completeness: 0%
  completeness: 5%
extra: 1
`
	_, err := Decode([]byte(bad))
	require.True(t, errorx.IsOfType(err, ErrInvalidDocument))
	want := []string{
		`line 2: field "lateness" is missing; ` + wantLateness,
		`line 2: name "Lookups" is invalid; ` + wantName,
		`line 3: unknown field "latness"; did you mean "lateness"?`,
		`line 4: freshness "2 vers" is invalid; ` + wantFreshness,
		`line 5: completeness "99.5" is invalid; ` + wantCompleteness,
		`line 7: lateness "10" is invalid; ` + wantLateness,
		`line 8: freshness "0s" is invalid; ` + wantFreshness,
		`line 9: completeness "101%" is invalid; ` + wantCompleteness,
		`line 10: unknown field "weight"; known fields are name, lateness, freshness, completeness`,
		`line 11: class "drafts" is already defined on line 6; give each class a unique name`,
		`line 12: lateness "25h" is invalid; ` + wantLateness,
		`line 13: freshness "" is invalid; ` + wantFreshness,
		`line 14: completeness "0%" is invalid; ` + wantCompleteness,
		`line 15: field "completeness" is set twice; set it once`,
		`line 16: unknown field "extra"; known fields are classes`,
	}
	var got []string
	for _, m := range MistakesOf(err) {
		got = append(got, m.String())
	}
	require.Equal(t, want, got)
}

func TestDecodeRejectsMalformedDocuments(t *testing.T) {
	cases := map[string]string{
		"":                                      "empty",
		"# nothing\n":                           "empty",
		"- a\n":                                 "not a mapping",
		"classes: 3\n":                          "not a list",
		"classes: []\n":                         "not a list",
		"classes:\n- 1\n":                       "not a mapping",
		"classes:\n  - name: [\n":               "not YAML",
		validDocument + "---\n" + validDocument: "second document",
		strings.Repeat("[", 60000):              "nested",
		strings.Repeat(" ", 1<<17):              "bytes",
		"classes:\n" + strings.Repeat("- {name: ab}\n", 65): "65 classes",
		"classes: &a\n- *a\n":                               "",
	}
	for text, want := range cases {
		d, err := Decode([]byte(text))
		require.Nil(t, d)
		require.ErrorContains(t, err, want)
		require.NotEmpty(t, MistakesOf(err))
	}
}

func documents() *rapid.Generator[*Document] {
	return rapid.Custom(func(t *rapid.T) *Document {
		names := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z][a-z0-9-]{1,39}`), 1, 6, rapid.ID[string]).Draw(t, "names")
		d := &Document{}
		for _, name := range names {
			d.Classes = append(d.Classes, Class{
				Name:         name,
				Lateness:     time.Duration(rapid.Int64Range(int64(time.Millisecond), int64(24*time.Hour)).Draw(t, "lateness")),
				Completeness: float64(rapid.IntRange(1, 100000).Draw(t, "completeness")) / 1000 / 100,
				Freshness: rapid.SampledFrom([]Freshness{
					{}, {Newest: true}, {Versions: 1}, {Versions: 7}, {Age: 90 * time.Second}, {Age: 720 * time.Hour},
				}).Draw(t, "freshness"),
			})
		}
		return d
	})
}

func TestEncodeDecodeRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := documents().Draw(t, "document")
		decoded, err := Decode(Encode(d))
		require.NoError(t, err, string(Encode(d)))
		require.Equal(t, d, decoded)
		require.Empty(t, Diff(d, decoded))
	})
}

func TestCompletenessTextIsShort(t *testing.T) {
	for fraction, want := range map[float64]string{0.999: "99.9%", 0.95: "95%", 1: "100%", 0.99995: "99.995%", 1e-8: "0.000001%"} {
		require.Equal(t, want, Class{Completeness: fraction}.CompletenessText())
	}
}

func TestDiff(t *testing.T) {
	a, err := Decode([]byte(validDocument))
	require.NoError(t, err)
	b := &Document{Classes: []Class{a.Classes[0], {Name: "new", Lateness: time.Second, Completeness: 1}, a.Classes[2]}}
	b.Classes[2].Lateness = 2 * time.Second
	var lines []string
	for _, c := range Diff(a, b) {
		lines = append(lines, c.String())
	}
	require.Equal(t, []string{"new: added", "tags: lateness 1.5s -> 2s", "drafts: removed"}, lines)
}

func FuzzDecode(f *testing.F) {
	for _, seed := range []string{validDocument, "", "classes: [", "classes:\n- name: a\n  lateness: 1\n", "a: &b\n- *b", "classes: !!binary x", "? [a]\n: b", "classes: {<<: 1}", "\xff\xfe", "classes:\n- name: |\n    x\n", "%YAML 1.2\n---\n", "classes:\n  - !!map {}\n"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := Decode(data)
		if err != nil {
			require.Nil(t, d)
			require.True(t, errorx.IsOfType(err, ErrInvalidDocument))
			require.NotEmpty(t, MistakesOf(err))
			require.LessOrEqual(t, len(MistakesOf(err)), MaxMistakes)
			return
		}
		again, err := Decode(Encode(d))
		require.NoError(t, err)
		require.Equal(t, d, again)
	})
}
