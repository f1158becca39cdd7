package stricttest

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Malformation is one way in which an answer can be malformed.
type Malformation struct {
	Name string
	// Apply returns the malformed form of an answer that Answer returned.
	Apply func(answer string) string
	// AfterBody means that the body itself is whole.
	AfterBody bool
}

// statusLine returns a malformation that replaces the status line.
func statusLine(name, line string) Malformation {
	return Malformation{Name: name, Apply: func(answer string) string {
		_, rest, _ := strings.Cut(answer, "\r\n")
		return line + "\r\n" + rest
	}}
}

// StatusLines are answers whose status line is malformed. Status codes are those of RFC 9110,
// section 15: 100 to 599.
var StatusLines = []Malformation{
	statusLine("status 000", "HTTP/1.1 000 OK"),
	statusLine("status 000 without a reason", "HTTP/1.1 000"),
	statusLine("status 001", "HTTP/1.1 001 OK"),
	statusLine("status 099", "HTTP/1.1 099 OK"),
	statusLine("status 600", "HTTP/1.1 600 OK"),
	statusLine("status 999", "HTTP/1.1 999 OK"),
	statusLine("status with a sign", "HTTP/1.1 +20 OK"),
	statusLine("negative zero", "HTTP/1.1 -00 OK"),
	statusLine("status of two digits", "HTTP/1.1 20 OK"),
	statusLine("status of four digits", "HTTP/1.1 2000 OK"),
	statusLine("status in letters", "HTTP/1.1 two OK"),
	statusLine("switch of protocols", "HTTP/1.1 101 Switching Protocols"),
	statusLine("protocol of another name", "HTTP-1.1 200 OK"),
	statusLine("later major version", "HTTP/2.0 200 OK"),
	statusLine("earlier major version", "HTTP/0.9 200 OK"),
	statusLine("control byte in the reason", "HTTP/1.1 200 O\x01K"),
	statusLine("null byte in the reason", "HTTP/1.1 200 \x00"),
	statusLine("bare carriage return", "HTTP/1.1 200 O\rK"),
	statusLine("no status line", "X-More: a"),
	statusLine("blank first", " HTTP/1.1 200 OK"),
}

// Named returns the malformations with the given names.
func Named(malformations []Malformation, names ...string) []Malformation {
	var named []Malformation
	for _, m := range malformations {
		if slices.Contains(names, m.Name) {
			named = append(named, m)
		}
	}
	return named
}

// fieldLine returns a malformation that adds a line to the fields, before all others.
func fieldLine(name, line string) Malformation {
	return Malformation{Name: name, Apply: func(answer string) string {
		status, rest, _ := strings.Cut(answer, "\r\n")
		return status + "\r\n" + line + "\r\n" + rest
	}}
}

// lastFieldLine returns a malformation that adds a line to the fields, after all others.
func lastFieldLine(name, line string) Malformation {
	return Malformation{Name: name, Apply: func(answer string) string {
		fields, body, _ := strings.Cut(answer, "\r\n\r\n")
		return fields + "\r\n" + line + "\r\n\r\n" + body
	}}
}

// rename returns a malformation that changes the name of the field that says how long the body is.
func rename(name, field string) Malformation {
	return Malformation{Name: name, Apply: func(answer string) string {
		return strings.Replace(answer, "Content-Length:", field+":", 1)
	}}
}

// FieldLines are answers in whose head a line of a field is malformed.
var FieldLines = []Malformation{
	fieldLine("blank in a name", "X Broken: 1"),
	fieldLine("blank after a name", "X-Broken : 1"),
	fieldLine("tab after a name", "X-Broken\t: 1"),
	fieldLine("control byte in a name", "X-\x01Broken: 1"),
	fieldLine("null byte in a name", "X-\x00Broken: 1"),
	fieldLine("bare carriage return in a name", "X-\rBroken: 1"),
	fieldLine("delete byte in a name", "X-\x7fBroken: 1"),
	fieldLine("byte beyond ASCII in a name", "X-\xe4Broken: 1"),
	fieldLine("separator in a name", "X(Broken): 1"),
	fieldLine("no name", ": 1"),
	fieldLine("blank instead of a name", " : 1"),
	fieldLine("no colon", "X-Broken"),
	fieldLine("continuation of nothing", " 1"),
	fieldLine("control byte in a value", "X-Broken: a\x01b"),
	fieldLine("null byte in a value", "X-Broken: a\x00b"),
	fieldLine("bare carriage return in a value", "X-Broken: a\rb"),
	fieldLine("delete byte in a value", "X-Broken: a\x7fb"),
	lastFieldLine("control byte in a continuation", "X-Broken: a\r\n b\x01c"),
	lastFieldLine("blank in the last name", "X Broken: 1"),
	lastFieldLine("line of a carriage return", "\r"),
	rename("blank after the name of the length", "Content-Length "),
	rename("blank in the name of the length", "Content Length"),
	rename("control byte in the name of the length", "Content-Length\x02"),
	lastFieldLine("blank after the name of the framing", "Transfer-Encoding : chunked"),
	{Name: "chunks after a blank in the name of the framing", Apply: func(answer string) string {
		fields, body, _ := strings.Cut(answer, "\r\n\r\n")
		fields = fields[:strings.Index(fields, "Content-Length:")]
		return fmt.Sprintf("%sTransfer-Encoding : chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", fields, len(body), body)
	}},
}

// framed returns a malformation that replaces the field that says how long the body is, and the
// body itself unless chunks is empty.
func framed(name, version, fields, chunks string) Malformation {
	return Malformation{Name: name, Apply: func(answer string) string {
		answer = strings.Replace(answer, "HTTP/1.1", version, 1)
		head, body, _ := strings.Cut(answer, "\r\n\r\n")
		head = head[:strings.Index(head, "Content-Length:")]
		body = strings.NewReplacer("SIZE", fmt.Sprintf("%x", len(body)), "BODY", body).Replace(cmp.Or(chunks, "BODY"))
		return head + strings.ReplaceAll(fields, "LENGTH", strconv.Itoa(len(body))) + "\r\n\r\n" + body
	}}
}

const (
	chunkedField = "Transfer-Encoding: chunked"
	oneChunk     = "SIZE\r\nBODY\r\n0\r\n\r\n"
)

// afterBody marks a malformation of what follows the body.
func afterBody(m Malformation) Malformation {
	m.AfterBody = true
	return m
}

// Framings are answers that do not say in a valid way where their body ends, or that end before.
var Framings = []Malformation{
	framed("chunks in an earlier version", "HTTP/1.0", chunkedField, oneChunk),
	framed("chunks and a length in an earlier version", "HTTP/1.0", chunkedField+"\r\nContent-Length: LENGTH", oneChunk),
	framed("two lengths", "HTTP/1.1", "Content-Length: LENGTH\r\nContent-Length: 0", ""),
	framed("list of lengths", "HTTP/1.1", "Content-Length: LENGTH, 0", ""),
	framed("length with a sign", "HTTP/1.1", "Content-Length: +LENGTH", ""),
	framed("negative length", "HTTP/1.1", "Content-Length: -1", ""),
	framed("length in letters", "HTTP/1.1", "Content-Length: all", ""),
	framed("length beyond all numbers", "HTTP/1.1", "Content-Length: 99999999999999999999", ""),
	framed("empty length", "HTTP/1.1", "Content-Length:", ""),
	afterBody(framed("longer length", "HTTP/1.1", "Content-Length: 1LENGTH", "")),
	framed("unknown coding", "HTTP/1.1", "Transfer-Encoding: xchunked", oneChunk),
	framed("coding before chunks", "HTTP/1.1", "Transfer-Encoding: gzip, chunked", oneChunk),
	framed("chunks in chunks", "HTTP/1.1", "Transfer-Encoding: chunked, chunked", oneChunk),
	framed("two codings", "HTTP/1.1", chunkedField+"\r\n"+chunkedField, oneChunk),
	framed("size that is no number", "HTTP/1.1", chunkedField, "xyz\r\nBODY\r\n0\r\n\r\n"),
	framed("negative size", "HTTP/1.1", chunkedField, "-SIZE\r\nBODY\r\n0\r\n\r\n"),
	framed("size with a prefix", "HTTP/1.1", chunkedField, "0xSIZE\r\nBODY\r\n0\r\n\r\n"),
	framed("size beyond all numbers", "HTTP/1.1", chunkedField, "fffffffffffffffff\r\nBODY\r\n0\r\n\r\n"),
	framed("no size", "HTTP/1.1", chunkedField, "\r\nBODY\r\n0\r\n\r\n"),
	afterBody(framed("no end of a chunk", "HTTP/1.1", chunkedField, "SIZE\r\nBODY0\r\n\r\n")),
	afterBody(framed("longer chunk", "HTTP/1.1", chunkedField, "1SIZE\r\nBODY\r\n0\r\n\r\n")),
	afterBody(framed("no last chunk", "HTTP/1.1", chunkedField, "SIZE\r\nBODY\r\n")),
	afterBody(framed("no end of the last chunk", "HTTP/1.1", chunkedField, "SIZE\r\nBODY\r\n0\r\n")),
	afterBody(framed("malformed trailer", "HTTP/1.1", chunkedField, "SIZE\r\nBODY\r\n0\r\nX-More\r\n\r\n")),
}

// cut returns a malformation that ends an answer in its head; at returns where.
func cut(name string, at func(head string) int) Malformation {
	return Malformation{Name: name, Apply: func(answer string) string {
		head, _, _ := strings.Cut(answer, "\r\n\r\n")
		return answer[:at(head)]
	}}
}

// cutWithoutLength is cut for an answer that does not say how long its body is.
func cutWithoutLength(name string, at func(head string) int) Malformation {
	withoutLength := framed("", "HTTP/1.1", "X-More: 1", "")
	m := cut(name+", without a length", at)
	return Malformation{Name: m.Name, Apply: func(answer string) string { return m.Apply(withoutLength.Apply(answer)) }}
}

// Cuts are answers that end in their heads.
var Cuts = slices.Concat(cuts(cut), cuts(cutWithoutLength))

// cuts returns cuts at all kinds of positions.
func cuts(cut func(name string, at func(head string) int) Malformation) []Malformation {
	statusLine := func(head string) int { return strings.Index(head, "\r\n") }
	return []Malformation{
		cut("nothing", func(string) int { return 0 }),
		cut("in the version", func(string) int { return len("HTTP/1") }),
		cut("in the status", func(string) int { return len("HTTP/1.1 20") }),
		cut("after the status", func(string) int { return len("HTTP/1.1 200") }),
		cut("after the reason", statusLine),
		cut("in the end of the status line", func(head string) int { return statusLine(head) + 1 }),
		cut("after the status line", func(head string) int { return statusLine(head) + 2 }),
		cut("in a name", func(head string) int { return statusLine(head) + 4 }),
		cut("after the first colon", func(head string) int { return strings.Index(head, ":") + 1 }),
		cut("before the last colon", func(head string) int { return strings.LastIndex(head, ":") }),
		cut("after the last colon", func(head string) int { return strings.LastIndex(head, ":") + 1 }),
		cut("after the last blank", func(head string) int { return strings.LastIndex(head, " ") + 1 }),
		cut("in the last value", func(head string) int { return len(head) - 1 }),
		cut("after the last value", func(head string) int { return len(head) }),
		cut("in the end of the last line", func(head string) int { return len(head) + 1 }),
		cut("after the last line", func(head string) int { return len(head) + 2 }),
		cut("in the empty line", func(head string) int { return len(head) + 3 }),
	}
}
