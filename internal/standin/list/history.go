package list

import (
	"crypto/rand"
	"strconv"
	"strings"
)

// historySize is how many changes a list remembers for its cursors.
const historySize = 4096

// history remembers the changes that showed last. A cursor names the list's
// start and the number of changes that had shown.
type history struct {
	start   string
	changes []change
	// shown counts all changes, forgotten ones included.
	shown int
}

func newHistory() history { return history{start: rand.Text()} }

func (h *history) add(c change) {
	h.shown++
	h.changes = append(h.changes, c)
	if len(h.changes) > historySize {
		h.changes = h.changes[1:]
	}
}

func (h *history) cursor() string { return h.start + "." + strconv.Itoa(h.shown) }

// since returns the changes after a cursor, and false when it is not of this
// list or too old.
func (h *history) since(cursor string) ([]change, bool) {
	number, own := strings.CutPrefix(cursor, h.start+".")
	if !own {
		return nil, false
	}
	shown, err := strconv.Atoi(number)
	missing := h.shown - shown
	if err != nil || missing < 0 || missing > len(h.changes) {
		return nil, false
	}
	return h.changes[len(h.changes)-missing:], true
}
