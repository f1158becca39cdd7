package phone

import "html"

// Page returns an HTML page that shows a text and is readable on a phone.
func Page(title, text string) string {
	return `<!doctype html><html lang="en"><head><meta charset="utf-8">` +
		`<meta name="viewport" content="width=device-width, initial-scale=1"><meta http-equiv="refresh" content="10">` +
		`<title>` + html.EscapeString(title) + `</title></head><body><pre style="font-size:3.4vmin">` + html.EscapeString(text) + `</pre></body></html>`
}
