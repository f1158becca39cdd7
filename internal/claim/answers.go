package claim

import (
	"math"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/comfreyfront/comfreyfront/internal/claim/claimpb"
	"github.com/comfreyfront/comfreyfront/internal/peer/peerpb"
)

// answers caches the most recently used answers, up to a total size in bytes. It is not
// safe for concurrent use.
type answers struct {
	limit int
	bytes int
	lru   *simplelru.LRU[Key, *Answer]
}

func newAnswers(limit int) *answers {
	a := &answers{limit: limit}
	a.lru, _ = simplelru.NewLRU(math.MaxInt, func(_ Key, answer *Answer) { a.bytes -= answer.size() })
	return a
}

func (a *answers) get(key Key) *Answer {
	answer, _ := a.lru.Get(key)
	return answer
}

// set caches the answer of a key; a nil answer removes the cached one.
func (a *answers) set(key Key, answer *Answer) {
	a.lru.Remove(key)
	if answer == nil {
		return
	}
	a.lru.Add(key, answer)
	a.bytes += answer.size()
	for a.bytes > a.limit {
		a.lru.RemoveOldest()
	}
}

func (a *Answer) size() int {
	return len(a.Body) + len(a.ContentType) + KeySize
}

// ifWithin returns the answer if its size is at most limit bytes, and nil otherwise.
func (a *Answer) ifWithin(limit int) *Answer {
	if a == nil || a.size() > limit {
		return nil
	}
	return a
}

func (a *Answer) record() *claimpb.Answer {
	if a == nil {
		return nil
	}
	return &claimpb.Answer{Status: int32(a.Status), ContentType: a.ContentType, Body: a.Body}
}

func answerFromRecord(stored *claimpb.Answer) *Answer {
	if stored == nil {
		return nil
	}
	return &Answer{Status: int(stored.GetStatus()), ContentType: stored.GetContentType(), Body: stored.GetBody()}
}

func (a *Answer) wire() *peerpb.StoredAnswer {
	if a == nil {
		return nil
	}
	return &peerpb.StoredAnswer{Status: int32(a.Status), ContentType: a.ContentType, Body: a.Body}
}

func answerFromWire(wire *peerpb.StoredAnswer) *Answer {
	if wire == nil {
		return nil
	}
	return &Answer{Status: int(wire.GetStatus()), ContentType: wire.GetContentType(), Body: wire.GetBody()}
}
