package policy

import "sync"

// windowKey names what a window is about.
type windowKey struct{ class, model string }

// windows holds one window per class and model. Both come from the operators'
// document and the instance list, so their number is bounded. The zero value
// works.
type windows struct {
	all sync.Map // windowKey to *Window
}

func (w *windows) of(work *Work) *Window {
	key := windowKey{class: work.Class, model: work.Model}
	if found, ok := w.all.Load(key); ok {
		return found.(*Window)
	}
	found, _ := w.all.LoadOrStore(key, &Window{})
	return found.(*Window)
}
