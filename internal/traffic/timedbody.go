package traffic

import (
	"io"
	"net/http"
	"sync"
	"time"
)

// bodyTimeout bounds the time in which a caller must send the body, so that a slow caller
// occupies a connection only for a bounded time.
const bodyTimeout = 30 * time.Second

// timedBody reads a request's body within bodyTimeout. The deadline is cleared at the end of
// the body, so that it does not interrupt a long answer.
type timedBody struct {
	io.ReadCloser
	control *http.ResponseController
	start   sync.Once
}

func newTimedBody(w http.ResponseWriter, body io.ReadCloser) io.ReadCloser {
	return &timedBody{ReadCloser: body, control: http.NewResponseController(w)}
}

// Read implements io.Reader.
func (b *timedBody) Read(p []byte) (int, error) {
	b.start.Do(func() { b.setDeadline(time.Now().Add(bodyTimeout)) })
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.setDeadline(time.Time{})
	}
	return n, err
}

// setDeadline sets the read deadline. It has no effect on connections without support for
// deadlines.
func (b *timedBody) setDeadline(at time.Time) {
	_ = b.control.SetReadDeadline(at)
}
