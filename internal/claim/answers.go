package claim

import (
	"math"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/comfreyfront/comfreyfront/internal/claim/claimpb"
	"github.com/comfreyfront/comfreyfront/internal/peer/peerpb"
)

// answers keeps the answers used last, up to a number of bytes. It is not safe
// for concurrent use.
type answers struct {
	limit int
	bytes int
	kept  *simplelru.LRU[Key, *Answer]
}

func newAnswers(limit int) *answers {
	a := &answers{limit: limit}
	a.kept, _ = simplelru.NewLRU(math.MaxInt, func(_ Key, answer *Answer) { a.bytes -= answer.size() })
	return a
}

func (a *answers) get(key Key) *Answer {
	answer, _ := a.kept.Get(key)
	return answer
}

// set keeps an answer; nil removes the one that is kept.
func (a *answers) set(key Key, answer *Answer) {
	a.kept.Remove(key)
	if answer == nil {
		return
	}
	a.kept.Add(key, answer)
	a.bytes += answer.size()
	for a.bytes > a.limit {
		a.kept.RemoveOldest()
	}
}

func (a *Answer) size() int {
	return len(a.Body) + len(a.ContentType) + KeySize
}

// bounded returns the answer if it is small enough to keep, else nil.
func (a *Answer) bounded(limit int) *Answer {
	if a == nil || a.size() > limit {
		return nil
	}
	return a
}

func (a *Answer) logged() *claimpb.Answer {
	if a == nil {
		return nil
	}
	return &claimpb.Answer{Status: int32(a.Status), ContentType: a.ContentType, Body: a.Body}
}

func answerFrom(logged *claimpb.Answer) *Answer {
	if logged == nil {
		return nil
	}
	return &Answer{Status: int(logged.GetStatus()), ContentType: logged.GetContentType(), Body: logged.GetBody()}
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
