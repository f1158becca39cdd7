package report

import (
	"html/template"
	"strings"
)

// page is the HTML template of a report; it needs no script and no other file.
var page = template.Must(template.New("report").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<meta http-equiv="refresh" content="10"><title>comfreyfront report</title>
<style>
body{font:17px/1.4 system-ui,sans-serif;margin:0 auto;padding:.8em;max-width:34em;color:#222;background:#fff}
h1{font-size:1.1em;margin:0}p{margin:.2em 0}.warn{color:#8a4b00}
section{border-left:.4em solid #888;padding:.1em .7em;margin:.7em 0}
.MISSED{border-color:#b00020}.met{border-color:#1b7f3b}b{font-size:1.05em}.do{font-weight:600}
@media(prefers-color-scheme:dark){body{color:#eee;background:#111}.warn{color:#ffb74d}}
</style></head><body>
<h1>Classes at revision {{.Revision}}</h1>
<p>{{.At.UTC.Format "15:04:05"}} UTC, {{.CoverageText}}</p>
{{range .Warnings}}<p class="warn">{{.}}</p>
{{end}}{{range .Classes}}<section class="{{.Status}}">
{{range $i, $line := .Lines}}{{if eq $i 0}}<p><b>{{$line}}</b></p>{{else}}<p>{{$line}}</p>{{end}}
{{end}}</section>
{{end}}{{range .StepLines}}<p>{{.}}</p>
{{end}}{{range .Models}}<p>{{.Line}}</p>
{{end}}</body></html>
`))

// HTML renders the report as a small page that is readable on a phone.
func (r Report) HTML() string {
	var out strings.Builder
	if err := page.Execute(&out, r); err != nil {
		panic(err) // the template and the type are both defined in this package
	}
	return out.String()
}
