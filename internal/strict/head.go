package strict

import (
	"bytes"
	"net/http"
	"strconv"

	"golang.org/x/net/http/httpguts"
)

// stage is how much of the head of an answer has arrived.
type stage int

const (
	// notExpected means that no request was sent.
	notExpected stage = iota
	awaitingStatus
	awaitingFields
	complete
)

// head checks the head of an answer as it arrives.
type head struct {
	stage stage
	// line is the part of the current line that has arrived.
	line []byte
	// interim means that another head follows this one.
	interim bool
	// fields is the number of lines of fields so far.
	fields int
	// withoutChunks means that the version of the head has no chunked bodies.
	withoutChunks bool
}

// add checks the next bytes of an answer. What follows the head is not checked.
func (h *head) add(received []byte) error {
	for h.stage == awaitingStatus || h.stage == awaitingFields {
		line, rest, ended := bytes.Cut(received, []byte{'\n'})
		if len(h.line) > 0 || !ended {
			h.line = append(h.line, line...)
			line = h.line
		}
		if !ended {
			return nil
		}
		h.line = nil
		received = rest
		if err := h.addLine(bytes.TrimSuffix(line, []byte{'\r'})); err != nil {
			return err
		}
	}
	return nil
}

// addLine checks a line of the head.
func (h *head) addLine(line []byte) error {
	switch {
	case h.stage == awaitingStatus:
		status, minor, err := parseStatusLine(line)
		if err != nil {
			return err
		}
		h.interim = status < http.StatusOK
		h.withoutChunks = minor == 0
		h.stage = awaitingFields
	case len(line) == 0 && h.interim:
		*h = head{stage: awaitingStatus}
	case len(line) == 0:
		h.stage = complete
	default:
		h.fields++
		return h.addFieldLine(line)
	}
	return nil
}

// Parts of a status line.
const (
	versionPrefix = "HTTP/1." // and one digit
	statusDigits  = 3
	// minStatus and maxStatus bound the valid status codes (RFC 9110, section 15).
	minStatus = 100
	maxStatus = 599
)

// parseStatusLine returns the status code of a status line and the minor number of its version
// (RFC 9112, section 4).
func parseStatusLine(line []byte) (status, minor int, err error) {
	version, rest, _ := bytes.Cut(line, []byte{' '})
	number, ok := bytes.CutPrefix(version, []byte(versionPrefix))
	if !ok || len(number) != 1 || !isDigit(number[0]) {
		return 0, 0, malformedLine("status line", line)
	}
	minor = int(number[0] - '0')
	code, reason, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte{' '})
	if len(code) != statusDigits || !isDigit(code[0]) || !httpguts.ValidHeaderFieldValue(string(reason)) {
		return 0, 0, malformedLine("status line", line)
	}
	status, err = strconv.Atoi(string(code))
	if err != nil || status < minStatus || status > maxStatus {
		return 0, 0, malformedLine("status line", line)
	}
	if status == http.StatusSwitchingProtocols {
		return 0, 0, ErrMalformed.New("a switch of protocols that was not requested")
	}
	return status, minor, nil
}

func isDigit(b byte) bool { return b >= '0' && b <= '9' }

// addFieldLine checks a line of a field, or one that continues it (RFC 9112, section 5).
func (h *head) addFieldLine(line []byte) error {
	if !httpguts.ValidHeaderFieldValue(string(line)) {
		return malformedLine("field", line)
	}
	if continues := line[0] == ' ' || line[0] == '\t'; continues && h.fields > 1 {
		return nil
	}
	name, _, separated := bytes.Cut(line, []byte{':'})
	if !separated || !httpguts.ValidHeaderFieldName(string(name)) {
		return malformedLine("field", line)
	}
	if h.withoutChunks && bytes.EqualFold(name, []byte("Transfer-Encoding")) {
		return ErrMalformed.New("a transfer coding in an answer of a version without them") // RFC 9112, section 6.1
	}
	return nil
}

// maxQuotedBytes bounds the part of a malformed line that is quoted in an error.
const maxQuotedBytes = 80

// malformedLine returns the error for a malformed line of a head.
func malformedLine(kind string, line []byte) error {
	return ErrMalformed.New("malformed %s %.*q", kind, maxQuotedBytes, line)
}
