package wire

import "slices"

// Range is a run of samples of one group, from index From to To-1.
type Range struct {
	Group int `json:"group"`
	From  int `json:"from"`
	To    int `json:"to"`
}

// Holdings is a compact set of samples: ranges sorted by group and index that are
// neither adjacent nor overlapping. The zero value is an empty set.
type Holdings []Range

// Add adds a sample to the set and reports whether it was new.
func (h *Holdings) Add(id SampleID) bool {
	pos := h.searchAfter(id)
	if pos > 0 && (*h)[pos-1].contains(id) {
		return false
	}
	extendsLeft := pos > 0 && (*h)[pos-1].Group == id.Group && (*h)[pos-1].To == id.Index
	extendsRight := pos < len(*h) && (*h)[pos].Group == id.Group && (*h)[pos].From == id.Index+1
	switch {
	case extendsLeft && extendsRight:
		(*h)[pos-1].To = (*h)[pos].To
		*h = slices.Delete(*h, pos, pos+1)
	case extendsLeft:
		(*h)[pos-1].To++
	case extendsRight:
		(*h)[pos].From--
	default:
		*h = slices.Insert(*h, pos, Range{Group: id.Group, From: id.Index, To: id.Index + 1})
	}
	return true
}

// Has reports whether the set contains a sample.
func (h Holdings) Has(id SampleID) bool {
	pos := h.searchAfter(id)
	return pos > 0 && h[pos-1].contains(id)
}

// Ordered reports whether the ranges are sorted and do not overlap, as in a set
// built with Add. Adjacent ranges are accepted.
func (h Holdings) Ordered() bool {
	for i := 1; i < len(h); i++ {
		previous, r := h[i-1], h[i]
		if r.Group < previous.Group || r.Group == previous.Group && r.From < previous.To {
			return false
		}
	}
	return true
}

// Len returns the number of samples in the set, provided that it is Ordered.
func (h Holdings) Len() int {
	total := 0
	for _, r := range h {
		total += r.To - r.From
	}
	return total
}

// Clone returns an independent copy of the set.
func (h Holdings) Clone() Holdings { return slices.Clone(h) }

// searchAfter returns the position of the first range that begins after id.
func (h Holdings) searchAfter(id SampleID) int {
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
