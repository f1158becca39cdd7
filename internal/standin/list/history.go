package list

import (
	"crypto/rand"
	"strconv"
	"strings"
)

// historySize is the number of changes that a list retains to answer calls with a
// cursor.
const historySize = 4096

// history retains the changes published last. A cursor consists of the identifier of
// the list and the number of changes published before it.
type history struct {
	listID  string
	changes []change
	// published is the number of all changes so far, including discarded ones.
	published int
}

func newHistory() history { return history{listID: rand.Text()} }

func (h *history) add(c change) {
	h.published++
	h.changes = append(h.changes, c)
	if len(h.changes) > historySize {
		h.changes = h.changes[1:]
	}
}

func (h *history) cursor() string { return h.listID + "." + strconv.Itoa(h.published) }

// since returns the changes after a cursor. It returns false if the cursor comes from
// another list or is older than the retained history.
func (h *history) since(cursor string) ([]change, bool) {
	number, ok := strings.CutPrefix(cursor, h.listID+".")
	if !ok {
		return nil, false
	}
	published, err := strconv.Atoi(number)
	newer := h.published - published
	if err != nil || newer < 0 || newer > len(h.changes) {
		return nil, false
	}
	return h.changes[len(h.changes)-newer:], true
}
