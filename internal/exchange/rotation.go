package exchange

import "container/heap"

// rotation stores items by key and selects them for sending: those sent least often
// first, and among them the most recently changed ones.
type rotation[V any] struct {
	byKey map[string]*rotationItem[V]
	order rotationHeap[V]
	clock int64
}

// rotationItem is one item of a rotation.
type rotationItem[V any] struct {
	key     string
	value   V
	sent    int
	changed int64
	index   int
}

func newRotation[V any]() *rotation[V] {
	return &rotation[V]{byKey: map[string]*rotationItem[V]{}}
}

func (r *rotation[V]) get(key string) (V, bool) {
	if item, ok := r.byKey[key]; ok {
		return item.value, true
	}
	var zero V
	return zero, false
}

// put stores a value as fresh: it resets the number of times that it was sent.
func (r *rotation[V]) put(key string, value V) {
	r.clock++
	if item, ok := r.byKey[key]; ok {
		item.value, item.sent, item.changed = value, 0, r.clock
		heap.Fix(&r.order, item.index)
		return
	}
	item := &rotationItem[V]{key: key, value: value, changed: r.clock}
	r.byKey[key] = item
	heap.Push(&r.order, item)
}

// set replaces an existing value without making it fresh.
func (r *rotation[V]) set(key string, value V) {
	r.byKey[key].value = value
}

func (r *rotation[V]) remove(key string) {
	if item, ok := r.byKey[key]; ok {
		heap.Remove(&r.order, item.index)
		delete(r.byKey, key)
	}
}

func (r *rotation[V]) len() int {
	return len(r.byKey)
}

// each calls visit for all items in unspecified order. visit may remove its item.
func (r *rotation[V]) each(visit func(key string, value V)) {
	for key, item := range r.byKey {
		visit(key, item.value)
	}
}

// offer calls add for the items in sending order and counts each accepted item as
// sent. It stops at an item that was already sent maxSent times, when add returns
// false, or after one call per item. An item for which add returns false keeps its
// place.
func (r *rotation[V]) offer(maxSent int, add func(key string, value V) bool) {
	for range len(r.byKey) {
		first := r.order[0]
		if first.sent >= maxSent || !add(first.key, first.value) {
			return
		}
		first.sent++
		heap.Fix(&r.order, 0)
	}
}

// rotationHeap orders items for sending. It implements heap.Interface.
type rotationHeap[V any] []*rotationItem[V]

func (h rotationHeap[V]) Len() int { return len(h) }

func (h rotationHeap[V]) Less(i, j int) bool {
	if h[i].sent != h[j].sent {
		return h[i].sent < h[j].sent
	}
	return h[i].changed > h[j].changed
}

func (h rotationHeap[V]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *rotationHeap[V]) Push(item any) {
	added := item.(*rotationItem[V])
	added.index = len(*h)
	*h = append(*h, added)
}

func (h *rotationHeap[V]) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
