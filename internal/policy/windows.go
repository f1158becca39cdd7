package policy

import "sync"

// windowKey identifies the class and model of a window.
type windowKey struct{ class, model string }

// windows holds one window per class and model. Both names come from the class document
// and the instance list, so the number of windows is bounded. The zero value is ready to
// use.
type windows struct {
	byKey sync.Map // windowKey -> *Window
}

func (w *windows) get(work *Work) *Window {
	key := windowKey{class: work.Class, model: work.Model}
	if found, ok := w.byKey.Load(key); ok {
		return found.(*Window)
	}
	found, _ := w.byKey.LoadOrStore(key, &Window{})
	return found.(*Window)
}
