package wire

import "slices"

// Range is a run of samples of one group: indices From up to, without, To.
type Range struct {
	Group int `json:"group"`
	From  int `json:"from"`
	To    int `json:"to"`
}

// Holdings is a compact set of samples: ranges in order of group and index
// that neither touch nor overlap. The zero value is empty.
type Holdings []Range

// Add puts a sample into the set and reports whether it was new.
func (h *Holdings) Add(id SampleID) bool {
	at := h.after(id)
	if at > 0 && (*h)[at-1].contains(id) {
		return false
	}
	extendsLeft := at > 0 && (*h)[at-1].Group == id.Group && (*h)[at-1].To == id.Index
	extendsRight := at < len(*h) && (*h)[at].Group == id.Group && (*h)[at].From == id.Index+1
	switch {
	case extendsLeft && extendsRight:
		(*h)[at-1].To = (*h)[at].To
		*h = slices.Delete(*h, at, at+1)
	case extendsLeft:
		(*h)[at-1].To++
	case extendsRight:
		(*h)[at].From--
	default:
		*h = slices.Insert(*h, at, Range{Group: id.Group, From: id.Index, To: id.Index + 1})
	}
	return true
}

// Has reports whether the set holds a sample.
func (h Holdings) Has(id SampleID) bool {
	at := h.after(id)
	return at > 0 && h[at-1].contains(id)
}

// Ordered reports whether the ranges are in order and do not overlap, as in a
// set that Add made.
func (h Holdings) Ordered() bool {
	for i := 1; i < len(h); i++ {
		before, r := h[i-1], h[i]
		if r.Group < before.Group || r.Group == before.Group && r.From < before.To {
			return false
		}
	}
	return true
}

// Len returns the number of samples in a set that is in order.
func (h Holdings) Len() int {
	total := 0
	for _, r := range h {
		total += r.To - r.From
	}
	return total
}

// Clone returns a copy that shares nothing with the set.
func (h Holdings) Clone() Holdings { return slices.Clone(h) }

// after returns the position of the first range that begins after id.
func (h Holdings) after(id SampleID) int {
	low, high := 0, len(h)
	for low < high {
		middle := (low + high) / 2
		if h[middle].beginsAfter(id) {
			high = middle
		} else {
			low = middle + 1
		}
	}
	return low
}

func (r Range) beginsAfter(id SampleID) bool {
	if r.Group != id.Group {
		return r.Group > id.Group
	}
	return r.From > id.Index
}

func (r Range) contains(id SampleID) bool {
	return r.Group == id.Group && r.From <= id.Index && id.Index < r.To
}
